package bronzerecord

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// newPagedStore returns a store with n records in pages of ten.
func newPagedStore(n int) *fakeStore {
	f := &fakeStore{h: newHistory(), pageSize: 10}
	for i := range n {
		f.h.change(fmt.Sprintf("r-%04d", i), false)
	}
	return f
}

// follow runs a follower in the background until stop is called.
func follow(t *testing.T, f *Follower) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = f.Run(ctx) }()
	return func() {
		cancel()
		synctest.Wait()
	}
}

// The store refuses every second call because many nodes call at once. The pages that
// were read must be kept: if the load started over each time, a node would never reach
// the last of 20 pages, and its callers would wait as long as the other nodes load.
func TestLoadRetriesPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPagedStore(200)
		f.throttled = func() bool { return f.loads%2 == 0 }
		var s Set
		stop := follow(t, &Follower{Source: f.source(), Set: &s})
		time.Sleep(20 * maxBackoff)
		require.EqualValues(t, 200, s.Position().Revision)
		require.Len(t, contents(&s), 200)
		f.locked(func() { require.LessOrEqual(t, f.loads, 40) })
		stop()
	})
}

// A node that can't read all pages gets the records from a peer meanwhile. It must not
// request further pages.
func TestLoadOvertakenByPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPagedStore(200)
		f.throttled = func() bool { return f.loads > 5 }
		var s Set
		stop := follow(t, &Follower{Source: f.source(), Set: &s})
		time.Sleep(3 * time.Second)
		require.Zero(t, s.Position().Revision)
		var before int
		f.locked(func() {
			before = f.loads
			require.True(t, s.Apply(f.h.snapshot(200)))
		})
		time.Sleep(10 * time.Second)
		f.locked(func() {
			require.LessOrEqual(t, f.loads, before+1)
			require.Positive(t, f.watches)
		})
		stop()
	})
}

// After a power cut 100 nodes start at once and request 60 pages each from a store that
// answers 400 calls a second. If all loaded, none would have all records for 15 s.
// Instead the first node of each zone loads, and the others get the records from it.
func TestLoadYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, zones, perSecond = 100, 4, 400
		f := newPagedStore(600)
		f.latency = 4 * time.Millisecond
		second, answered := time.Now(), 0
		f.throttled = func() bool {
			if time.Since(second) >= time.Second {
				second, answered = time.Now(), 0
			}
			answered++
			return answered > perSecond
		}
		var sets [nodes]Set
		var stops []func()
		for i := range sets {
			stops = append(stops, follow(t, &Follower{
				Source: f.source(), Set: &sets[i], Yield: func() bool { return i >= zones },
			}))
		}
		start := time.Now()
		for sets[0].Position().Revision == 0 && sets[1].Position().Revision == 0 && sets[2].Position().Revision == 0 && sets[3].Position().Revision == 0 {
			time.Sleep(100 * time.Millisecond)
		}
		require.Less(t, time.Since(start), 5*time.Second)
		for _, stop := range stops {
			stop()
		}
	})
}

// A node starts while servers come and go, and loads pages from replicas with different
// lags. After the watch that follows it must have exactly what the store has: no server
// that left between two pages, and none missing.
func TestLoadStalePages(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newPagedStore(60)
			f.latency = 4 * time.Millisecond
			f.replicaLag = func() uint64 { return rapid.Uint64Range(0, 80).Draw(r, "Behind") }
			changes := rapid.IntRange(0, 30).Draw(r, "Changes")
			var s Set
			stop := follow(t, &Follower{Source: f.source(), Set: &s, OnEvent: func(e Event) {
				require.Equal(t, e.Kind == Loaded, e.Stale)
			}})
			for range changes {
				time.Sleep(2 * time.Millisecond)
				f.locked(func() {
					f.h.change(fmt.Sprintf("r-%04d", rapid.IntRange(0, 70).Draw(r, "Record")), rapid.Bool().Draw(r, "Remove"))
				})
			}
			time.Sleep(5 * time.Second)
			f.locked(func() {
				require.Equal(r, f.h.revision, s.Position().Revision)
				require.Equal(r, f.h.states[f.h.revision], contents(&s))
			})
			stop()
		})
	})
}

// The store has compacted its history since the state that the replicas are at. Their
// contents would be older than any revision a watch can start from, again and again, so
// the next load must not accept stale pages.
func TestLoadAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPagedStore(25)
		f.replicaLag = func() uint64 { return 5 }
		f.compacted = 24
		var s Set
		stop := follow(t, &Follower{Source: f.source(), Set: &s})
		time.Sleep(time.Second)
		require.EqualValues(t, 25, s.Position().Revision)
		f.locked(func() {
			require.Equal(t, 2, f.stale)
			require.Equal(t, 5, f.loads)
		})
		stop()
	})
}

// Guards against stale pages that show the history before a restore under the present
// epoch.
func TestLoadStalePagesAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := newPagedStore(30)
		f := newPagedStore(30)
		f.h = before.h.restored(20)
		f.h.change("r-0001", true)
		before.h.epoch = f.h.epoch
		read := func(ctx context.Context, after string, stale bool) (Page, error) {
			if stale {
				return before.read(ctx, after, false)
			}
			return f.read(ctx, after, false)
		}
		var s Set
		stop := follow(t, &Follower{Source: Source{Read: read, Watch: f.watch}, Set: &s})
		time.Sleep(time.Second)
		f.locked(func() {
			for range 9 {
				f.h.change("r-0002", false)
			}
		})
		time.Sleep(3 * time.Second)
		f.locked(func() {
			require.Equal(t, f.h.states[f.h.revision], contents(&s))
			require.LessOrEqual(t, before.loads, 1)
		})
		stop()
	})
}
