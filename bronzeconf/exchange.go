package bronzeconf

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Have returns what the store holds, for a peer's Diff: each record's name
// with the revision of its last good version, 0 if there is none, and once
// more with that of a version that is too new for this build.
func (s *Store) Have() []RecordVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	var have []RecordVersion
	for name, e := range s.records {
		have = append(have, RecordVersion{Name: name, Revision: e.good.Revision})
		if e.tooNew.Revision > 0 {
			have = append(have, RecordVersion{Name: name, Revision: e.tooNew.Revision})
		}
	}
	sortVersions(have)
	return have
}

// Diff returns what a peer that holds have needs to Apply to come to this
// store's state: its index and the bodies that the peer lacks. Bodies are the
// last good versions, so that a node that joins has one also of a record
// whose newest version has faults, and those too new for this build.
// They are in order of names: where they are applied in parts, in that order,
// a record never gets for a while what one with a lower name claims as well.
func (s *Store) Diff(have []RecordVersion) (rev uint64, present []RecordVersion, bodies []StoredRecord) {
	held := heldRevisions(have)
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, e := range s.records {
		present = append(present, RecordVersion{Name: name, Revision: e.published})
		for _, r := range []StoredRecord{e.good, e.tooNew} {
			if r.Revision > 0 && held.lack(r) {
				bodies = append(bodies, r)
			}
		}
	}
	sortVersions(present)
	return s.revision, present, byRevision(bodies)
}

// Missing returns the names of the records in present whose revision there is
// newer than any that the store has seen, in order.
func (s *Store) Missing(present []RecordVersion) (names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range present {
		e := s.records[v.Name]
		if e == nil {
			e = &entry{floor: s.removed[v.Name].record}
		}
		if e.lacks(v.Revision) {
			names = append(names, v.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Digest returns a hash over Have. Two stores of one revision can differ in
// the last good version of a record whose newest has faults, or while a read
// has failed; they differ in their Digest then, and Diff evens that out.
func (s *Store) Digest() uint64 {
	d := xxhash.New()
	var revision [8]byte
	for _, v := range s.Have() {
		binary.BigEndian.PutUint64(revision[:], v.Revision)
		_, _ = d.WriteString(v.Name)
		_, _ = d.Write(revision[:])
	}
	return d.Sum64()
}

// held are the revisions that a peer holds of each record.
type held map[string][]uint64

func heldRevisions(have []RecordVersion) held {
	h := make(held, len(have))
	for _, v := range have {
		h[v.Name] = append(h[v.Name], v.Revision)
	}
	return h
}

// lack tells whether the peer needs r. Its lowest revision is the good one.
func (h held) lack(r StoredRecord) bool {
	revisions := h[r.Name]
	if len(revisions) == 0 {
		return true
	}
	return r.Revision > slices.Min(revisions) && !slices.Contains(revisions, r.Revision)
}

func sortVersions(list []RecordVersion) {
	slices.SortFunc(list, func(a, b RecordVersion) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Revision, b.Revision))
	})
}
