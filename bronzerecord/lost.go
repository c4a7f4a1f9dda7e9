package bronzerecord

import (
	"maps"
	"slices"
	"time"
)

// LostRetention is how long what a store lost is remembered after it came back from a
// copy. Whoever wrote it writes it again within seconds, or not at all.
const LostRetention = 10 * time.Second

// LostRecord is the last that was known of a record in an earlier epoch of the store,
// which the copy doesn't have.
type LostRecord struct {
	// Record is as it was then. Removed says that it had been removed: its Name and
	// Revision are all there is then.
	Record  Record
	Removed bool
	// Epoch is that of Record's revision.
	Epoch uint64
	// Since is the present epoch's revision at which the record was lost. One of a
	// later revision was written again.
	Since uint64
	// Age is how long ago that was when this was told.
	Age time.Duration
	// Absent says that the present epoch has no record of the name.
	Absent bool

	lostAt time.Time
}

// position returns how late in the store's history the record is known.
func (l *LostRecord) position() Position {
	return Position{Epoch: l.Epoch, Revision: l.Record.Revision}
}

// LostHistory is what is known of earlier epochs of the store and was lost, as one
// node tells it to another.
type LostHistory struct {
	// Epoch is the one that lost it.
	Epoch uint64
	// Former is up to where the earlier epochs are known.
	Former Position
	Lost   []LostRecord
}

// lostRecords is what a Set remembers of earlier epochs.
type lostRecords struct {
	former Position
	// byName are the states of each record, the earliest first. Which of two epochs' is
	// the last word the revisions don't tell: the first contents of an epoch may have
	// what was written again already.
	byName map[string][]LostRecord
}

// maxLostStates is how many states of a record are kept.
const maxLostStates = 8

// FormerPosition returns up to where this copy knows earlier epochs of the store, and how
// many records it remembers from them.
func (s *Set) FormerPosition() (former Position, lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLost(time.Now())
	return s.lost.former, len(s.lost.byName)
}

// LostHistory returns what this copy remembers of earlier epochs; ok is false if it is
// nothing.
func (s *Set) LostHistory() (r LostHistory, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lostHistory(time.Now())
}

func (s *Set) lostHistory(now time.Time) (r LostHistory, ok bool) {
	s.expireLost(now)
	if len(s.lost.byName) == 0 {
		return r, false
	}
	return LostHistory{Epoch: s.position.Epoch, Former: s.lost.former, Lost: s.listLost(now)}, true
}

// listLost returns the lost records by name.
func (s *Set) listLost(now time.Time) (lost []LostRecord) {
	for _, name := range slices.Sorted(maps.Keys(s.lost.byName)) {
		for _, l := range s.lost.byName[name] {
			l.Age, l.Absent = now.Sub(l.lostAt), s.isAbsent(&l)
			lost = append(lost, l)
		}
	}
	return lost
}

// MergeLostHistory takes in what a peer in the same epoch remembers of earlier ones.
func (s *Set) MergeLostHistory(r LostHistory) (taken bool) {
	s.apply.Lock()
	defer s.apply.Unlock()
	s.mu.Lock()
	c := Change{Position: s.position, Lost: s.mergeLost(&r, time.Now())}
	s.mu.Unlock()
	if len(c.Lost) > 0 && s.OnChange != nil {
		s.OnChange(c)
	}
	return len(c.Lost) > 0
}

// mergeLost returns what is new in r.
func (s *Set) mergeLost(r *LostHistory, now time.Time) (lost []LostRecord) {
	if r.Epoch != s.position.Epoch {
		return nil
	}
	if s.lost.former.Before(r.Former) {
		s.lost.former = r.Former
	}
	for _, l := range r.Lost {
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

// isAbsent reports whether this copy has no record of the name.
func (s *Set) isAbsent(l *LostRecord) bool {
	_, ok := s.records[l.Record.Name]
	return !ok
}

// isRewritten reports whether the present epoch has a later word on a lost record.
func (s *Set) isRewritten(l *LostRecord) bool {
	if r, ok := s.records[l.Record.Name]; ok && r.Revision > l.Since {
		return true
	}
	return slices.ContainsFunc(s.tombstones, func(r tombstone) bool {
		return r.epoch == s.position.Epoch && r.Name == l.Record.Name && r.Revision > l.Since
	})
}

// addLost keeps a lost state of a record; added is false if it is kept already.
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

// dropRewritten drops the lost states of a record on which there is a later word, of the given
// revision.
func (s *Set) dropRewritten(name string, revision uint64) (dropped bool) {
	states := s.lost.byName[name]
	kept := slices.DeleteFunc(states, func(l LostRecord) bool { return revision > l.Since })
	s.setLost(name, kept)
	return len(kept) < len(states)
}

// expireLost drops what nobody has written again.
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

// recordLost remembers what the whole contents d of a later epoch lack of what is known.
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
