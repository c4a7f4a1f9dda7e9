package bronzefleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

const (
	// parts is how many parts a list of members is compared in.
	parts     = 64
	partShift = 64 - 6
	// mismatchLimit is how many heartbeats in a row must show another digest
	// before lists are compared: news on its way settles by itself.
	mismatchLimit = 3
	// syncIntervals is the least time between two comparisons of lists.
	syncIntervals = 4
	// recontactIntervals is the time between two attempts of a node to reach a
	// dead member, which is how the sides of a partition find each other again.
	// With more than recontactNodes members it grows, so that the attempts of
	// one side together stay the same: each may exchange whole lists.
	recontactIntervals = 10
	recontactNodes     = 16
	// phases is in how many steps nodes are spread over a period.
	phases = 1024
)

// digests are hashes over the members that are alive here.
type digests struct {
	total uint64
	parts []uint32
}

func part(name string) int { return int(xxhash.Sum64String(name) >> partShift) }

func (f *Fleet) computeDigests() digests {
	d := digests{parts: make([]uint32, parts)}
	for _, e := range f.entries {
		d.add(e.m)
	}
	if f.announced() {
		d.add(f.self)
	}
	return d
}

// add adds a member. Suspicions are left out, since they pass.
func (d *digests) add(m bronzelink.Member) {
	if m.Status >= bronzelink.Dead {
		return
	}
	state := m.Incarnation << 1
	if m.Status == bronzelink.Leaving {
		state |= 1
	}
	h := bronzeflow.Mix(xxhash.Sum64String(m.Name), state)
	d.total ^= h
	d.parts[part(m.Name)] ^= uint32(h)
}

// compare starts an exchange with a peer whose digest differs for long.
func (f *Fleet) compare(e *entry, digest uint64, now time.Time) {
	if digest == f.digests.total {
		e.digestMismatches = 0
		return
	}
	e.digestMismatches++
	if e.digestMismatches < mismatchLimit || now.Sub(f.lastSync) < syncIntervals*f.interval() {
		return
	}
	e.digestMismatches = 0
	f.lastSync = now
	f.count(CountSynced)
	f.exchange(e.m)
}

// exchange asks a peer for the parts of its list that differ.
func (f *Fleet) exchange(to bronzelink.Member) {
	f.send(to, &bronzelink.Message{Members: &bronzelink.Members{
		Members:  f.announcement(),
		Sequence: f.nextSequence(),
		Digests:  slices.Clone(f.digests.parts),
	}})
}

// announcement returns this node, if the others may know of it.
func (f *Fleet) announcement() []bronzelink.Member {
	if !f.announced() {
		return nil
	}
	return []bronzelink.Member{f.self}
}

func (f *Fleet) onMembers(from string, l *bronzelink.Members, now time.Time) {
	own := f.digests.parts
	var newer []bronzelink.Member
	for _, claim := range l.Members {
		if claim.Name != "" && f.apply(claim, from, now) {
			newer = append(newer, f.entries[claim.Name].m)
		}
	}
	if l.Answer != 0 {
		f.onAnswer(from, l, now)
		newer = append(newer, f.unmentioned(own, l)...)
	}
	if l.Sequence != 0 {
		f.answer(from, l)
	}
	if len(newer) > 0 {
		f.sendTo(from, membersMessage(newer...))
	}
}

// answer sends the members that the asker wants.
func (f *Fleet) answer(from string, l *bronzelink.Members) {
	a := &bronzelink.Members{
		Answer:   l.Sequence,
		Digests:  f.digests.parts,
		Joined:   f.announced() && !f.fenced,
		Revision: f.self.Revision,
	}
	if l.Full {
		a.Digests = nil
	}
	for _, m := range f.list() {
		if l.Full || differ(f.digests.parts, l.Digests, m.Name) {
			a.Members = append(a.Members, m)
		}
	}
	f.sendTo(from, &bronzelink.Message{Members: a})
}

// list returns all members, this node too if it is present, by name.
func (f *Fleet) list() []bronzelink.Member {
	list := f.announcement()
	for _, e := range f.entries {
		list = append(list, e.m)
	}
	slices.SortFunc(list, compareNames)
	return list
}

// differ reports whether two lists differ in the part that name falls into.
func differ(a, b []uint32, name string) bool {
	p := part(name)
	return len(a) != parts || len(b) != parts || a[p] != b[p]
}

// unmentioned returns the live members that an answer should have held.
func (f *Fleet) unmentioned(own []uint32, l *bronzelink.Members) []bronzelink.Member {
	if len(l.Digests) != parts {
		return nil
	}
	mentioned := map[string]struct{}{}
	for _, m := range l.Members {
		mentioned[m.Name] = struct{}{}
	}
	var list []bronzelink.Member
	for _, m := range f.list() {
		if _, ok := mentioned[m.Name]; !ok && m.Status < bronzelink.Dead && differ(own, l.Digests, m.Name) {
			list = append(list, m)
		}
	}
	return list
}

// catchUp is the wait for a peer's answer while joining or after a pause.
type catchUp struct {
	active      bool
	first       uint64 // the first Sequence that counts as an answer
	answered    bool   // by a member that is in step with the fleet
	firstAnswer time.Time
	revision    uint64
	until       time.Time
}

// onAnswer notes an answer to what this node asked while catching up.
func (f *Fleet) onAnswer(from string, l *bronzelink.Members, now time.Time) {
	c := &f.catchUp
	if !c.active || l.Answer < c.first {
		return
	}
	if c.firstAnswer.IsZero() {
		c.firstAnswer = now
	}
	c.revision = max(c.revision, l.Revision)
	if l.Revision > f.self.Revision {
		f.reportBehind(f.member(from))
	}
	c.answered = c.answered || l.Joined
	f.finishCatchUp(now)
}

func (f *Fleet) member(name string) bronzelink.Member {
	if e := f.entries[name]; e != nil {
		return e.m
	}
	return bronzelink.Member{Name: name}
}

// finishCatchUp goes on when a peer has told this node what it missed and the
// configuration that it has is in force here too, or when none did in time. A
// node that owned flows before that could place them by an old list or by an
// old configuration.
func (f *Fleet) finishCatchUp(now time.Time) {
	c := &f.catchUp
	if !c.active || f.failure != nil {
		return
	}
	late := !now.Before(c.until)
	if !late && (!c.answered || c.revision > f.self.Revision) {
		return
	}
	if f.phase == joining && now.Sub(f.nameTakenAt) < orDefault(f.JoinWait, DefaultJoinWait) {
		return // the name is taken
	}
	if late && !c.answered && c.firstAnswer.IsZero() {
		f.countUnanswered()
	}
	*c = catchUp{}
	f.dirty = true
	f.takenOver = f.takenOver || f.fenced // a peer may have forgotten that it held this node dead
	f.fenced = false
	if f.phase == joining {
		f.completeJoin(now)
	}
}

// completeJoin makes this node a member that owns flows.
func (f *Fleet) completeJoin(now time.Time) {
	f.phase = joined
	f.lastRecontact = now.Add(-f.recontactAfter() * time.Duration(f.phaseHash()%phases) / phases)
	f.queueUpdate(f.self.Name)
	for _, w := range f.watches {
		*w = watch{acked: now}
	}
	// Nodes that start at the same moment don't hear of each other from
	// those that were there before.
	unknown := f.unknown()
	for _, to := range unknown[:min(len(unknown), smallFleet)] {
		f.exchange(to)
	}
}

func (f *Fleet) countUnanswered() {
	if f.phase == joining {
		f.count(CountJoinUnanswered)
		return
	}
	f.count(CountFenceUnanswered)
}

// join asks members for their lists: one with each tick until there was an
// answer, then one with each interval.
func (f *Fleet) join(now time.Time) {
	if !f.catchUp.active {
		f.catchUp = catchUp{active: true, first: f.sequence + 1, until: now.Add(orDefault(f.JoinWait, DefaultJoinWait))}
	}
	if now.Before(f.nextHeartbeat) {
		return
	}
	if !f.catchUp.firstAnswer.IsZero() {
		f.nextHeartbeat = now.Add(f.interval())
	}
	if to, ok := f.contact(); ok {
		f.send(to, &bronzelink.Message{Members: &bronzelink.Members{Full: true, Sequence: f.nextSequence()}})
	}
}

// contact returns a member that may answer a joining node, another one each
// time: a seed, a member it has heard of, or one from the platform's list. They
// are asked one at a time because a whole list is large.
func (f *Fleet) contact() (to bronzelink.Member, ok bool) {
	all := f.unknown()
	for _, e := range f.entries {
		if e.live() {
			all = append(all, e.m)
		}
	}
	slices.SortFunc(all, compareContacts)
	if len(all) == 0 {
		return to, false
	}
	f.nextContact++
	return all[f.nextContact%len(all)], true
}

// compareContacts orders members of which the name may not be known.
func compareContacts(a, b bronzelink.Member) int {
	return cmp.Or(compareNames(a, b), cmp.Compare(a.ControlAddress, b.ControlAddress))
}

func vmMember(vm bronzeconf.VM) bronzelink.Member {
	return bronzelink.Member{
		Name:             vm.Name,
		AvailabilityZone: vm.AvailabilityZone,
		Region:           vm.Region,
		ControlAddress:   vm.ControlAddress,
	}
}

// fence stops trusting the view and asks the neighbours what happened.
func (f *Fleet) fence(now time.Time) {
	f.count(CountFenced)
	f.fenced = true
	f.dirty = true
	f.catchUp = catchUp{active: true, first: f.sequence + 1, until: now.Add(fenceIntervals * f.interval())}
	for _, to := range f.neighbours() {
		f.exchange(to)
	}
}

// recontactDead tries to reach a member that is held dead, or that only the
// platform knows, and forgets those that are gone for long.
func (f *Fleet) recontactDead(now time.Time) {
	if now.Sub(f.lastRecontact) < f.recontactAfter() || !f.announced() {
		return
	}
	f.lastRecontact = now
	var candidates []bronzelink.Member
	for name, e := range f.entries {
		switch {
		case f.expired(e, now):
			delete(f.entries, name)
			delete(f.suspectOrDead, name)
			f.dirty = true
		case e.m.Status == bronzelink.Dead && !e.announcedLeave && !f.confirmedGone(e):
			candidates = append(candidates, e.m)
		}
	}
	f.load.forget(f.entries, f.self.Name)
	candidates = append(candidates, f.unknown()...)
	if len(candidates) == 0 {
		return
	}
	slices.SortFunc(candidates, compareContacts)
	f.nextContact++
	f.exchange(candidates[(f.nextContact+int(f.phaseHash()))%len(candidates)])
}

// recontactAfter returns the time between two attempts to reach a dead member.
func (f *Fleet) recontactAfter() time.Duration {
	live := len(f.entries) - len(f.suspectOrDead) + 1
	return recontactIntervals * f.interval() * time.Duration(max(live, recontactNodes)) / recontactNodes
}

// phaseHash is different on each node, so that they don't all do the same at
// the same time.
func (f *Fleet) phaseHash() uint32 { return uint32(xxhash.Sum64String(f.self.Name)) }

// unknown returns the seeds, and the VMs that the platform lists, at whose
// address no member is known: this node may have started while it was cut off
// from them.
func (f *Fleet) unknown() []bronzelink.Member {
	known := map[string]struct{}{f.self.ControlAddress: {}}
	for _, e := range f.entries {
		known[e.m.ControlAddress] = struct{}{}
	}
	all := slices.Clone(f.seeds)
	for _, vm := range f.vms {
		if !vm.Leaving {
			all = append(all, vmMember(vm))
		}
	}
	all = slices.DeleteFunc(all, func(m bronzelink.Member) bool {
		_, ok := known[m.ControlAddress]
		return ok
	})
	slices.SortFunc(all, compareContacts)
	return all
}

// expired reports whether a member is gone for long enough to forget it.
func (f *Fleet) expired(e *entry, now time.Time) bool {
	gone := now.Sub(e.statusSince)
	switch e.m.Status {
	case bronzelink.Left:
		return gone > forgetLeft
	case bronzelink.Dead:
		return gone > forgetDead || gone > forgetLeft && (e.announcedLeave || f.confirmedGone(e))
	default:
		return false
	}
}

// confirmedGone reports whether the platform's list, received after the member
// got its status, is without it.
func (f *Fleet) confirmedGone(e *entry) bool {
	if f.vms == nil || !f.vmsAt.After(e.statusSince) {
		return false
	}
	_, listed := f.vms[e.m.Name]
	return !listed
}

// checkPartition finds out whether the fleet may be split.
func (f *Fleet) checkPartition(now time.Time) {
	split := false
	for _, e := range f.suspectOrDead {
		split = split || f.maybePartitioned(e, now)
	}
	if split != f.partitioned {
		f.partitioned = split
		f.dirty = true
	}
}

// maybePartitioned reports whether a member that died here may be alive elsewhere. A
// process that died looks just like one that was cut off, so this is limited
// in time: longer if the platform still lists its VM.
func (f *Fleet) maybePartitioned(e *entry, now time.Time) bool {
	if e.m.Status != bronzelink.Dead || e.announcedLeave || f.confirmedGone(e) {
		return false
	}
	limit := orDefault(f.PartitionTimeout, DefaultPartitionTimeout)
	if _, listed := f.vms[e.m.Name]; listed {
		limit = max(limit, orDefault(f.ListedPartitionTimeout, DefaultListedPartitionTimeout))
	}
	return now.Sub(e.statusSince) < limit
}
