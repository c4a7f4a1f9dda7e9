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

	at time.Time
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

// memory is what a Set remembers of earlier epochs.
type memory struct {
	former Position
	// lost are the states of each record, the earliest first. Which of two epochs' is
	// the last word the revisions don't tell: the first contents of an epoch may have
	// what was written again already.
	lost map[string][]LostRecord
}

// maxStates is how many states of a record are kept.
const maxStates = 8

// FormerPosition returns up to where this copy knows earlier epochs of the store, and how
// many records it remembers from them.
func (s *Set) FormerPosition() (former Position, lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	return s.memory.former, len(s.memory.lost)
}

// LostHistory returns what this copy remembers of earlier epochs; ok is false if it is
// nothing.
func (s *Set) LostHistory() (r LostHistory, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recollection(time.Now())
}

func (s *Set) recollection(now time.Time) (r LostHistory, ok bool) {
	s.expire(now)
	if len(s.memory.lost) == 0 {
		return r, false
	}
	return LostHistory{Epoch: s.position.Epoch, Former: s.memory.former, Lost: s.remembered(now)}, true
}

// remembered returns the lost records by name.
func (s *Set) remembered(now time.Time) (lost []LostRecord) {
	for _, name := range slices.Sorted(maps.Keys(s.memory.lost)) {
		for _, l := range s.memory.lost[name] {
			l.Age, l.Absent = now.Sub(l.at), s.lacks(&l)
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
	c := Change{Position: s.position, Lost: s.recall(&r, time.Now())}
	s.mu.Unlock()
	if len(c.Lost) > 0 && s.OnChange != nil {
		s.OnChange(c)
	}
	return len(c.Lost) > 0
}

// recall returns what is new in r.
func (s *Set) recall(r *LostHistory, now time.Time) (lost []LostRecord) {
	if r.Epoch != s.position.Epoch {
		return nil
	}
	if s.memory.former.Before(r.Former) {
		s.memory.former = r.Former
	}
	for _, l := range r.Lost {
		l.Age = max(l.Age, 0)
		l.at = now.Add(-l.Age)
		if l.Age >= LostRetention || s.writtenAgain(&l) || !s.remember(l) {
			continue
		}
		l.Absent = s.lacks(&l)
		lost = append(lost, l)
	}
	return lost
}

// lacks reports whether this copy has no record of the name.
func (s *Set) lacks(l *LostRecord) bool {
	_, ok := s.records[l.Record.Name]
	return !ok
}

// writtenAgain reports whether the present epoch has a later word on a lost record.
func (s *Set) writtenAgain(l *LostRecord) bool {
	if r, ok := s.records[l.Record.Name]; ok && r.Revision > l.Since {
		return true
	}
	return slices.ContainsFunc(s.removed, func(r removal) bool {
		return r.epoch == s.position.Epoch && r.Name == l.Record.Name && r.Revision > l.Since
	})
}

// remember keeps a lost state of a record; added is false if it is kept already.
func (s *Set) remember(l LostRecord) (added bool) {
	states := s.memory.lost[l.Record.Name]
	i, found := slices.BinarySearchFunc(states, l.position(), func(l LostRecord, p Position) int { return l.position().compare(p) })
	if found {
		return false
	}
	if s.memory.lost == nil {
		s.memory.lost = make(map[string][]LostRecord)
	}
	states = slices.Insert(states, i, l)
	s.memory.lost[l.Record.Name] = states[max(0, len(states)-maxStates):]
	return true
}

// forget drops the lost states of a record on which there is a later word, of the given
// revision.
func (s *Set) forget(name string, revision uint64) (forgotten bool) {
	states := s.memory.lost[name]
	kept := slices.DeleteFunc(states, func(l LostRecord) bool { return revision > l.Since })
	s.keep(name, kept)
	return len(kept) < len(states)
}

// expire drops what nobody has written again.
func (s *Set) expire(now time.Time) {
	for name, states := range s.memory.lost {
		s.keep(name, slices.DeleteFunc(states, func(l LostRecord) bool { return now.Sub(l.at) >= LostRetention }))
	}
}

// keep replaces the lost states of a record.
func (s *Set) keep(name string, states []LostRecord) {
	if len(states) == 0 {
		delete(s.memory.lost, name)
		return
	}
	s.memory.lost[name] = states
}

// lose remembers what the whole contents d of a later epoch lack of what is known.
func (s *Set) lose(d *Delta, now time.Time) {
	s.expire(now)
	for _, states := range s.memory.lost {
		for i := range states {
			states[i].Since, states[i].at = d.To, now
		}
	}
	present := make(map[string]*Record, len(d.Changed))
	for i := range d.Changed {
		present[d.Changed[i].Name] = &d.Changed[i]
	}
	lost := LostRecord{Epoch: s.position.Epoch, Since: d.To, at: now}
	for name, r := range s.records {
		if found := present[name]; found == nil || !found.same(&r) {
			lost.Record = r
			s.remember(lost)
		}
	}
	lost.Removed = true
	for _, r := range s.removed {
		if _, known := s.records[r.Name]; !known && present[r.Name] != nil {
			lost.Epoch, lost.Record = r.epoch, Record{Name: r.Name, Revision: r.Revision}
			s.remember(lost)
		}
	}
	s.memory.former = s.position
}
