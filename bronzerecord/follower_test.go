package bronzerecord

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bronzeusher.example/bronzeusher/bronzeretry"
)

// fakeStore is a store whose watches can be made to miss changes. Tests change it in
// locked.
type fakeStore struct {
	mu               sync.Mutex
	h                *history
	compacted        uint64
	eventsSuppressed bool
	down             bool
	// throttled reports whether a read is refused. pageSize bounds the pages if it isn't
	// 0.
	throttled func() bool
	pageSize  int
	latency   time.Duration
	// replicaLag returns by how many changes the replica that answers a stale read lags;
	// nil means none.
	replicaLag func() uint64
	loads      int
	stale      int
	watches    int
}

func (f *fakeStore) source() Source { return Source{Read: f.read, Watch: f.watch} }

// locked runs step while no call is being answered.
func (f *fakeStore) locked(step func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	step()
}

func (f *fakeStore) read(ctx context.Context, after string, stale bool) (p Page, err error) {
	bronzeretry.Pause(ctx, f.latency)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads++
	switch {
	case f.down:
		return p, ErrUnavailable
	case f.throttled != nil && f.throttled():
		return p, ErrThrottled
	}
	p.Epoch, p.Revision = f.h.epoch, f.h.revision
	if stale {
		f.stale++
		if f.replicaLag != nil {
			p.Revision -= min(f.replicaLag(), p.Revision)
		}
	}
	for _, r := range f.h.snapshot(p.Revision).Changed {
		if r.Name > after {
			p.Records = append(p.Records, r)
		}
	}
	slices.SortFunc(p.Records, func(a, b Record) int { return strings.Compare(a.Name, b.Name) })
	if f.pageSize > 0 && len(p.Records) > f.pageSize {
		p.Records, p.More = p.Records[:f.pageSize], true
	}
	return p, nil
}

func (f *fakeStore) watch(ctx context.Context, after uint64) (d Delta, err error) {
	f.locked(func() { f.watches++ })
	for range 10 {
		d, err = f.poll(after)
		if err != nil || len(d.Changed) > 0 {
			return d, err
		}
		bronzeretry.Pause(ctx, 100*time.Millisecond)
	}
	return d, nil
}

// poll returns the present answer to a watch.
func (f *fakeStore) poll(after uint64) (Delta, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.down:
		return Delta{}, ErrUnavailable
	case (after < f.compacted || after > f.h.revision) && !f.eventsSuppressed:
		return Delta{}, ErrCompacted
	case !f.eventsSuppressed && f.h.revision > after:
		return f.h.delta(after, f.h.revision), nil
	default:
		return Delta{Epoch: f.h.epoch, From: after, To: f.h.revision}, nil
	}
}

// The store loses its history while a watch waits. The watch misses a change and is
// answered as if there was none. Callers would get the old configuration until something
// else changes.
func TestFollowerMissedChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{h: newHistory()}
		f.h.change("a", false)
		var s Set
		follower := Follower{Source: f.source(), Set: &s}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = follower.Run(ctx) }()
		time.Sleep(50 * time.Millisecond)
		require.EqualValues(t, 1, s.Position().Revision)

		f.locked(func() {
			f.eventsSuppressed = true
			f.h.change("a", false)
		})
		time.Sleep(1500 * time.Millisecond)
		f.locked(func() {
			f.compacted = f.h.revision
			f.eventsSuppressed = false
		})
		time.Sleep(1500 * time.Millisecond)
		require.EqualValues(t, 2, s.Position().Revision)
		require.EqualValues(t, 2, contents(&s)["a"].Revision)
		cancel()
		synctest.Wait()
	})
}

// Many changes follow one another, as when servers are replaced. Each answer is a call
// that is paid for, so changes are batched.
func TestFollowerBatchDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{h: newHistory()}
		var s Set
		follower := Follower{Source: f.source(), Set: &s}
		ctx, cancel := context.WithCancel(t.Context())
		f.h.change("a", false)
		go func() { _ = follower.Run(ctx) }()
		for range 70 {
			time.Sleep(100 * time.Millisecond)
			f.locked(func() { f.h.change("a", false) })
		}
		time.Sleep(2 * time.Second)
		require.EqualValues(t, f.h.revision, s.Position().Revision)
		f.locked(func() { require.LessOrEqual(t, f.watches, 13) })
		cancel()
		synctest.Wait()
	})
}

// The store is down for 30 s. Nodes that call it all the time would overload it when it
// comes back, and each call is paid for. But a node must have the newest records within
// four seconds of the store's return.
func TestFollowerBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{h: newHistory()}
		f.h.change("a", false)
		var s Set
		var failed, answeredAt atomic.Int64
		follower := Follower{Source: f.source(), Set: &s, OnEvent: func(e Event) {
			if e.Err == nil {
				answeredAt.Store(time.Now().UnixNano())
			}
			if e.Kind == Failed {
				require.True(t, errors.Is(e.Err, ErrUnavailable))
				failed.Add(1)
			}
		}}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = follower.Run(ctx) }()
		time.Sleep(50 * time.Millisecond)
		f.locked(func() { f.down = true })
		time.Sleep(30 * time.Second)
		require.Less(t, failed.Load(), int64(90))
		before := answeredAt.Load()
		f.locked(func() {
			f.h.change("a", false)
			f.down = false
		})
		time.Sleep(maxBackoff)
		require.EqualValues(t, 2, s.Position().Revision)
		require.Greater(t, answeredAt.Load(), before)
		cancel()
		synctest.Wait()
	})
}

// Guards against nodes that overload a store which returns an older state than they have.
func TestFollowerBackoffRegressed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPagedStore(30)
		f.latency = 4 * time.Millisecond
		var s Set
		stop := follow(t, &Follower{Source: f.source(), Set: &s})
		time.Sleep(3 * time.Second)
		var before int
		f.locked(func() {
			f.h = f.h.restored(10)
			f.h.epoch = 0
			before = f.loads + f.watches
		})
		time.Sleep(10 * time.Second)
		require.EqualValues(t, 30, s.Position().Revision)
		f.locked(func() {
			require.LessOrEqual(t, f.loads+f.watches-before, int(2*10*time.Second/(maxBackoff/2)))
			f.h = newPagedStore(40).h
		})
		time.Sleep(2 * maxBackoff)
		require.EqualValues(t, 40, s.Position().Revision)
		stop()
	})
}

func TestFollowerStandby(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{h: newHistory()}
		var active atomic.Bool
		follower := Follower{Source: f.source(), Set: &Set{}, Active: active.Load}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = follower.Run(ctx) }()
		time.Sleep(10 * time.Second)
		f.locked(func() { require.Zero(t, f.loads+f.watches) })
		active.Store(true)
		time.Sleep(standbyInterval)
		synctest.Wait()
		f.locked(func() { require.Positive(t, f.loads) })
		cancel()
		synctest.Wait()
	})
}

// Guards against a node that keeps what the store lost in a restore, or wrote again under
// another revision.
func TestFollowerRestores(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newPagedStore(rapid.IntRange(0, 25).Draw(r, "Records"))
			f.latency = 4 * time.Millisecond
			var s Set
			stop := follow(t, &Follower{Source: f.source(), Set: &s, BatchDelay: time.Millisecond})
			for range rapid.IntRange(1, 40).Draw(r, "Steps") {
				time.Sleep(time.Duration(rapid.IntRange(0, 40).Draw(r, "Milliseconds")) * time.Millisecond)
				f.locked(func() {
					switch rapid.IntRange(0, 4).Draw(r, "Step") {
					case 0:
						f.h = f.h.restored(rapid.Uint64Range(0, f.h.revision).Draw(r, "Copy"))
						f.compacted = min(f.compacted, f.h.revision)
					case 1:
						f.compacted = f.h.revision
					default:
						name := fmt.Sprintf("r-%04d", rapid.IntRange(0, 30).Draw(r, "Record"))
						f.h.change(name, rapid.Bool().Draw(r, "Remove"))
					}
				})
			}
			time.Sleep(5 * time.Second)
			f.locked(func() {
				require.Equal(r, Position{Epoch: f.h.epoch, Revision: f.h.revision}, s.Position())
				require.Equal(r, f.h.states[f.h.revision], contents(&s))
			})
			stop()
		})
	})
}
