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

// follow runs a follower in the background until the test ends.
func follow(t *testing.T, f *Follower) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = f.Run(ctx) }()
	return func() {
		cancel()
		synctest.Wait()
	}
}

// The store refuses every second call, since many nodes ask at once. What was
// read is kept: beginning anew, a node would never get to the last of 20 pages,
// and its callers would wait for as long as the others ask.
func TestRefusedPagesAreAskedForAgain(t *testing.T) {
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

// A node that can't read all pages has the records from a peer meanwhile. It
// asks the store for no further page.
func TestRecordsOfAPeerEndALoad(t *testing.T) {
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

// Power is back after a cut of all: 100 nodes ask for 60 pages each, of a store
// that answers 400 calls a second. If all read, none would have all records for
// 15 s. The first of each zone read, and the others have the records from them.
func TestFewReadWhereAllStartAtOnce(t *testing.T) {
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
		begun := time.Now()
		for sets[0].Position().Revision == 0 && sets[1].Position().Revision == 0 && sets[2].Position().Revision == 0 && sets[3].Position().Revision == 0 {
			time.Sleep(100 * time.Millisecond)
		}
		require.Less(t, time.Since(begun), 5*time.Second)
		for _, stop := range stops {
			stop()
		}
	})
}

// A node starts while servers come and go, and reads pages from replicas that lag by
// different times. With the watch that follows it has just what the store holds: no server
// that left between two pages, and none missing.
func TestPagesOfDifferentAgesLeadToWhatTheStoreHolds(t *testing.T) {
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

// The store has lost its history since the replicas that a node loads from were up to
// date. Their contents would be behind what a watch can begin from, again and again: the
// next load takes none but the store's own word.
func TestLoadAfterALostHistoryIsNotStale(t *testing.T) {
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

// Guards against a stale read that shows the history before a copy under the epoch of now.
func TestLoadTakesNothingOfTheHistoryBefore(t *testing.T) {
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
