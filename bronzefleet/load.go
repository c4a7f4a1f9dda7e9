package bronzefleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"bronzeusher.example/bronzeusher/bronzelink"
)

const (
	// loadBurst is the time over which unused byte budget accumulates.
	loadBurst = 2 * time.Second
	// loadShare is the share of the byte budget for regular loads; the rest is
	// for catching up.
	loadShare = 0.7
	// unchangedLoad is the factor by which an unchanged load is sent less often.
	unchangedLoad = 8
	// leavingWeight is how much a server that starts or stops leaving counts as
	// a change: more than any number of flows.
	leavingWeight = 1 << 32
)

// loadSpreader spreads the Load of each node to all others. In a small fleet the
// origin sends it to all. In a larger one a Load travels around the first ring
// in both directions, and each node that didn't have it passes it on at once. So
// each node sends each Load about once, which is the minimum; a single break in
// the ring keeps it from no node; and half the ring takes less than a second. An
// origin sends its own Load as often as the byte budget allows at this fleet
// size. Where the budget is exceeded, the loads that changed least wait, and
// only the newest of each origin is kept.
type loadSpreader struct {
	mu         sync.Mutex
	origins    map[string]*origin
	waiting    map[*origin]struct{} // those that are still to be sent to neighbours
	neighbours []bronzelink.Member  // that loads are sent to
	direct     bool                 // the neighbours are all members, so nothing is passed on
	others     int                  // the number of members without this node
	own        *bronzelink.Load
	ownSent    time.Time
	sequence   uint64
	tokens     float64
	lastRefill time.Time
}

// origin holds the newest Load of one node.
type origin struct {
	load    *bronzelink.Load
	size    int
	from    string
	arrived time.Time
	change  int // in flows, since it was last sent to all neighbours
	pending map[string]struct{}
}

// Share sets this node's own load, which is sent when the byte budget allows. The
// Fleet sets its Origin and Sequence. The caller must not change the slices of
// load afterwards.
func (f *Fleet) Share(load bronzelink.Load) {
	load.Origin = f.Self.Name
	f.load.share(&load)
}

func (s *loadSpreader) share(l *bronzelink.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own = l
}

// storeOwn marks this node's own load to be sent if it is due.
func (s *loadSpreader) storeOwn(now time.Time, rate float64) {
	if s.own == nil {
		return
	}
	o := s.origins[s.own.Origin]
	if o != nil {
		if now.Sub(s.ownSent).Seconds() < s.ownWait(o, rate) {
			return
		}
	}
	if s.sequence == 0 {
		// Higher than any Sequence of an earlier process with this name.
		s.sequence = uint64(now.UnixMilli())
	}
	s.sequence++
	l := *s.own
	l.Sequence = s.sequence
	s.ownSent = now
	s.store(&l, "")
}

// ownWait returns how many seconds after o the node's own load may be sent. A
// change in which servers are leaving is sent at once: nodes that don't know of
// it open new flows there.
func (s *loadSpreader) ownWait(o *origin, rate float64) float64 {
	wait := float64(s.others+1) * float64(o.size) / (rate * loadShare)
	switch change := difference(o.load, s.own); {
	case change >= leavingWeight:
		return 0
	case change == 0:
		return wait * unchangedLoad
	default:
		return wait
	}
}

// receive processes a Load that the neighbour from passed on.
func (s *loadSpreader) receive(f *Fleet, from string, l *bronzelink.Load) {
	if l.Origin == f.Self.Name || !s.storeIfNewer(from, l) {
		return
	}
	s.sendDue(f, time.Now())
	if f.OnLoad != nil {
		f.OnLoad(l)
	}
}

// storeIfNewer stores l if it is newer than the stored Load, and reports whether
// it is.
func (s *loadSpreader) storeIfNewer(from string, l *bronzelink.Load) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.origins[l.Origin]
	if o == nil || l.Sequence > o.load.Sequence {
		s.store(l, from)
		return true
	}
	delete(o.pending, from)
	return false
}

// store makes l the newest Load of its origin, to be sent to the neighbours.
func (s *loadSpreader) store(l *bronzelink.Load, from string) {
	if s.origins == nil {
		s.origins = map[string]*origin{}
	}
	o := s.origins[l.Origin]
	if o == nil {
		o = &origin{load: &bronzelink.Load{}}
		s.origins[l.Origin] = o
	}
	o.change += difference(o.load, l)
	o.load, o.from, o.arrived, o.size = l, from, time.Now(), 0
	s.markPending(o)
}

// markPending records which neighbours o is still to be sent to.
func (s *loadSpreader) markPending(o *origin) {
	o.pending = map[string]struct{}{}
	if s.direct && o.from != "" {
		return
	}
	if s.waiting == nil {
		s.waiting = map[*origin]struct{}{}
	}
	s.waiting[o] = struct{}{}
	for i := range s.neighbours {
		name := s.neighbours[i].Name
		if name != o.from && name != o.load.Origin {
			o.pending[name] = struct{}{}
		}
	}
}

// difference returns by how many flows two loads of one origin differ.
func difference(a, b *bronzelink.Load) int {
	change := countDifference(a.Owned, b.Owned) + countDifference(a.Reported, b.Reported)
	for _, id := range a.Leaving {
		if !slices.Contains(b.Leaving, id) {
			change += leavingWeight
		}
	}
	for _, id := range b.Leaving {
		if !slices.Contains(a.Leaving, id) {
			change += leavingWeight
		}
	}
	return change
}

func countDifference(a, b []bronzelink.LoadItem) (n int) {
	before := make(map[uint64]int, len(a))
	for _, item := range a {
		before[uint64(item.Server)] = int(item.Count)
	}
	for _, item := range b {
		n += abs(int(item.Count) - before[uint64(item.Server)])
		delete(before, uint64(item.Server))
	}
	for _, count := range before {
		n += count
	}
	return n
}

func abs(n int) int {
	if n < 0 {
		return -n
	}
	return n
}

// setNeighbours sets the members that loads are sent to.
func (s *loadSpreader) setNeighbours(neighbours []bronzelink.Member, others int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.direct = len(neighbours) == others
	s.others = others
	same := slices.EqualFunc(s.neighbours, neighbours, func(a, b bronzelink.Member) bool { return a.Name == b.Name })
	s.neighbours = neighbours
	if o := s.origins[s.ownName()]; o != nil && !same {
		s.markPending(o)
	}
}

func (s *loadSpreader) ownName() string {
	if s.own == nil {
		return ""
	}
	return s.own.Origin
}

// forget drops the origins that are neither among members nor self.
func (s *loadSpreader) forget(members map[string]*entry, self string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.origins {
		if _, ok := members[name]; !ok && name != self {
			delete(s.waiting, s.origins[name])
			delete(s.origins, name)
		}
	}
}

// sendDue sends what the byte budget allows: first the loads that changed most or
// have waited longest.
func (s *loadSpreader) sendDue(f *Fleet, now time.Time) {
	for _, o := range s.due(now, float64(orDefault(f.LoadBytesPerSecond, DefaultLoadBytesPerSecond))) {
		f.transmit(o.to, o.m)
	}
}

// due returns the messages that may be sent now.
func (s *loadSpreader) due(now time.Time, rate float64) (out []outgoing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastRefill.IsZero() {
		s.lastRefill = now
	}
	s.tokens = min(s.tokens+rate*now.Sub(s.lastRefill).Seconds(), rate*loadBurst.Seconds())
	s.lastRefill = now
	s.storeOwn(now, rate)
	for _, o := range s.byUrgency(now) {
		limit := 0.0
		if o.change >= leavingWeight {
			limit = -rate * loadBurst.Seconds()
		}
		if s.tokens < limit {
			return out
		}
		m := &bronzelink.Message{Load: o.load}
		if o.size == 0 {
			o.size = encodedSize(m)
		}
		for i := range s.neighbours {
			if _, ok := o.pending[s.neighbours[i].Name]; !ok {
				continue
			}
			if s.tokens < limit {
				return out
			}
			s.tokens -= float64(o.size)
			delete(o.pending, s.neighbours[i].Name)
			out = append(out, outgoing{to: s.neighbours[i], m: m})
		}
		o.change = 0
		delete(s.waiting, o)
	}
	return out
}

// byUrgency returns the waiting loads, the most urgent first.
func (s *loadSpreader) byUrgency(now time.Time) []*origin {
	return slices.SortedFunc(maps.Keys(s.waiting), func(a, b *origin) int {
		return cmp.Or(cmp.Compare(b.urgency(now), a.urgency(now)), cmp.Compare(a.load.Origin, b.load.Origin))
	})
}

// urgency returns the key by which waiting loads are ordered: the change in
// flows plus the seconds since arrival.
func (o *origin) urgency(now time.Time) int {
	return o.change + int(now.Sub(o.arrived).Seconds())
}

func encodedSize(m *bronzelink.Message) int {
	b, err := bronzelink.Encode(m)
	if err != nil {
		return 0
	}
	return len(b)
}
