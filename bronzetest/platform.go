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

// ErrDown is the error of every call to a Platform that is down.
var ErrDown = errors.New("platform is down")

// vmsPath is the path of the list of VMs, which is not a value.
const vmsPath = "/VMs"

// Platform is a stand-in of the configuration service and its list of VMs. It
// is an http.Handler that bronzeconf.HTTPPlatform can read. The zero Platform
// is up and has published nothing. All methods may be called concurrently.
type Platform struct {
	mu sync.Mutex
	// history has the values of each revision by name, beginning with
	// revision 1. Its maps are not modified.
	history         []map[string]bronzeconf.Value
	changed         chan struct{}
	reads           int
	down            bool
	delay           time.Duration
	visibleRevision uint64
	vms             []bronzeconf.VM
}

// SetDown makes every call fail, including waiting watches, or ends that.
func (p *Platform) SetDown(down bool) { p.update(func() { p.down = down }) }

// SetDelay sets the delay of every call.
func (p *Platform) SetDelay(delay time.Duration) { p.update(func() { p.delay = delay }) }

// SetVisibleRevision makes the platform return what was published up to rev, as
// a lagging replica does. 0 stands for the newest revision.
func (p *Platform) SetVisibleRevision(rev uint64) { p.update(func() { p.visibleRevision = rev }) }

// SetVMs replaces the list of VMs.
func (p *Platform) SetVMs(vms []bronzeconf.VM) { p.update(func() { p.vms = vms }) }

// update applies change to p and wakes the waiting watches.
func (p *Platform) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// Publish publishes records under their names and an index of these and the
// earlier records, and returns the index's revision. A nil body removes a
// record.
func (p *Platform) Publish(records map[string][]byte) (rev uint64, err error) {
	p.update(func() { rev, err = p.publish(records) })
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

// Reads returns the number of calls. A watch counts once, however long it
// waits.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// Adapter returns functions that read p directly, without HTTP.
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

// startCall counts a call and delays it.
func (p *Platform) startCall(ctx context.Context) {
	p.mu.Lock()
	p.reads++
	delay := p.delay
	p.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}

// read returns the value once its revision is above after. When wait has passed
// before, it returns the revision without a body.
func (p *Platform) read(ctx context.Context, name string, after uint64, wait time.Duration) (v bronzeconf.Value, err error) {
	p.startCall(ctx)
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

// value returns the visible value of name, and a channel that is closed when
// it may have changed.
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
		// If visibleRevision is 0, the subtraction wraps around to the
		// largest number and the newest revision is chosen.
		values = p.history[min(n-1, p.visibleRevision-1)]
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
