package bronzeconf

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Have returns the versions that the store holds, for a peer's Diff. Each record
// is listed with the revision of its last good version, or 0 if there is none,
// and a second time if the store holds a version that is too new for this build.
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

// Diff returns what a peer that holds have must Apply to reach the state of this
// store: the index and the bodies that the peer lacks. The bodies are the last
// good versions, so that a joining node gets one even if the newest version has
// faults, and the versions that are too new for this build. They are sorted by
// name: if they are applied in parts, in that order, a record never gets
// temporarily what a record with a lower name also claims.
func (s *Store) Diff(have []RecordVersion) (rev uint64, present []RecordVersion, bodies []StoredRecord) {
	held := groupRevisions(have)
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, e := range s.records {
		present = append(present, RecordVersion{Name: name, Revision: e.published})
		for _, r := range []StoredRecord{e.good, e.tooNew} {
			if r.Revision > 0 && held.lacks(r) {
				bodies = append(bodies, r)
			}
		}
	}
	sortVersions(present)
	return s.revision, present, sortedByRevision(bodies)
}

// Missing returns the sorted names of the records in present whose revision is
// higher than any that the store has seen.
func (s *Store) Missing(present []RecordVersion) (names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range present {
		e := s.records[v.Name]
		if e == nil {
			e = &entry{floor: s.removed[v.Name].record}
		}
		if e.needs(v.Revision) {
			names = append(names, v.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Digest returns a hash of Have. Two stores with the same index revision can
// hold different last good versions, if the newest version of a record has
// faults or a read failed. Their digests then differ, and applying each other's
// Diff makes them equal.
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

// heldRevisions are the revisions of each record that a peer holds.
type heldRevisions map[string][]uint64

func groupRevisions(have []RecordVersion) heldRevisions {
	h := make(heldRevisions, len(have))
	for _, v := range have {
		h[v.Name] = append(h[v.Name], v.Revision)
	}
	return h
}

// lacks reports whether the peer needs r. The lowest revision that the peer
// holds of a record is its last good one.
func (h heldRevisions) lacks(r StoredRecord) bool {
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
