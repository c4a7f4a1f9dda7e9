package bronzegossip

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzerecord"
	"bronzeusher.example/bronzeusher/bronzeretry"
)

// pagedStore is a store that is read page by page. While it is compacting, its watches miss
// changes for a second, and then the history is dropped and they are cut, again and again.
type pagedStore struct {
	mu       sync.Mutex
	revision uint64
	// records is ordered by name, history by revision.
	records   []bronzerecord.Record
	history   []bronzerecord.Delta
	compacted uint64
	silent    bool
	// linkFree is when the store's link has sent all answers so far.
	linkFree time.Time
	// pages counts the pages read by each node, stalePages those of them that may be stale,
	// watches the watches of all nodes.
	pages      map[string]int
	stalePages int
	watches    int
}

const (
	storePage    = 500
	storeLatency = 4 * time.Millisecond
	// recordBits is the size of a record on the wire, storeLink the speed of the store's
	// link and nodeLink that of a node's.
	recordBits = 8 * 330
	storeLink  = 1e9
	nodeLink   = 20e6
	// recordWork is the processor time that a small node takes for a record of a page.
	recordWork = 80 * time.Microsecond
	tableName  = "routes"
)

func newPagedStore(servers int) *pagedStore {
	s := &pagedStore{pages: map[string]int{}}
	s.put(tableName)
	for i := range servers {
		s.put(fmt.Sprintf("servers/%06d", i))
	}
	return s
}

func (s *pagedStore) find(name string) (i int, ok bool) {
	return slices.BinarySearchFunc(s.records, name, func(r bronzerecord.Record, name string) int { return cmp.Compare(r.Name, name) })
}

// put writes a record.
func (s *pagedStore) put(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	r := bronzerecord.Record{Name: name, Revision: s.revision, Created: s.revision}
	i, ok := s.find(name)
	if ok {
		r.Created = s.records[i].Created
		s.records[i] = r
	} else {
		s.records = slices.Insert(s.records, i, r)
	}
	s.history = append(s.history, bronzerecord.Delta{From: s.revision - 1, To: s.revision, Changed: []bronzerecord.Record{r}})
}

// compact drops the history, each second anew, until ctx is done.
func (s *pagedStore) compact(ctx context.Context) {
	for ctx.Err() == nil {
		s.locked(func() { s.silent = true })
		bronzeretry.Pause(ctx, time.Second)
		s.locked(func() { s.silent, s.compacted = false, s.revision })
		bronzeretry.Pause(ctx, 10*time.Millisecond)
	}
}

func (s *pagedStore) locked(step func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	step()
}

// transfer returns how long an answer of n records waits for the store's link and takes on
// both links and in the node.
func (s *pagedStore) transfer(n int) time.Duration {
	now := time.Now()
	if s.linkFree.Before(now) {
		s.linkFree = now
	}
	bits := float64(n * recordBits)
	s.linkFree = s.linkFree.Add(time.Duration(bits / storeLink * float64(time.Second)))
	return s.linkFree.Sub(now) + time.Duration(bits/nodeLink*float64(time.Second)) + time.Duration(n)*recordWork
}

func (s *pagedStore) source(node string) bronzerecord.Source {
	read := func(ctx context.Context, after string, stale bool) (p bronzerecord.Page, err error) {
		bronzeretry.Pause(ctx, storeLatency)
		var took time.Duration
		s.locked(func() {
			s.pages[node]++
			if stale {
				s.stalePages++
			}
			i, ok := s.find(after)
			if ok {
				i++
			}
			end := min(i+storePage, len(s.records))
			p = bronzerecord.Page{Records: slices.Clone(s.records[i:end]), Revision: s.revision, More: end < len(s.records)}
			took = s.transfer(end - i)
		})
		bronzeretry.Pause(ctx, took)
		return p, ctx.Err()
	}
	watch := func(ctx context.Context, after uint64) (d bronzerecord.Delta, err error) {
		var cut uint64
		s.locked(func() {
			cut = s.compacted
			s.watches++
		})
		for range 10 {
			s.locked(func() {
				d, err = s.poll(after)
				if s.compacted != cut {
					err = bronzerecord.ErrUnavailable
				}
			})
			if err != nil || len(d.Changed) > 0 {
				break
			}
			bronzeretry.Pause(ctx, 100*time.Millisecond)
		}
		return d, err
	}
	return bronzerecord.Source{Read: read, Watch: watch}
}

// poll returns the present answer to a watch.
func (s *pagedStore) poll(after uint64) (d bronzerecord.Delta, err error) {
	d = bronzerecord.Delta{From: after, To: s.revision}
	switch {
	case after < s.compacted:
		return d, bronzerecord.ErrCompacted
	case s.silent:
		return d, nil
	}
	latest := map[string]bronzerecord.Record{}
	for _, h := range s.history[after:] {
		latest[h.Changed[0].Name] = h.Changed[0]
	}
	for _, r := range latest {
		d.Changed = append(d.Changed, r)
	}
	return d, nil
}

// reader is a node with all that it takes to follow a store.
type reader struct {
	gossip   Gossip
	records  bronzerecord.Set
	follower bronzerecord.Follower
	fetching sync.Mutex
	// table is the revision of the table in force.
	table atomic.Uint64
}

// fleetOfReaders is a fleet of nodes that follow one store.
type fleetOfReaders struct {
	store  *pagedStore
	nodes  []*reader
	byAddr map[netip.AddrPort]*reader
}

func newFleetOfReaders(n, servers int) *fleetOfReaders {
	f := &fleetOfReaders{store: newPagedStore(servers), byAddr: map[netip.AddrPort]*reader{}}
	for i := range n {
		f.addNode(i)
	}
	for _, d := range f.nodes {
		d.gossip.Seeds = []netip.AddrPort{f.nodes[0].gossip.Self.Address, f.nodes[n/2].gossip.Self.Address}
	}
	return f
}

func (f *fleetOfReaders) addNode(i int) {
	d := &reader{}
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 7000)
	random := rand.New(rand.NewPCG(1, uint64(i)))
	var mu sync.Mutex
	d.gossip = Gossip{
		Self:    Peer{Name: fmt.Sprintf("node-%d", i), Incarnation: 1, Address: address, AvailabilityZone: string(rune('a' + i%zones))},
		Records: &d.records,
		Random: func(n int) int {
			mu.Lock()
			defer mu.Unlock()
			return random.IntN(n)
		},
		Send: func(to netip.AddrPort, b []byte) {
			time.AfterFunc(time.Millisecond, func() { f.byAddr[to].gossip.Handle(b, time.Now()) })
		},
		Fetch: func(peer Peer, since bronzerecord.Position) { go f.fetch(d, f.byAddr[peer.Address], since) },
	}
	d.records.OnChange = func(c bronzerecord.Change) {
		for _, r := range c.Changed {
			if r.Name == tableName {
				d.table.Store(r.Revision)
			}
		}
	}
	d.follower = bronzerecord.Follower{
		Source: f.store.source(d.gossip.Self.Name), Set: &d.records, OnEvent: d.onStoreEvent,
		Active: func() bool { return d.gossip.ShouldRead(time.Now()) },
		Yield:  func() bool { return d.gossip.Yields(time.Now()) },
	}
	f.nodes = append(f.nodes, d)
	f.byAddr[address] = d
}

// onStoreEvent passes on what the store answered.
func (d *reader) onStoreEvent(e bronzerecord.Event) {
	now := time.Now()
	switch e.Kind {
	case bronzerecord.Loaded, bronzerecord.Watched:
		if !e.Stale {
			d.gossip.StoreConfirmed(now)
		}
		if len(e.Delta.Changed) > 0 {
			d.gossip.Spread(e.Delta, now)
		}
	case bronzerecord.PageRead:
		d.gossip.StoreLoading(now)
	case bronzerecord.Failed:
		d.gossip.StoreFailed()
	}
}

// fetch updates a node's records from a peer's.
func (f *fleetOfReaders) fetch(d, peer *reader, since bronzerecord.Position) {
	if !d.fetching.TryLock() {
		return
	}
	defer d.fetching.Unlock()
	delta, ok := peer.records.Since(since)
	time.Sleep(4*time.Millisecond + time.Duration(float64(len(delta.Changed)*recordBits)/nodeLink*float64(time.Second)))
	if ok && d.records.Apply(delta) {
		d.gossip.Spread(delta, time.Now())
	}
}

// start runs the nodes until ctx is done.
func (f *fleetOfReaders) start(ctx context.Context) {
	for _, d := range f.nodes {
		go func() { _ = d.follower.Run(ctx) }()
		go func() {
			for ctx.Err() == nil {
				d.gossip.Tick(time.Now())
				bronzeretry.Pause(ctx, TickInterval)
			}
		}()
	}
}

// changeTable changes the table, waits until all nodes have it, and returns how long that
// took. It gives up after limit.
func (f *fleetOfReaders) changeTable(limit time.Duration) time.Duration {
	start := time.Now()
	f.store.put(tableName)
	var revision uint64
	f.store.locked(func() {
		i, _ := f.store.find(tableName)
		revision = f.store.records[i].Revision
	})
	for time.Since(start) < limit {
		synctest.Wait()
		if !slices.ContainsFunc(f.nodes, func(d *reader) bool { return d.table.Load() < revision }) {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// The store drops its history again and again while servers change, faster than a node
// reads all records. Each change of the table must be in force on all nodes within the
// stated time, and few nodes may read everything for all: if all did, they would fill the
// store's link.
func TestChangesWhileHistoryIsDropped(t *testing.T) {
	for _, servers := range []int{600, 6000, 12000} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const inForce = 6 * time.Second
				f := newFleetOfReaders(30, servers)
				ctx, cancel := context.WithCancel(t.Context())
				defer func() {
					cancel()
					time.Sleep(time.Second)
				}()
				f.start(ctx)
				time.Sleep(15 * time.Second)
				clear(f.store.pages)
				go f.store.compact(ctx)
				go func() {
					for i := 0; ctx.Err() == nil; i++ {
						f.store.put(fmt.Sprintf("servers/%06d", i*37%servers))
						bronzeretry.Pause(ctx, 100*time.Millisecond)
					}
				}()
				var slowest time.Duration
				for range 4 {
					time.Sleep(300 * time.Millisecond)
					slowest = max(slowest, f.changeTable(inForce))
				}
				pages := 0
				f.store.locked(func() {
					for _, n := range f.store.pages {
						pages += n
					}
				})
				t.Logf("slowest change %v, %d nodes read %d pages", slowest, len(f.store.pages), pages)
				require.Less(t, slowest, inForce)
				require.LessOrEqual(t, len(f.store.pages), zones+2)
			})
		})
	}
}

// calls returns what the store's calls cost so far. A page that may be stale costs a tenth.
func (s *pagedStore) calls() (n float64) {
	for _, pages := range s.pages {
		n += float64(pages)
	}
	return n - 0.9*float64(s.stalePages) + float64(s.watches)
}

// All nodes start at once, before the store has confirmed anything to any of them. Guards
// against nodes that take this for readers which are cut off, and all read the store: each
// start must cost less than one call.
func TestCallsAtCommonStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 100
		f := newFleetOfReaders(nodes, 100)
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Second)
		}()
		f.start(ctx)
		time.Sleep(2 * time.Second)
		f.changeTable(3 * time.Second)
		f.store.locked(func() {
			t.Logf("%.1f calls for %d starts", f.store.calls(), nodes)
			require.Less(t, f.store.calls(), float64(nodes))
		})
	})
}
