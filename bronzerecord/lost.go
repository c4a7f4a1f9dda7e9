package bronzerecord

import (
	"maps"
	"slices"
	"time"
)

// LostRetention is how long lost records are kept after the store was restored from a
// backup. Their writers write them again within seconds, or not at all.
const LostRetention = 10 * time.Second

// LostRecord is a state of a record that is known from an earlier epoch of the store and
// that the backup doesn't have.
type LostRecord struct {
	// Record is the lost state. If Removed is set, the record had been removed, and only
	// its Name and Revision are known.
	Record  Record
	Removed bool
	// Epoch is the epoch of Record's revision.
	Epoch uint64
	// Since is the revision of the present epoch at which the record was lost. A record
	// with a later revision was rewritten.
	Since uint64
	// Age is how long ago the record was lost when the LostRecord was returned or sent.
	Age time.Duration
	// Absent says that the present epoch has no record of that name.
	Absent bool

	lostAt time.Time
}

// position returns the position of the lost state in the store's history.
func (l *LostRecord) position() Position {
	return Position{Epoch: l.Epoch, Revision: l.Record.Revision}
}

// LostHistory is what a node knows about the records that the store has lost, in the form
// in which peers exchange it.
type LostHistory struct {
	// Epoch is the epoch that doesn't have the records.
	Epoch uint64
	// Former is the position up to which earlier epochs are known.
	Former Position
	Lost   []LostRecord
}

// lostRecords is what a Set knows of earlier epochs.
type lostRecords struct {
	former Position
	// byName holds the lost states of each record, the earliest first. The revisions
	// don't tell which of the states of two epochs is the last one: the first contents of
	// an epoch may include a rewritten record already.
	byName map[string][]LostRecord
}

// maxLostStates is the number of lost states that are kept of a record.
const maxLostStates = 8

// FormerPosition returns the position up to which this copy knows earlier epochs of the
// store, and the number of lost records that it keeps.
func (s *Set) FormerPosition() (former Position, lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLost(time.Now())
	return s.lost.former, len(s.lost.byName)
}

// LostHistory returns the lost records that this copy keeps. ok is false if there are
// none.
func (s *Set) LostHistory() (h LostHistory, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lostHistory(time.Now())
}

func (s *Set) lostHistory(now time.Time) (h LostHistory, ok bool) {
	s.expireLost(now)
	if len(s.lost.byName) == 0 {
		return h, false
	}
	return LostHistory{Epoch: s.position.Epoch, Former: s.lost.former, Lost: s.listLost(now)}, true
}

// listLost returns the lost states by the names of their records.
func (s *Set) listLost(now time.Time) (lost []LostRecord) {
	for _, name := range slices.Sorted(maps.Keys(s.lost.byName)) {
		for _, l := range s.lost.byName[name] {
			l.Age, l.Absent = now.Sub(l.lostAt), s.isAbsent(&l)
			lost = append(lost, l)
		}
	}
	return lost
}

// MergeLostHistory merges what a peer in the same epoch knows of earlier ones. merged
// reports whether any of it is new.
func (s *Set) MergeLostHistory(h LostHistory) (merged bool) {
	s.apply.Lock()
	defer s.apply.Unlock()
	s.mu.Lock()
	c := Change{Position: s.position, Lost: s.mergeLost(&h, time.Now())}
	s.mu.Unlock()
	if len(c.Lost) > 0 && s.OnChange != nil {
		s.OnChange(c)
	}
	return len(c.Lost) > 0
}

// mergeLost merges h and returns the lost states that are new.
func (s *Set) mergeLost(h *LostHistory, now time.Time) (lost []LostRecord) {
	if h.Epoch != s.position.Epoch {
		return nil
	}
	if s.lost.former.Before(h.Former) {
		s.lost.former = h.Former
	}
	for _, l := range h.Lost {
		l.Age = max(l.Age, 0)
		l.lostAt = now.Add(-l.Age)
		if l.Age >= LostRetention || s.isRewritten(&l) || !s.addLost(l) {
			continue
		}
		l.Absent = s.isAbsent(&l)
		lost = append(lost, l)
	}
	return lost
}

// isAbsent reports whether this copy has no record of that name.
func (s *Set) isAbsent(l *LostRecord) bool {
	_, ok := s.records[l.Record.Name]
	return !ok
}

// isRewritten reports whether the present epoch has a later change or removal of a lost
// record.
func (s *Set) isRewritten(l *LostRecord) bool {
	if r, ok := s.records[l.Record.Name]; ok && r.Revision > l.Since {
		return true
	}
	return slices.ContainsFunc(s.tombstones, func(r tombstone) bool {
		return r.epoch == s.position.Epoch && r.Name == l.Record.Name && r.Revision > l.Since
	})
}

// addLost adds a lost state of a record. added is false if it is known already.
func (s *Set) addLost(l LostRecord) (added bool) {
	states := s.lost.byName[l.Record.Name]
	i, found := slices.BinarySearchFunc(states, l.position(), func(l LostRecord, p Position) int { return l.position().compare(p) })
	if found {
		return false
	}
	if s.lost.byName == nil {
		s.lost.byName = make(map[string][]LostRecord)
	}
	states = slices.Insert(states, i, l)
	s.lost.byName[l.Record.Name] = states[max(0, len(states)-maxLostStates):]
	return true
}

// dropRewritten drops the lost states of a record that was written or removed at the
// given revision after it was lost, and reports whether there were any.
func (s *Set) dropRewritten(name string, revision uint64) (dropped bool) {
	states := s.lost.byName[name]
	kept := slices.DeleteFunc(states, func(l LostRecord) bool { return revision > l.Since })
	s.setLost(name, kept)
	return len(kept) < len(states)
}

// expireLost drops the lost states that nobody has rewritten within LostRetention.
func (s *Set) expireLost(now time.Time) {
	for name, states := range s.lost.byName {
		s.setLost(name, slices.DeleteFunc(states, func(l LostRecord) bool { return now.Sub(l.lostAt) >= LostRetention }))
	}
}

// setLost replaces the lost states of a record.
func (s *Set) setLost(name string, states []LostRecord) {
	if len(states) == 0 {
		delete(s.lost.byName, name)
		return
	}
	s.lost.byName[name] = states
}

// recordLost keeps what this copy knows and the snapshot d of a later epoch lacks.
func (s *Set) recordLost(d *Delta, now time.Time) {
	s.expireLost(now)
	for _, states := range s.lost.byName {
		for i := range states {
			states[i].Since, states[i].lostAt = d.To, now
		}
	}
	present := make(map[string]*Record, len(d.Changed))
	for i := range d.Changed {
		present[d.Changed[i].Name] = &d.Changed[i]
	}
	lost := LostRecord{Epoch: s.position.Epoch, Since: d.To, lostAt: now}
	for name, r := range s.records {
		if found := present[name]; found == nil || !found.equal(&r) {
			lost.Record = r
			s.addLost(lost)
		}
	}
	lost.Removed = true
	for _, r := range s.tombstones {
		if _, known := s.records[r.Name]; !known && present[r.Name] != nil {
			lost.Epoch, lost.Record = r.epoch, Record{Name: r.Name, Revision: r.Revision}
			s.addLost(lost)
		}
	}
	s.lost.former = s.position
}
