package bronzerecord

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
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
		f.throttles = func() bool { return f.loads%2 == 0 }
		var s Set
		stop := follow(t, &Follower{Source: f.source(), Set: &s})
		time.Sleep(20 * maxBackoff)
		require.EqualValues(t, 200, s.Revision())
		require.Len(t, contents(&s), 200)
		f.do(func() { require.LessOrEqual(t, f.loads, 40) })
		stop()
	})
}

// A node that can't read all pages has the records from a peer meanwhile. It
// asks the store for no further page.
func TestRecordsOfAPeerEndALoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPagedStore(200)
		f.throttles = func() bool { return f.loads > 5 }
		var s Set
		stop := follow(t, &Follower{Source: f.source(), Set: &s})
		time.Sleep(3 * time.Second)
		require.Zero(t, s.Revision())
		var before int
		f.do(func() {
			before = f.loads
			require.True(t, s.Apply(f.h.whole(200)))
		})
		time.Sleep(10 * time.Second)
		f.do(func() {
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
		f.throttles = func() bool {
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
		for sets[0].Revision() == 0 && sets[1].Revision() == 0 && sets[2].Revision() == 0 && sets[3].Revision() == 0 {
			time.Sleep(100 * time.Millisecond)
		}
		require.Less(t, time.Since(begun), 5*time.Second)
		for _, stop := range stops {
			stop()
		}
	})
}
