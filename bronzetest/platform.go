package bronzetest

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzeconf"
)

// ErrDown is the error of a Platform that is down.
var ErrDown = errors.New("platform is down")

// vmsPath is where the VM list is, which is no value.
const vmsPath = "/VMs"

// Platform stands in for the configuration service and the VM list. It is an
// http.Handler that bronzeconf.HTTPPlatform reads. The zero Platform is up
// and has published nothing. All methods may be called concurrently.
type Platform struct {
	mu sync.Mutex
	// history has every value of each revision, oldest first, from 1. Its
	// maps don't change.
	history []map[string]bronzeconf.Value
	changed chan struct{}
	reads   int
	down    bool
	delay   time.Duration
	shown   uint64
	vms     []bronzeconf.VM
}

// SetDown makes each call fail, also the watches that wait.
func (p *Platform) SetDown(down bool) { p.set(func() { p.down = down }) }

// SetDelay delays each call.
func (p *Platform) SetDelay(delay time.Duration) { p.set(func() { p.delay = delay }) }

// SetVisibleRevision makes the platform show what was published up to rev, as a replica
// does that lags behind; 0 shows the newest.
func (p *Platform) SetVisibleRevision(rev uint64) { p.set(func() { p.shown = rev }) }

// SetVMs replaces the list of VMs.
func (p *Platform) SetVMs(vms []bronzeconf.VM) { p.set(func() { p.vms = vms }) }

// set changes p and makes the watches that wait look again.
func (p *Platform) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// Publish publishes records under their names and an index that lists them
// with the ones before, and returns the index's revision. A nil body removes
// a record.
func (p *Platform) Publish(records map[string][]byte) (rev uint64, err error) {
	p.set(func() { rev, err = p.publish(records) })
	return rev, errors.Wrap(err, "publish")
}

func (p *Platform) publish(records map[string][]byte) (rev uint64, err error) {
	rev = uint64(len(p.history)) + 1
	values := make(map[string]bronzeconf.Value)
	if rev > 1 {
		maps.Copy(values, p.history[rev-2])
	}
	delete(values, bronzeconf.IndexName)
	for name, body := range records {
		values[name] = bronzeconf.Value{Revision: rev, Body: body}
		if body == nil {
			delete(values, name)
		}
	}
	index := bronzeconf.Index{Revision: rev}
	for name, v := range values {
		index.Records = append(index.Records, bronzeconf.RecordVersion{Name: name, Revision: v.Revision})
	}
	body, err := json.Marshal(index)
	values[bronzeconf.IndexName] = bronzeconf.Value{Revision: rev, Body: body}
	p.history = append(p.history, values)
	return rev, err
}

// Reads returns how many calls there were, a waiting watch counted as one.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// Adapter returns p as a node reads it without HTTP.
func (p *Platform) Adapter() bronzeconf.Platform {
	return bronzeconf.Platform{
		Read: func(ctx context.Context, name string) (bronzeconf.Value, error) {
			return p.read(ctx, name, 0, 0)
		},
		Watch: func(ctx context.Context, name string, after uint64) (bronzeconf.Value, error) {
			return p.read(ctx, name, after, bronzeconf.DefaultWait)
		},
		VMs: func(ctx context.Context) (vms []bronzeconf.VM, err error) {
			v, err := p.read(ctx, vmsPath, 0, 0)
			if err == nil {
				err = json.Unmarshal(v.Body, &vms)
			}
			return vms, err
		},
	}
}

// begin counts a call and delays it.
func (p *Platform) begin(ctx context.Context) {
	p.mu.Lock()
	p.reads++
	delay := p.delay
	p.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}

// read returns the value once it is above after or wait has passed, then
// without its body.
func (p *Platform) read(ctx context.Context, name string, after uint64, wait time.Duration) (v bronzeconf.Value, err error) {
	p.begin(ctx)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		v, changed, err := p.value(name)
		if err != nil || v.Revision > after {
			return v, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return bronzeconf.Value{Revision: v.Revision}, nil
		case <-ctx.Done():
			return bronzeconf.Value{}, ctx.Err()
		}
	}
}

// value returns what is shown under name, and a channel that is closed when
// that may have changed.
func (p *Platform) value(name string) (v bronzeconf.Value, changed <-chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	if p.down {
		return bronzeconf.Value{}, nil, ErrDown
	}
	var values map[string]bronzeconf.Value
	if n := uint64(len(p.history)); n > 0 {
		// shown-1 is the largest number for 0.
		values = p.history[min(n-1, p.shown-1)]
	}
	v, ok := values[name]
	if name == vmsPath {
		body, err := json.Marshal(p.vms)
		return bronzeconf.Value{Revision: 1, Body: body}, p.changed, err
	}
	if !ok {
		return bronzeconf.Value{}, nil, bronzeconf.ErrNotFound
	}
	return v, p.changed, nil
}

// ServeHTTP answers as bronzeconf.HTTPPlatform expects.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := strings.TrimPrefix(r.URL.Path, "/Values/")
	after, _ := strconv.ParseUint(r.FormValue("After"), 10, 64)
	wait, _ := time.ParseDuration(r.FormValue("Wait"))
	v, err := p.read(r.Context(), name, after, wait)
	w.Header().Set(bronzeconf.RevisionHeader, strconv.FormatUint(v.Revision, 10))
	status := http.StatusOK
	switch {
	case errors.Is(err, bronzeconf.ErrNotFound):
		status = http.StatusNotFound
	case err != nil:
		status = http.StatusServiceUnavailable
	case v.Body == nil:
		status = http.StatusNotModified
	}
	w.WriteHeader(status)
	_, _ = w.Write(v.Body)
}
