package bronzerecord

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"time"
)

// Record is a record of the store. Its Body must not be modified.
type Record struct {
	Name string
	// Revision is the store's revision at the last change of the record, Created the one
	// at its creation.
	Revision uint64
	Created  uint64
	Body     []byte
}

// Delta is the change from one revision of the store's contents to another, or a
// snapshot.
type Delta struct {
	// Epoch is the epoch of both revisions.
	Epoch uint64
	// Whole marks a snapshot: Changed holds all records, and From has no meaning.
	Whole bool
	From  uint64
	// To is the revision up to which a copy is complete once it has applied the delta.
	To      uint64
	Changed []Record
	Removed []Removal
	// Latest is the highest revision of any part of a snapshot that was read in parts. If it is
	// above To, the snapshot may lack records that were removed in between.
	Latest uint64 `cbor:",omitempty"`
	// Gaps are the parts of the history for which Removed lacks the records that were both
	// created and removed within them.
	Gaps []Gap `cbor:",omitempty"`
	// Recollection is added to a snapshot by a peer: what it knows of records that the
	// store has lost.
	Recollection *LostHistory `cbor:",omitempty"`
}

// latest returns the highest revision that a snapshot is from.
func (d *Delta) latest() uint64 { return max(d.To, d.Latest) }

// position returns the position to which the delta leads.
func (d *Delta) position() Position { return Position{Epoch: d.Epoch, Revision: d.To} }

// Removal says that a record was removed at a revision.
type Removal struct {
	Name     string
	Revision uint64
}

// Gap is a part of the store's history that a copy doesn't have, since it was brought from
// one revision to the other by a snapshot. Changed of a Delta with a Gap holds all records
// that were created within it and exist at its end. Its end is beyond To of the Delta if the
// snapshot was read in parts.
type Gap struct{ From, To uint64 }

// tombstone is a Removal in an epoch.
type tombstone struct {
	Removal
	epoch uint64
}

// Change is what a Delta or a LostHistory changed in a Set.
type Change struct {
	// Position is the position of the Set after the change.
	Position Position
	Changed  []Record
	Removed  []string
	// Lost holds the records that the store has lost by being restored from a backup, the
	// earliest state of each first. They take precedence over Changed and Removed until
	// they are rewritten, or for LostRetention.
	Lost []LostRecord
}

// Set is a copy of the store's records. The zero Set is empty and ready to use. All
// methods may be called concurrently.
type Set struct {
	// OnChange is called with each change, one call at a time. It must not call Apply or
	// MergeLostHistory.
	OnChange func(Change)

	// apply serializes the calls of OnChange.
	apply sync.Mutex

	mu       sync.Mutex
	position Position
	// latest is Latest of the last snapshot. Until the position reaches it, records may be missing
	// here that exist at the position.
	latest  uint64
	records map[string]Record
	lost    lostRecords
	// tombstones are those of the latest removals, oldest first, for Since. Those of
	// earlier epochs come before the others. compacted is the revision after which those
	// of the present epoch are complete, but for the gaps, which are in the order of their
	// ends.
	tombstones []tombstone
	compacted  uint64
	gaps       []Gap
}

// maxTombstones is the number of tombstones that are kept. Since returns nothing for a
// copy that is further behind.
const maxTombstones = 4096

// maxGaps is the number of gaps that are kept, likewise.
const maxGaps = 64

// Position returns the position up to which the copy is complete, the zero Position if it
// is empty.
func (s *Set) Position() Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position
}

// Apply applies a delta. It refuses, with applied false, a delta that doesn't lead beyond
// the position of a copy that has contents. Unless it is a snapshot, it also refuses one
// that starts after that position or is of another epoch, since changes in between would
// be missing. Within an epoch records are compared by their own revisions, so a delta may
// overlap with what the copy has.
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
	s.addGaps(&d, newEpoch)
	if d.Whole {
		s.latest = d.Latest
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

// applyChanged applies d's records and returns those that are new to the copy.
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

// applyRemoved removes the records that d removes, and returns the names of those that
// were there.
func (s *Set) applyRemoved(d *Delta, newEpoch bool) (names []string) {
	removed := d.Removed
	switch {
	case newEpoch:
		names = s.dropAbsent(d)
	case d.Whole || len(d.Gaps) > 0:
		removed = append(slices.Clone(removed), s.impliedRemovals(d)...)
	}
	for _, r := range removed {
		if s.remove(tombstone{Removal: r, epoch: d.Epoch}) {
			names = append(names, r.Name)
		}
	}
	return names
}

// remove applies a tombstone. changed is false if there was neither the record nor a lost
// state of it. The tombstone of a record that was created and removed between two deltas
// is kept too, since peers may have the record.
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

// dropAbsent deletes the records that the snapshot of a later epoch doesn't have. They
// get no tombstones: they were not removed but lost by the store.
func (s *Set) dropAbsent(d *Delta) (names []string) {
	for _, r := range s.impliedRemovals(d) {
		delete(s.records, r.Name)
		names = append(names, r.Name)
	}
	return names
}

// accepts reports whether d can be applied to this copy.
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

// inNewEpoch reports whether d is of a later epoch than this copy. It is false for a new
// copy.
func (s *Set) inNewEpoch(d *Delta) bool {
	return s.position != Position{} && s.position.Epoch < d.Epoch
}

// supersedes reports whether r replaces old in a copy. Revisions of different epochs
// can't be compared: the same one may stand for two writes.
func (r *Record) supersedes(old *Record, newEpoch bool) bool {
	if newEpoch {
		return !r.equal(old)
	}
	return r.Revision > old.Revision
}

// equal reports whether r and other are the same state of a record.
func (r *Record) equal(other *Record) bool {
	return r.Revision == other.Revision && r.Created == other.Created && bytes.Equal(r.Body, other.Body)
}

// impliedRemovals returns the removals of the records that d would have if they existed:
// all of those in this copy for a snapshot, otherwise those created within a gap. A record that
// was changed after To may have been removed before its part of the snapshot was read.
func (s *Set) impliedRemovals(d *Delta) (removed []Removal) {
	present := make(map[string]struct{}, len(d.Changed))
	for _, r := range d.Changed {
		present[r.Name] = struct{}{}
	}
	for name, r := range s.records {
		if _, ok := present[name]; ok {
			continue
		}
		if end, inGap := d.gapEnd(r.Created); d.Whole || inGap {
			removed = append(removed, Removal{Name: name, Revision: max(d.latest(), end)})
		}
	}
	slices.SortFunc(removed, func(a, b Removal) int { return cmp.Compare(a.Name, b.Name) })
	return removed
}

// gapEnd returns the latest end of d's gaps that the revision is within.
func (d *Delta) gapEnd(revision uint64) (end uint64, inGap bool) {
	for _, g := range d.Gaps {
		if revision > g.From && revision <= g.To {
			end, inGap = max(end, g.To), true
		}
	}
	return end, inGap
}

// addGaps adds the gaps that this copy has once it has applied d. A snapshot brings the
// copy over a gap from its present position, and a delta has the gaps of the copy that it
// comes from. The copy itself has the history up to its present position.
func (s *Set) addGaps(d *Delta, newEpoch bool) {
	known := s.position.Revision
	switch {
	case newEpoch || d.Whole && known == 0:
		s.compacted, s.gaps = d.latest(), nil
	case d.Whole:
		s.gaps = append(s.gaps, Gap{From: known, To: d.latest()})
	default:
		for _, g := range d.Gaps {
			if g.From = max(g.From, known); g.From < g.To {
				s.gaps = append(s.gaps, g)
			}
		}
	}
	if drop := len(s.gaps) - maxGaps; drop > 0 {
		s.compacted = max(s.compacted, s.gaps[drop-1].To)
		s.gaps = slices.Delete(s.gaps, 0, drop)
	}
}

func (s *Set) addTombstone(r tombstone) {
	s.tombstones = append(s.tombstones, r)
	if len(s.tombstones) > maxTombstones {
		drop := len(s.tombstones) - maxTombstones
		if last := s.tombstones[drop-1]; last.epoch == r.epoch {
			s.compacted = max(s.compacted, last.Revision)
			s.gaps = slices.DeleteFunc(s.gaps, func(g Gap) bool { return g.To <= s.compacted })
		}
		s.tombstones = slices.Delete(s.tombstones, 0, drop)
	}
}

// Since returns the delta from the given position to this copy's: a snapshot for a copy
// that is empty or of another epoch. If the position is within a gap, the delta starts
// before the gap. ok is false if this copy isn't newer, or lacks tombstones of the time in
// between. It doesn't return a snapshot then: a node that has just started has no
// tombstones, and would fill its link with snapshots for nodes that are one record behind.
func (s *Set) Since(p Position) (d Delta, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	whole := p.IsZero() || p.Epoch != s.position.Epoch
	if !p.Before(s.position) || !whole && p.Revision < s.compacted {
		return d, false
	}
	d = Delta{Epoch: s.position.Epoch, To: s.position.Revision, Whole: whole}
	if !whole {
		d.From, d.Gaps = s.gapsSince(p.Revision)
	}
	for _, r := range s.records {
		if r.Revision > d.From {
			d.Changed = append(d.Changed, r)
		}
	}
	slices.SortFunc(d.Changed, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	if whole {
		d.Latest = s.latestRemoval()
		if h, ok := s.lostHistory(time.Now()); ok {
			d.Recollection = &h
		}
		return d, true
	}
	for _, r := range s.tombstones {
		// A record that was created again replaces its former state. Its removal may be known
		// by a later revision than its own.
		if _, exists := s.records[r.Name]; !exists && r.epoch == d.Epoch && r.Revision > d.From {
			d.Removed = append(d.Removed, r.Removal)
		}
	}
	return d, true
}

// latestRemoval returns the revision up to which removed records may be missing here.
func (s *Set) latestRemoval() (revision uint64) {
	revision = s.latest
	for _, g := range s.gaps {
		revision = max(revision, g.To)
	}
	return revision
}

// gapsSince returns the gaps after a revision, and the revision from which a delta starts
// that leads over them.
func (s *Set) gapsSince(revision uint64) (from uint64, gaps []Gap) {
	from = revision
	for _, g := range s.gaps {
		if g.To > revision {
			gaps = append(gaps, g)
			from = min(from, g.From)
		}
	}
	return from, gaps
}
