package bronzerecord

import (
	"cmp"
	"slices"
	"sync"
)

// Record is one record as the store holds it. Nobody may change its Body.
type Record struct {
	Name string
	// Revision is that of its last change, Created that of its creation.
	Revision uint64
	Created  uint64
	Body     []byte
}

// Delta leads from one revision of the contents to another.
type Delta struct {
	// Epoch is that of the history that both revisions are of.
	Epoch uint64
	// Whole says that Changed is all there is; From has no meaning then.
	Whole bool
	From  uint64
	// To is the revision up to which the contents are complete afterwards.
	To      uint64
	Changed []Record
	Removed []Removal
}

// Removal is a record that was removed at a revision.
type Removal struct {
	Name     string
	Revision uint64
}

// Change is what a Delta changed in a Set.
type Change struct {
	Revision uint64
	Changed  []Record
	Removed  []string
}

// Set is a copy of the store's records. The zero Set is empty and ready. All
// methods may be called concurrently.
type Set struct {
	// OnChange is called with each change, one call at a time. It must not
	// call Apply.
	OnChange func(Change)

	// apply orders the calls of OnChange.
	apply sync.Mutex

	mu       sync.Mutex
	revision uint64
	records  map[string]Record
	// removed are the latest removals, oldest first, for Since; forgotten is
	// the revision of the newest one that was dropped from it.
	removed   []Removal
	forgotten uint64
}

// maxRemoved bounds the removals that are remembered. A peer that is further
// behind gets the whole contents.
const maxRemoved = 4096

// Revision returns the revision up to which the copy is complete, 0 if it has
// none yet.
func (s *Set) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Apply takes a delta in. It is refused, with applied false, if it starts
// after this copy's revision, since something between them would be missing.
// One that ends before this copy's revision brings nothing. Within a delta
// each record is compared by its own revision, so a delta may overlap what is
// known.
func (s *Set) Apply(d Delta) (applied bool) {
	s.apply.Lock()
	defer s.apply.Unlock()
	c, applied := s.update(d)
	if applied && s.OnChange != nil {
		s.OnChange(c)
	}
	return applied
}

func (s *Set) update(d Delta) (c Change, applied bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.To < s.revision || !d.Whole && d.From > s.revision || d.To == s.revision && s.revision > 0 {
		return c, false
	}
	if s.records == nil {
		s.records = make(map[string]Record)
	}
	for _, r := range d.Changed {
		if old, ok := s.records[r.Name]; ok && old.Revision >= r.Revision {
			continue
		}
		s.records[r.Name] = r
		c.Changed = append(c.Changed, r)
	}
	if d.Whole {
		d.Removed = append(d.Removed, s.absent(d)...)
	}
	for _, r := range d.Removed {
		if old, ok := s.records[r.Name]; !ok || old.Revision > r.Revision {
			continue
		}
		delete(s.records, r.Name)
		s.noteRemoved(r)
		c.Removed = append(c.Removed, r.Name)
	}
	if d.Whole {
		// Records may have come and gone between the last delta and this one.
		s.forgotten = max(s.forgotten, d.To)
	}
	s.revision = d.To
	c.Revision = d.To
	return c, true
}

// absent returns the removals that a whole delta implies.
func (s *Set) absent(d Delta) (removed []Removal) {
	present := make(map[string]struct{}, len(d.Changed))
	for _, r := range d.Changed {
		present[r.Name] = struct{}{}
	}
	for name := range s.records {
		if _, ok := present[name]; !ok {
			removed = append(removed, Removal{Name: name, Revision: d.To})
		}
	}
	slices.SortFunc(removed, func(a, b Removal) int { return cmp.Compare(a.Name, b.Name) })
	return removed
}

func (s *Set) noteRemoved(r Removal) {
	s.removed = append(s.removed, r)
	if len(s.removed) > maxRemoved {
		drop := len(s.removed) - maxRemoved
		s.forgotten = max(s.forgotten, s.removed[drop-1].Revision)
		s.removed = slices.Delete(s.removed, 0, drop)
	}
}

// Since returns what leads a copy of the given revision to this one's: all
// records for a copy that has none. ok is false if this copy isn't newer, or
// doesn't know what was removed in between. It doesn't answer with all records
// then: a node that has just started knows no removals, and would fill its link
// with whole copies for nodes that are one record behind.
func (s *Set) Since(revision uint64) (d Delta, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	whole := revision == 0
	if revision >= s.revision || !whole && revision < s.forgotten {
		return d, false
	}
	d = Delta{From: revision, To: s.revision, Whole: whole}
	for _, r := range s.records {
		if r.Revision > revision {
			d.Changed = append(d.Changed, r)
		}
	}
	slices.SortFunc(d.Changed, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	if whole {
		return d, true
	}
	for _, r := range s.removed {
		if r.Revision > revision {
			d.Removed = append(d.Removed, r)
		}
	}
	return d, true
}
