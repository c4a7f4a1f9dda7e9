package bronzeconf

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const tooNewRecord = `{"SchemaVersion":4,"Customer":"agency"}`

// liveRecord returns a valid record of the service "map-live" whose brand names
// its revision.
func liveRecord(t require.TestingT, rev uint64) StoredRecord {
	v := testService("agency", "map-live", 1)
	v.Brand = fmt.Sprint("Brand ", rev)
	return StoredRecord{Name: "live", Revision: rev, Body: body(t, v)}
}

func versions(list ...StoredRecord) (present []RecordVersion) {
	for _, r := range list {
		present = append(present, RecordVersion{Name: r.Name, Revision: r.Revision})
	}
	return present
}

// apply applies an index to s that lists exactly the records of bodies.
func apply(t require.TestingT, s *Store, rev uint64, bodies ...StoredRecord) {
	_, err := s.Apply(rev, versions(bodies...), bodies)
	require.NoError(t, err)
}

// syncFrom brings s to the state of peer and returns the bodies transferred.
func syncFrom(t require.TestingT, s, peer *Store) (bodies []StoredRecord) {
	rev, present, bodies := peer.Diff(s.Have())
	_, err := s.Apply(rev, present, bodies)
	require.NoError(t, err)
	return bodies
}

// brands returns the brands in force; those of liveRecord name revisions.
func brands(s *Store) (list []string) {
	for _, svc := range s.Snapshot().Services {
		list = append(list, svc.Brand)
	}
	return list
}

// counts returns a Count function and the map of its counts.
func counts() (func(string), map[string]int) {
	n := make(map[string]int)
	return func(reason string) { n[reason]++ }, n
}

func TestStoreFaultyRecord(t *testing.T) {
	// An operator publishes three records, the middle one with a mistake. The
	// new versions of the first and third must come into force, and the last
	// good version of the second must stay. The refusal names the field, and the
	// next version without the mistake comes into force and ends the refusal.
	count, n := counts()
	s := &Store{Count: count}
	first := StoredRecord{Name: "a", Revision: 1, Body: body(t, testService("braille", "proofdesk", 2))}
	third := StoredRecord{Name: "z", Revision: 1, Body: body(t, testService("braille", "printout", 3))}
	apply(t, s, 1, first, liveRecord(t, 1), third)
	first.Revision, third.Revision = 2, 2
	bad := StoredRecord{Name: "live", Revision: 2, Body: edited(t, `"Port":443`, `"Port":0`)}
	apply(t, s, 2, first, bad, third)
	require.Equal(t, []string{"Brand of braille", "Brand 1", "Brand of braille"}, brands(s))
	require.Equal(t, []Refusal{{Record: "live", Field: "Rules[0].Port", Reason: "is 0"}}, s.Snapshot().Refusals)
	require.Equal(t, map[string]int{RecordRefused: 1}, n)
	apply(t, s, 3, first, liveRecord(t, 3), third)
	require.Contains(t, brands(s), "Brand 3")
	require.Empty(t, s.Snapshot().Refusals)
}

func TestStoreRemoval(t *testing.T) {
	// A service is removed. A peer that missed the removal then offers its older
	// index and, after the name is published again, its old body. If either were
	// accepted, packets would go to servers that may now belong to another
	// Customer.
	count, n := counts()
	s, outdated := &Store{Count: count}, &Store{}
	apply(t, s, 4, liveRecord(t, 4))
	apply(t, outdated, 4, liveRecord(t, 4))
	apply(t, s, 5)
	require.Empty(t, s.Snapshot().Services)

	rev, present, bodies := outdated.Diff(s.Have())
	require.Len(t, bodies, 1)
	_, err := s.Apply(rev, present, bodies)
	require.ErrorIs(t, err, ErrStale)
	require.Empty(t, s.Snapshot().Services)

	_, err = s.Apply(6, []RecordVersion{{Name: "live", Revision: 6}}, bodies)
	require.NoError(t, err)
	require.Empty(t, s.Snapshot().Services)
	require.Equal(t, "Revision", s.Snapshot().Refusals[0].Field)
	require.Equal(t, map[string]int{IndexStale: 1, RecordStale: 1}, n)

	apply(t, s, 7, liveRecord(t, 7))
	require.Equal(t, []string{"Brand 7"}, brands(s))
}

func TestStoreRepublishedTooLow(t *testing.T) {
	s := &Store{}
	apply(t, s, 4, liveRecord(t, 4))
	apply(t, s, 5)
	apply(t, s, 6, liveRecord(t, 3))
	require.Empty(t, s.Snapshot().Services)
	require.Contains(t, s.Snapshot().Refusals[0].Reason, "is not above 4")
	require.Empty(t, s.Missing([]RecordVersion{{Name: "live", Revision: 3}}))
}

func TestStoreTooNewSchema(t *testing.T) {
	// During a rollout an operator publishes a record of a schema version that
	// only some balancers know. The others keep the version that they know and
	// report a refusal. They pass on both versions: a balancer that joins from
	// them gets at least the known version, and a newer build also the newest.
	count, n := counts()
	s := &Store{Count: count}
	apply(t, s, 1, liveRecord(t, 1))
	apply(t, s, 2, StoredRecord{Name: "live", Revision: 2, Body: []byte(tooNewRecord)})
	require.Equal(t, []string{"Brand 1"}, brands(s))
	require.Equal(t, "SchemaVersion", s.Snapshot().Refusals[0].Field)
	require.Equal(t, map[string]int{RecordTooNew: 1}, n)

	joining := &Store{}
	require.Len(t, syncFrom(t, joining, s), 2)
	require.Equal(t, []string{"Brand 1"}, brands(joining))
	require.Equal(t, s.Snapshot(), joining.Snapshot())
	require.Empty(t, syncFrom(t, joining, s))
}

func TestStoreJoinLastGood(t *testing.T) {
	// A balancer joins while the platform is down and the newest version of a
	// record has a fault. It must use the same servers as all others, so it gets
	// the last good version, and its refusal names the version in force.
	s, joining := &Store{}, &Store{}
	apply(t, s, 1, liveRecord(t, 1))
	apply(t, s, 2, StoredRecord{Name: "live", Revision: 2, Body: []byte("{}")})
	syncFrom(t, joining, s)
	require.Equal(t, uint64(2), joining.Revision())
	require.Equal(t, []string{"Brand 1"}, brands(joining))
	require.Contains(t, joining.Snapshot().Refusals[0].Reason, "1 is in force")
	require.Equal(t, s.Digest(), joining.Digest())
}

func TestStoreExchangeLastGood(t *testing.T) {
	// Two balancers read the index at different times: one saw version 2, the
	// other went from 1 to version 3, which has a fault. An accepted version
	// must come into force everywhere, so the digests must differ, and an
	// exchange at the same index revision transfers version 2.
	a, b := &Store{}, &Store{}
	apply(t, a, 2, liveRecord(t, 2))
	apply(t, b, 1, liveRecord(t, 1))
	for _, s := range []*Store{a, b} {
		apply(t, s, 3, StoredRecord{Name: "live", Revision: 3, Body: []byte("{}")})
	}
	require.NotEqual(t, a.Digest(), b.Digest())
	syncFrom(t, b, a)
	require.Equal(t, []string{"Brand 2"}, brands(b))
	require.Equal(t, a.Digest(), b.Digest())
}

func TestStoreExchangeTooNew(t *testing.T) {
	// Both balancers hold a version that is too new for them, and one of them
	// has an older good version. It must get only the newer good version.
	tooNew := StoredRecord{Name: "live", Revision: 7, Body: []byte(tooNewRecord)}
	a, b := &Store{}, &Store{}
	apply(t, a, 5, liveRecord(t, 5))
	apply(t, b, 1, liveRecord(t, 1))
	apply(t, a, 7, tooNew)
	apply(t, b, 7, tooNew)
	require.Equal(t, []StoredRecord{liveRecord(t, 5)}, syncFrom(t, b, a))
	require.Equal(t, a.Snapshot(), b.Snapshot())
}

func TestStoreNewestRefusal(t *testing.T) {
	s := &Store{}
	apply(t, s, 3, StoredRecord{Name: "live", Revision: 3, Body: edited(t, `"Port":443`, `"Port":0`)})
	apply(t, s, 3, StoredRecord{Name: "live", Revision: 2, Body: []byte("{}")})
	require.Equal(t, "Rules[0].Port", s.Snapshot().Refusals[0].Field)
	require.Empty(t, s.Missing([]RecordVersion{{Name: "live", Revision: 3}}))
}

func TestStoreOnChange(t *testing.T) {
	var seen []uint64
	s := &Store{OnChange: func(s *Snapshot) { seen = append(seen, s.Revision) }}
	require.NotNil(t, s.Snapshot())
	apply(t, s, 1, liveRecord(t, 1))
	apply(t, s, 1, liveRecord(t, 1))
	apply(t, s, 2, liveRecord(t, 1))
	_, err := s.Apply(1, nil, nil)
	require.ErrorIs(t, err, ErrStale)
	require.Equal(t, []uint64{1, 2}, seen)
}

func TestStoreConflictCount(t *testing.T) {
	count, n := counts()
	s := &Store{Count: count}
	claimant := testService("braille", "printout", 1)
	claimant.Pool = []BackendServerV1{}
	other := StoredRecord{Name: "z", Revision: 1, Body: body(t, claimant)}
	apply(t, s, 1, liveRecord(t, 1), other)
	apply(t, s, 2, liveRecord(t, 2), other)
	require.Equal(t, map[string]int{RecordConflict: 1}, n)
}

func TestStoreBounds(t *testing.T) {
	s := &Store{}
	for i := range uint64(maxRemovals + 10) {
		s.rememberRemoval(fmt.Sprint(i), removal{record: 1, index: i})
	}
	require.Len(t, s.removed, maxRemovals)
	require.NotContains(t, s.removed, "9")
	require.Len(t, truncateRefusals(make([]Refusal, 10*maxRefusals)), maxRefusals+1)
}

// published is a published index with the bodies of its records.
type published struct {
	rev    uint64
	bodies []StoredRecord
}

// drawHistory draws a series of published indexes. Each changes, breaks or
// removes some records.
func drawHistory(t *rapid.T) (history []published) {
	bodies := make(map[string]StoredRecord)
	for rev := uint64(1); rev <= 8; rev++ {
		for i, name := range []string{"a", "b", "c"} {
			v := testService("agency", name, byte(i+1))
			v.Brand = fmt.Sprint(rev)
			change := rapid.SampledFrom([]string{"keep", "good", "bad", "too new", "remove"}).Draw(t, name)
			switch change {
			case "good":
				bodies[name] = StoredRecord{name, rev, body(t, v)}
			case "bad":
				bodies[name] = StoredRecord{name, rev, []byte("{}")}
			case "too new":
				bodies[name] = StoredRecord{name, rev, []byte(tooNewRecord)}
			case "remove":
				delete(bodies, name)
			}
		}
		p := published{rev: rev}
		for _, r := range bodies {
			p.bodies = append(p.bodies, r)
		}
		history = append(history, p)
	}
	return history
}

// inForce returns the last good revision of each record.
func inForce(s *Store) map[string]uint64 {
	list := make(map[string]uint64)
	for _, v := range s.Have() {
		if _, ok := list[v.Name]; !ok {
			list[v.Name] = v.Revision
		}
	}
	return list
}

// requireMonotonic checks that a step from index revision from to revision to
// decreased no revision, and that each good revision is at most the listed one.
func requireMonotonic(t *rapid.T, history []published, before, after map[string]uint64, from, to uint64) {
	require.GreaterOrEqual(t, to, from)
	if to == 0 {
		return
	}
	listed := versions(history[to-1].bodies...)
	for name, rev := range after {
		require.GreaterOrEqual(t, rev, before[name])
		require.True(t, slices.ContainsFunc(listed, func(v RecordVersion) bool {
			return v.Name == name && v.Revision >= rev
		}), "%s at %d isn't listed by index %d", name, rev, to)
	}
}

// TestStoreRevisionsMonotonic applies published indexes to three stores in any
// order, with some bodies missing and with exchanges between the stores, and
// finally brings all stores to the same state.
func TestStoreRevisionsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		stores := []*Store{{}, {}, {}}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			s := rapid.SampledFrom(stores).Draw(t, "store")
			before, from := inForce(s), s.Revision()
			if rapid.Bool().Draw(t, "from a peer") {
				peer := rapid.SampledFrom(stores).Draw(t, "peer")
				rev, present, bodies := peer.Diff(s.Have())
				_, err := s.Apply(rev, present, bodies)
				require.Equal(t, rev < from, err != nil)
			} else {
				p := rapid.SampledFrom(history).Draw(t, "index")
				bodies := rapid.SliceOfDistinct(rapid.SampledFrom(append(p.bodies, StoredRecord{})),
					func(r StoredRecord) string { return r.Name }).Draw(t, "bodies")
				_, err := s.Apply(p.rev, versions(p.bodies...), bodies)
				require.Equal(t, p.rev < from, err != nil)
			}
			requireMonotonic(t, history, before, inForce(s), from, s.Revision())
		}
		last := published{rev: uint64(len(history)) + 1, bodies: []StoredRecord{liveRecord(t, 9)}}
		apply(t, stores[0], last.rev, last.bodies...)
		syncFrom(t, stores[1], stores[0])
		syncFrom(t, stores[2], stores[1])
		for _, s := range stores {
			require.Equal(t, stores[0].Snapshot(), s.Snapshot())
			require.Equal(t, []string{"Brand 9"}, brands(s))
		}
	})
}
