package bronzeflow

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// testKey returns a key that is unique for i.
func testKey(i int) Key {
	caller := netip.AddrFrom4([4]byte{10, byte(i >> 24), byte(i >> 16), byte(i >> 8)})
	service := netip.MustParseAddrPort("192.0.2.1:443")
	return NewKey(TCP, netip.AddrPortFrom(caller, 1024+uint16(i&0xff)), service)
}

func drawEntry(t *rapid.T) Entry {
	return Entry{
		Server: ServerID(rapid.Uint64().Draw(t, "Server")),
		Used:   rapid.Uint32Range(0, 9).Draw(t, "Used"),
		State:  State(rapid.IntRange(int(Pending), int(Closed)).Draw(t, "State")),
		Flags:  rapid.SampledFrom([]Flags{0, Owned, Owned | Committed}).Draw(t, "Flags"),
	}
}

// Compares every method with the same operation on a plain map. Using only three
// hashes, in two shards, forces long probe sequences and the reuse of slots.
func TestTableAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table
		model := map[Key]Entry{}
		key := func() (Key, uint64) {
			i := rapid.IntRange(0, 40).Draw(t, "key")
			return testKey(i), uint64(i%3) << 55
		}
		t.Repeat(map[string]func(*rapid.T){
			"Put": func(t *rapid.T) {
				k, hash := key()
				e := drawEntry(t)
				model[k] = e
				require.True(t, table.Put(&k, hash, e))
			},
			"Touch": func(t *rapid.T) {
				k, hash := key()
				now := rapid.Uint32().Draw(t, "now")
				e, ok := table.Touch(&k, hash, now)
				want, there := model[k]
				require.Equal(t, there, ok)
				require.Equal(t, want, e)
				if there {
					want.Used = now
					model[k] = want
				}
			},
			"Update": func(t *rapid.T) {
				k, hash := key()
				e := drawEntry(t)
				_, there := model[k]
				require.Equal(t, there, table.Update(&k, hash, func(p *Entry) { *p = e }))
				if there {
					model[k] = e
				}
			},
			"Delete": func(t *rapid.T) {
				k, hash := key()
				e, ok := table.Delete(&k, hash)
				want, there := model[k]
				require.Equal(t, there, ok)
				require.Equal(t, want, e)
				delete(model, k)
			},
			"Range": func(t *rapid.T) {
				limit := rapid.Uint32Range(0, 9).Draw(t, "limit")
				seen := map[Key]Entry{}
				table.Range(func(k *Key, e Entry) bool {
					seen[*k] = e
					return e.Used >= limit
				})
				require.Equal(t, model, seen)
				for k, e := range model {
					if e.Used < limit {
						delete(model, k)
					}
				}
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(model), table.Len())
				for i := range 41 {
					k := testKey(i)
					e, ok := table.Get(&k, uint64(i%3)<<55)
					want, there := model[k]
					require.Equal(t, there, ok)
					require.Equal(t, want, e)
				}
			},
		})
	})
}

// A flood of openings fills the table. The entries of established flows must
// stay: each insertion evicts a pending entry, else a closed one, else the
// learned one that was idle for longest. The naive version looks through all
// entries of one shard.
func TestTableEvictionOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var evicted []Entry
		table := Table{Capacity: rapid.IntRange(1, evictionSample).Draw(t, "Capacity")}
		model := map[Key]Entry{}
		table.OnEvict = func(k Key, e Entry) {
			require.Equal(t, model[k], e)
			evicted = append(evicted, e)
			delete(model, k)
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "n") {
			k := testKey(i)
			e := drawEntry(t)
			want, full := naiveLowestRank(model), len(model) == table.Capacity
			evicted = nil
			ok := table.Put(&k, uint64(i), e)
			require.Equal(t, !full || want < naiveProtected, ok)
			if ok {
				model[k] = e
			}
			if full && ok {
				require.Len(t, evicted, 1)
				require.Equal(t, want, naiveRankOf(evicted[0]))
			} else {
				require.Empty(t, evicted)
			}
			require.Equal(t, len(model), table.Len())
			changed := testKey(rapid.IntRange(0, i).Draw(t, "changed"))
			if old, ok := model[changed]; ok {
				old.State = Closed
				model[changed] = old
				hash := uint64(changed.CallerPort - 1024)
				if rapid.Bool().Draw(t, "Update") {
					table.Update(&changed, hash, func(e *Entry) { *e = old })
				} else {
					table.Put(&changed, hash, old)
				}
			}
		}
	})
}

const naiveProtected = 1000

func naiveRankOf(e Entry) int {
	switch {
	case e.State == Pending:
		return int(e.Used)
	case e.State == Closed:
		return 100 + int(e.Used)
	case e.Flags&Owned == 0:
		return 200 + int(e.Used)
	default:
		return naiveProtected
	}
}

func naiveLowestRank(m map[Key]Entry) int {
	best := naiveProtected
	for _, e := range m {
		best = min(best, naiveRankOf(e))
	}
	return best
}

func TestTableOnEvictUnlocked(t *testing.T) {
	table := Table{Capacity: 1}
	calls := 0
	table.OnEvict = func(k Key, _ Entry) {
		calls++
		_, ok := table.Get(&k, 0)
		require.False(t, ok)
	}
	for i := range 3 {
		k := testKey(i)
		require.True(t, table.Put(&k, 0, Entry{State: Pending}))
	}
	require.Equal(t, 2, calls)
}

// Workers open, use and end flows in the same table concurrently. Capacity must
// hold, Len must be right, and no entry may be found under another key.
func TestTableConcurrent(t *testing.T) {
	const workers, flows = 8, 2000
	table := Table{Capacity: workers * flows / 2}
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(1, uint64(w)))
			for range 4 * flows {
				i := rnd.IntN(workers * flows)
				k := testKey(i)
				hash := k.Hash()
				e, ok := table.Touch(&k, hash, uint32(i))
				switch {
				case ok && e.Server != ServerID(i):
					t.Errorf("flow %d has the entry of flow %d", i, e.Server)
				case ok && rnd.IntN(3) == 0:
					table.Delete(&k, hash)
				default:
					table.Put(&k, hash, Entry{Server: ServerID(i), State: Pending})
				}
			}
		})
	}
	wg.Wait()
	n := 0
	table.Range(func(*Key, Entry) bool { n++; return true })
	require.Equal(t, n, table.Len())
	require.LessOrEqual(t, n, table.Capacity)
}

func TestTableAllocs(t *testing.T) {
	var table Table
	k := testKey(1)
	hash := k.Hash()
	table.Put(&k, hash, Entry{State: Established})
	now := uint32(0)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		now++
		table.Touch(&k, hash, now)
		table.Get(&k, hash)
		table.Delete(&k, hash)
		table.Put(&k, hash, Entry{State: Pending})
	}))
}
