package bronzerecord

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"time"
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
	// Recollection is what a peer adds to whole contents: what it knows of earlier
	// epochs and the store lost.
	Recollection *LostHistory `cbor:",omitempty"`
}

// position returns where the delta leads to.
func (d *Delta) position() Position { return Position{Epoch: d.Epoch, Revision: d.To} }

// Removal is a record that was removed at a revision.
type Removal struct {
	Name     string
	Revision uint64
}

// tombstone is a Removal in an epoch.
type tombstone struct {
	Removal
	epoch uint64
}

// Change is what a Delta changed in a Set.
type Change struct {
	// Position is the Set's since.
	Position Position
	Changed  []Record
	Removed  []string
	// Lost is what the store has lost by coming back from a copy, the earliest states
	// first. It is to count for more than Changed and Removed until it is written
	// again, or for RecallFor.
	Lost []LostRecord
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
	position Position
	records  map[string]Record
	lost     lostRecords
	// tombstones are the latest removals, oldest first, for Since, and those of earlier
	// epochs before them; dropped is the revision of the newest one of the present
	// epoch that was dropped from it.
	tombstones []tombstone
	compacted  uint64
}

// maxTombstones bounds the removals that are remembered. A peer that is further
// behind gets the whole contents.
const maxTombstones = 4096

// Position returns up to where the copy is complete, the zero Position if it has
// nothing yet.
func (s *Set) Position() Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position
}

// Apply takes a delta in. It is refused, with applied false, if it ends before this
// copy's position, and unless it is whole if it starts after it or is of another
// epoch, since something between them would be missing. Within a delta of the same
// epoch each record is compared by its own revision, so a delta may overlap what is
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
	if !s.accepts(&d) {
		return c, false
	}
	if s.records == nil {
		s.records = make(map[string]Record)
	}
	now, newEpoch := time.Now(), s.inNewEpoch(&d)
	if newEpoch {
		s.recordLost(&d, now)
	}
	c.Changed = s.applyChanged(&d, newEpoch)
	c.Removed = s.applyRemoved(&d, newEpoch)
	switch {
	case newEpoch:
		s.compacted = d.To
	case d.Whole:
		// Records may have come and gone between the last delta and this one.
		s.compacted = max(s.compacted, d.To)
	}
	s.position = d.position()
	if d.Recollection != nil {
		c.Lost = s.mergeLost(d.Recollection, now)
	}
	if newEpoch {
		c.Lost = s.listLost(now)
	}
	c.Position = s.position
	return c, true
}

// applyChanged returns what of d's records is new.
func (s *Set) applyChanged(d *Delta, newEpoch bool) (changed []Record) {
	for _, r := range d.Changed {
		s.dropRewritten(r.Name, r.Revision)
		if old, ok := s.records[r.Name]; ok && !r.supersedes(&old, newEpoch) {
			continue
		}
		s.records[r.Name] = r
		changed = append(changed, r)
	}
	return changed
}

// applyRemoved returns the names of the records that are no more.
func (s *Set) applyRemoved(d *Delta, newEpoch bool) (names []string) {
	removed := d.Removed
	switch {
	case newEpoch:
		names = s.dropAbsent(d)
	case d.Whole:
		removed = append(slices.Clone(removed), s.impliedRemovals(d)...)
	}
	for _, r := range removed {
		if s.remove(tombstone{Removal: r, epoch: d.Epoch}) {
			names = append(names, r.Name)
		}
	}
	return names
}

// remove takes a removal in; changed is false if there was no such record. That of a record
// which came and went between two deltas is noted all the same, as peers may have it.
func (s *Set) remove(r tombstone) (changed bool) {
	old, ok := s.records[r.Name]
	if ok && old.Revision > r.Revision || !ok && r.Revision <= s.position.Revision {
		return false
	}
	dropped := s.dropRewritten(r.Name, r.Revision)
	delete(s.records, r.Name)
	s.addTombstone(r)
	return ok || dropped
}

// dropAbsent drops what the contents of a later epoch don't have. Nobody removed it: the store lost it.
func (s *Set) dropAbsent(d *Delta) (names []string) {
	for _, r := range s.impliedRemovals(d) {
		delete(s.records, r.Name)
		names = append(names, r.Name)
	}
	return names
}

// accepts reports whether d leads on from what the copy has.
func (s *Set) accepts(d *Delta) bool {
	switch {
	case s.inNewEpoch(d):
		return d.Whole
	case s.position.IsZero():
		return d.Epoch >= s.position.Epoch && (d.Whole || d.From == 0)
	default:
		return s.position.Before(d.position()) && (d.Whole || d.From <= s.position.Revision)
	}
}

// inNewEpoch reports whether d is of a later epoch than what the copy has.
func (s *Set) inNewEpoch(d *Delta) bool {
	return s.position != Position{} && s.position.Epoch < d.Epoch
}

// supersedes reports whether r is another state of a record than old. Revisions of two
// epochs can't be compared: the same one may stand for two writes.
func (r *Record) supersedes(old *Record, newEpoch bool) bool {
	if newEpoch {
		return !r.equal(old)
	}
	return r.Revision > old.Revision
}

// equal reports whether two epochs have a record in common.
func (r *Record) equal(other *Record) bool {
	return r.Revision == other.Revision && bytes.Equal(r.Body, other.Body)
}

// impliedRemovals returns the removals that a whole delta implies.
func (s *Set) impliedRemovals(d *Delta) (removed []Removal) {
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

func (s *Set) addTombstone(r tombstone) {
	s.tombstones = append(s.tombstones, r)
	if len(s.tombstones) > maxTombstones {
		drop := len(s.tombstones) - maxTombstones
		if last := s.tombstones[drop-1]; last.epoch == r.epoch {
			s.compacted = max(s.compacted, last.Revision)
		}
		s.tombstones = slices.Delete(s.tombstones, 0, drop)
	}
}

// Since returns what leads a copy at the given position to this one's: all records
// for a copy that has none, or those of another epoch. ok is false if this copy isn't
// newer, or doesn't know what was removed in between. It doesn't answer with all records
// then: a node that has just started knows no removals, and would fill its link
// with whole copies for nodes that are one record behind.
func (s *Set) Since(p Position) (d Delta, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	whole := p.IsZero() || p.Epoch != s.position.Epoch
	if !p.Before(s.position) || !whole && p.Revision < s.compacted {
		return d, false
	}
	d = Delta{Epoch: s.position.Epoch, To: s.position.Revision, Whole: whole}
	if !whole {
		d.From = p.Revision
	}
	for _, r := range s.records {
		if r.Revision > d.From {
			d.Changed = append(d.Changed, r)
		}
	}
	slices.SortFunc(d.Changed, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	if whole {
		if r, ok := s.lostHistory(time.Now()); ok {
			d.Recollection = &r
		}
		return d, true
	}
	for _, r := range s.tombstones {
		if r.epoch == d.Epoch && r.Revision > d.From {
			d.Removed = append(d.Removed, r.Removal)
		}
	}
	return d, true
}
