package bronzeflow

// class ranks an entry by the harm that its loss does.
type class uint8

// The classes of entries, in the order of eviction. evictableClasses is the
// number of those that can be evicted.
const (
	classPending class = iota
	classClosed
	classLearned
	// classProtected holds the entries that are never evicted: those that are
	// Owned and Established, whose flows would break without them.
	classProtected

	evictableClasses = int(classProtected)
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
		return classProtected
	}
}

// evictionSample is how many entries of a class are compared for an eviction.
// A flood of openings causes evictions at its own rate, and searching the whole
// shard for the least recently used entry each time would use up the processor.
const evictionSample = 16

// ring is a circular list of the slots of one class. hand is the slot where the
// next search starts, plus one: initially the oldest, later the one after the
// last search. It is 0 if the ring is empty.
type ring struct {
	hand int32
}

// reclassify moves slot i to the ring of its entry's present class.
func (s *shard) reclassify(i int32) {
	p := s.at(i)
	c := classOf(&p.entry)
	if c == p.class {
		return
	}
	s.removeFromRing(i)
	p.class = c
	s.addToRing(i, c)
}

// addToRing adds slot i to the ring of c, as the newest. Protected entries are
// in no ring.
func (s *shard) addToRing(i int32, c class) {
	if c == classProtected {
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

// removeFromRing removes slot i from the ring of its class.
func (s *shard) removeFromRing(i int32) {
	c := s.at(i).class
	if c == classProtected {
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

// victim returns the slot to evict, or noSlot.
func (s *shard) victim() int32 {
	for c := range s.rings {
		if s.rings[c].hand != 0 {
			return s.leastRecentlyUsed(&s.rings[c])
		}
	}
	return noSlot
}

// leastRecentlyUsed returns the least recently used of the next evictionSample
// slots of r, which must not be empty, and moves the hand past them.
func (s *shard) leastRecentlyUsed(r *ring) int32 {
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
