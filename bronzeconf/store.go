package bronzeconf

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrStale means that an index is older than the one in force.
var ErrStale = errors.New("revision is older than the one in force")

// The reasons that Store.Count is called with.
const (
	// IndexStale: an index older than the one in force was offered.
	IndexStale = "IndexStale"
	// RecordStale: a body older than the one in force, or not newer than a
	// removed record of the same name, was offered.
	RecordStale = "RecordStale"
	// RecordRefused: a record was refused for its own faults.
	RecordRefused = "RecordRefused"
	// RecordTooNew: a record was refused for its schema version.
	RecordTooNew = "RecordTooNew"
	// RecordConflict: a record or a part of it was refused because another
	// record has claimed the same.
	RecordConflict = "RecordConflict"
)

// RecordVersion names a record and one revision of it.
type RecordVersion struct {
	Name     string
	Revision uint64
}

// StoredRecord is one revision of a record with its body, which must not be
// modified.
type StoredRecord struct {
	Name     string
	Revision uint64
	Body     []byte
}

// Store holds the last good version of each record and the revision of the index
// in force, in memory only. The zero Store is empty and ready to use. All
// methods are safe for concurrent use.
type Store struct {
	// OnChange, if set, is called with each new Snapshot, one call at a time.
	// It must not call Apply.
	OnChange func(*Snapshot)
	// Count, if set, counts an event of the given reason.
	Count func(reason string)

	// applyMu is held while a change is applied, so that OnChange is called
	// in the order of the changes.
	applyMu  sync.Mutex
	snapshot atomic.Pointer[Snapshot]

	mu        sync.Mutex
	revision  uint64
	records   map[string]*entry
	removed   map[string]removal
	conflicts map[Refusal]bool
}

// Snapshot returns the Snapshot in force, which is never nil.
func (s *Store) Snapshot() *Snapshot {
	if v := s.snapshot.Load(); v != nil {
		return v
	}
	return &Snapshot{}
}

// Revision returns the revision of the index in force, or 0 if there is none.
func (s *Store) Revision() uint64 {
	return s.Snapshot().Revision
}

// Apply applies an index of revision rev, which lists the records present, and
// bodies of some of them, from the platform or from a peer. Revisions never
// decrease: an older index is refused as a whole with ErrStale, and an older body
// of a record is ignored. A record that a newer index doesn't list is removed. A
// body with faults leaves the last good one in force. An index of the revision
// in force only adds bodies. Apply retains the bodies; changed reports whether
// there is a new Snapshot.
func (s *Store) Apply(rev uint64, present []RecordVersion, bodies []StoredRecord) (changed bool, err error) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	snapshot, err := s.update(rev, present, bodies)
	if err != nil || snapshot == nil {
		return false, err
	}
	s.snapshot.Store(snapshot)
	if s.OnChange != nil {
		s.OnChange(snapshot)
	}
	return true, nil
}

// update returns the new Snapshot, or nil if nothing changed.
func (s *Store) update(rev uint64, present []RecordVersion, bodies []StoredRecord) (*Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rev < s.revision {
		s.count(IndexStale)
		return nil, errors.Wrapf(ErrStale, "index %d, in force %d", rev, s.revision)
	}
	changed := rev > s.revision
	if changed {
		s.setIndex(rev, present)
	}
	for _, r := range sortedByRevision(bodies) {
		if s.setBody(r) {
			changed = true
		}
	}
	if !changed {
		return nil, nil
	}
	return s.build(), nil
}

// sortedByRevision returns bodies sorted by name and revision. With lower
// revisions first, each of several bodies of a record is newer than those
// before it.
func sortedByRevision(bodies []StoredRecord) []StoredRecord {
	sorted := slices.Clone(bodies)
	slices.SortFunc(sorted, func(a, b StoredRecord) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Revision, b.Revision))
	})
	return sorted
}

// setIndex replaces the set of records.
func (s *Store) setIndex(rev uint64, present []RecordVersion) {
	records := make(map[string]*entry, len(present))
	for _, v := range present {
		e := s.records[v.Name]
		if e == nil {
			e = &entry{name: v.Name, floor: s.removed[v.Name].record}
		}
		e.published = max(e.published, v.Revision)
		records[v.Name] = e
		delete(s.removed, v.Name)
	}
	for name, e := range s.records {
		if records[name] == nil {
			s.rememberRemoval(name, removal{record: e.highest(), index: rev})
		}
	}
	s.revision = rev
	s.records = records
}

// removal is the tombstone of a removed record.
type removal struct {
	// record is the highest known revision of the record.
	record uint64
	// index is the revision of the index that removed it.
	index uint64
}

// maxRemovals limits the removals that are kept, which take about 1 MB.
const maxRemovals = 10_000

// rememberRemoval keeps the highest revision of a removed record. Without it, a
// peer that missed the removal could bring back its old body once the name is
// published again. Beyond maxRemovals, the oldest removal is dropped.
func (s *Store) rememberRemoval(name string, gone removal) {
	if s.removed == nil {
		s.removed = make(map[string]removal)
	}
	s.removed[name] = gone
	if len(s.removed) <= maxRemovals {
		return
	}
	oldest := name
	for n, r := range s.removed {
		if r.index < s.removed[oldest].index {
			oldest = n
		}
	}
	delete(s.removed, oldest)
}

// setBody applies a body and reports whether anything changed.
func (s *Store) setBody(r StoredRecord) (changed bool) {
	e := s.records[r.Name]
	if e == nil {
		return false
	}
	reason, changed := e.setBody(r)
	if reason != "" {
		s.count(reason)
	}
	return changed
}

func (s *Store) build() *Snapshot {
	var records []Record
	var refusals []Refusal
	for _, e := range s.records {
		if e.service != nil {
			records = append(records, Record{Name: e.name, Service: e.service})
		}
		refusals = append(refusals, e.notInForce()...)
	}
	snapshot := Build(s.revision, records)
	s.countConflicts(snapshot.Refusals)
	snapshot.Refusals = append(snapshot.Refusals, refusals...)
	sortRefusals(snapshot.Refusals)
	return snapshot
}

// countConflicts counts the conflicts that the previous Snapshot didn't have.
func (s *Store) countConflicts(refusals []Refusal) {
	conflicts := make(map[Refusal]bool, len(refusals))
	for _, r := range refusals {
		conflicts[r] = true
		if !s.conflicts[r] {
			s.count(RecordConflict)
		}
	}
	s.conflicts = conflicts
}

func (s *Store) count(reason string) {
	if s.Count != nil {
		s.Count(reason)
	}
}
