package bronzefleet

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bronzeusher.example/bronzeusher/bronzelink"
)

const (
	// loadBurst is how much of the byte budget may be saved up.
	loadBurst = 2 * time.Second
	// unpruneSequences is how often, in Loads of one origin, the tree that
	// they travel on is built anew.
	unpruneSequences = 64
)

// loads spreads the Load of each node to all others. The first one that
// arrives is passed on to the other neighbours; a neighbour that had it already
// answers with a Prune and gets no more of that origin's from here, so that
// what remains is a tree for each origin, and each Load crosses few links
// twice. Loads wait for the byte budget, and only the newest of an origin does.
type loads struct {
	mu         sync.Mutex
	origins    map[string]*origin
	neighbours []bronzelink.Member
	direct     bool // all members are neighbours: nothing is passed on
	sequence   uint64
	tokens     float64
	paced      time.Time
	prunes     map[string][]string // origins by neighbour
}

// origin is the newest Load of one node.
type origin struct {
	load    *bronzelink.Load
	size    int
	from    string
	arrived time.Time
	change  int // how much of it changed since it was last passed on
	pending map[string]struct{}
	pruned  map[string]struct{}
}

// Share spreads this node's own load; Origin and Sequence are set here. The
// caller must not change the slices afterwards.
func (f *Fleet) Share(load bronzelink.Load) {
	load.Origin = f.Self.Name
	f.load.share(&load)
}

func (s *loads) share(l *bronzelink.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sequence == 0 {
		// Later than any Sequence of an earlier process of this name.
		s.sequence = uint64(time.Now().UnixMilli())
	}
	s.sequence++
	l.Sequence = s.sequence
	s.store(l, "")
}

// receive takes a Load that the neighbour from passed on.
func (s *loads) receive(f *Fleet, from string, l *bronzelink.Load) {
	if l.Origin == f.Self.Name || !s.keep(from, l) {
		return
	}
	if f.OnLoad != nil {
		f.OnLoad(l)
	}
}

// keep stores l and reports whether it is newer than what was known.
func (s *loads) keep(from string, l *bronzelink.Load) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.origins[l.Origin]
	if o == nil || l.Sequence > o.load.Sequence {
		s.store(l, from)
		return true
	}
	delete(o.pending, from)
	if l.Sequence == o.load.Sequence && from != o.from {
		if s.prunes == nil {
			s.prunes = map[string][]string{}
		}
		s.prunes[from] = append(s.prunes[from], l.Origin)
	}
	return false
}

// store makes l the newest Load of its origin and marks who is to get it.
func (s *loads) store(l *bronzelink.Load, from string) {
	if s.origins == nil {
		s.origins = map[string]*origin{}
	}
	o := s.origins[l.Origin]
	if o == nil {
		o = &origin{load: &bronzelink.Load{}, pruned: map[string]struct{}{}}
		s.origins[l.Origin] = o
	}
	o.change += difference(o.load, l)
	if l.Sequence%unpruneSequences == 0 {
		clear(o.pruned)
	}
	delete(o.pruned, from)
	o.load, o.from, o.arrived, o.size = l, from, time.Now(), 0
	s.mark(o)
}

// mark notes which neighbours are to get o.
func (s *loads) mark(o *origin) {
	o.pending = map[string]struct{}{}
	if s.direct && o.from != "" {
		return
	}
	for i := range s.neighbours {
		name := s.neighbours[i].Name
		_, pruned := o.pruned[name]
		if !pruned && name != o.from && name != o.load.Origin {
			o.pending[name] = struct{}{}
		}
	}
}

// difference returns by how many flows two loads of one origin differ.
func difference(a, b *bronzelink.Load) int {
	return countDifference(a.Owned, b.Owned) + countDifference(a.Reported, b.Reported) +
		len(b.Leaving) + len(a.Leaving)
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

// prune notes that the neighbour from gets the origins' loads elsewhere.
func (s *loads) prune(from string, origins []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range origins {
		if o := s.origins[name]; o != nil && o.from != from {
			o.pruned[from] = struct{}{}
			delete(o.pending, from)
		}
	}
}

// setNeighbours makes the trees grow anew when the neighbours changed.
func (s *loads) setNeighbours(neighbours []bronzelink.Member, others int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.direct = len(neighbours) == others
	same := slices.EqualFunc(s.neighbours, neighbours, func(a, b bronzelink.Member) bool { return a.Name == b.Name })
	s.neighbours = neighbours
	if same {
		return
	}
	for _, o := range s.origins {
		clear(o.pruned)
		s.mark(o)
	}
}

// forget drops the origins that are not in names.
func (s *loads) forget(members map[string]*entry, self string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.origins {
		if _, ok := members[name]; !ok && name != self {
			delete(s.origins, name)
		}
	}
}

// pace sends what the byte budget allows: this node's own load first, then
// those that changed most or wait longest.
func (s *loads) pace(f *Fleet, now time.Time) {
	for _, o := range s.due(now, float64(orDefault(f.LoadBytesPerSecond, DefaultLoadBytesPerSecond))) {
		f.transmit(o.to, o.m)
	}
}

// due returns the messages that may be sent now.
func (s *loads) due(now time.Time, rate float64) (out []outgoing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paced.IsZero() {
		s.paced = now
	}
	s.tokens = min(s.tokens+rate*now.Sub(s.paced).Seconds(), rate*loadBurst.Seconds())
	s.paced = now
	out = s.duePrunes()
	waiting := make([]*origin, 0, len(s.origins))
	for _, o := range s.origins {
		if len(o.pending) > 0 {
			waiting = append(waiting, o)
		}
	}
	slices.SortFunc(waiting, func(a, b *origin) int {
		return cmp.Or(cmp.Compare(b.urgency(now), a.urgency(now)), cmp.Compare(a.load.Origin, b.load.Origin))
	})
	for _, o := range waiting {
		m := &bronzelink.Message{Load: o.load}
		if o.size == 0 {
			o.size = encodedSize(m)
		}
		for i := range s.neighbours {
			if _, ok := o.pending[s.neighbours[i].Name]; !ok {
				continue
			}
			if s.tokens < 0 {
				return out
			}
			s.tokens -= float64(o.size)
			delete(o.pending, s.neighbours[i].Name)
			out = append(out, outgoing{to: s.neighbours[i], m: m})
		}
		o.change = 0
	}
	return out
}

// duePrunes returns the prunes, which cost little and save much.
func (s *loads) duePrunes() (out []outgoing) {
	for i := range s.neighbours {
		if origins := s.prunes[s.neighbours[i].Name]; len(origins) > 0 {
			m := &bronzelink.Message{Prune: origins}
			s.tokens -= float64(encodedSize(m))
			out = append(out, outgoing{to: s.neighbours[i], m: m})
		}
	}
	s.prunes = nil
	return out
}

// urgency orders the loads that wait.
func (o *origin) urgency(now time.Time) int {
	if o.from == "" {
		return int(^uint(0) >> 1) // this node's own
	}
	return o.change + int(now.Sub(o.arrived).Seconds())
}

func encodedSize(m *bronzelink.Message) int {
	b, err := bronzelink.Encode(m)
	if err != nil {
		return 0
	}
	return len(b)
}
