package bronzeflow

// class says how much the loss of an entry harms.
type class uint8

// The classes of entries, in the order in which they are evicted.
const (
	classPending class = iota
	classClosed
	classLearned
	// classKept is the class of entries that must stay: Owned ones that are
	// Established. Without its entry such a flow breaks.
	classKept

	classes = int(classKept)
)

func classOf(e *Entry) class {
	switch {
	case e.State == Pending:
		return classPending
	case e.State == Closed:
		return classClosed
	case e.Flags&Owned == 0:
		return classLearned
	default:
		return classKept
	}
}

// evictionSample is how many entries of a class are compared for an eviction.
// A flood of openings evicts at its own rate; a search of the whole shard
// for the least recently used would let it take all of the processor.
const evictionSample = 16

// ring is a circular list of the slots of one class. hand is its oldest slot
// or the one where the last search stopped, plus one; 0 if the ring is empty.
type ring struct {
	hand int32
}

// reclassify moves slot i to the ring that its entry now belongs to.
func (s *shard) reclassify(i int32) {
	p := s.at(i)
	c := classOf(&p.entry)
	if c == p.class {
		return
	}
	s.leave(i)
	p.class = c
	s.join(i, c)
}

// join adds slot i to the ring of c, as the newest.
func (s *shard) join(i int32, c class) {
	if c == classKept {
		return
	}
	r := &s.rings[c]
	l := s.link(i)
	if r.hand == 0 {
		l.older, l.newer = i, i
		r.hand = i + 1
		return
	}
	hand := r.hand - 1
	h := s.link(hand)
	l.older, l.newer = h.older, hand
	s.link(h.older).newer = i
	h.older = i
}

// leave takes slot i out of the ring of its class.
func (s *shard) leave(i int32) {
	c := s.at(i).class
	if c == classKept {
		return
	}
	r := &s.rings[c]
	l := s.link(i)
	if l.newer == i {
		r.hand = 0
		return
	}
	if r.hand == i+1 {
		r.hand = l.newer + 1
	}
	s.link(l.older).newer = l.newer
	s.link(l.newer).older = l.older
}

// victim returns the slot to evict, or none.
func (s *shard) victim() int32 {
	for c := range s.rings {
		if s.rings[c].hand != 0 {
			return s.leastUsed(&s.rings[c])
		}
	}
	return none
}

// leastUsed returns the least recently used of the next few slots of r, which
// isn't empty, and leaves the hand behind them.
func (s *shard) leastUsed(r *ring) int32 {
	first := r.hand - 1
	best := first
	i := first
	for range evictionSample {
		if s.at(i).entry.Used < s.at(best).entry.Used {
			best = i
		}
		i = s.link(i).newer
		if i == first {
			break
		}
	}
	r.hand = i + 1
	return best
}
