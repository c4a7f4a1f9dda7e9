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
	// parts is the number of parts of a member list that have a digest each.
	parts     = 64
	partShift = 64 - 6
	// mismatchLimit is the number of heartbeats in a row that must show another
	// digest before member lists are exchanged: a difference that is due to
	// updates in flight disappears by itself.
	mismatchLimit = 3
	// syncIntervals is the least time between two exchanges that digests
	// trigger, in heartbeat intervals.
	syncIntervals = 4
	// recontactIntervals is the time between two attempts of a node to reach a
	// dead member, in heartbeat intervals. By these attempts the sides of a
	// partition find each other again. With more than recontactNodes members
	// the time grows, so that the total rate of attempts from one side stays
	// the same: each attempt may exchange whole lists.
	recontactIntervals = 10
	recontactNodes     = 16
	// phaseSteps is the number of steps in which the nodes' first attempts are
	// spread over a period.
	phaseSteps = 1024
)

// digests are hashes over the members that are neither dead nor left.
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

// add adds a member. A Suspect member counts as Alive, because a suspicion is
// temporary.
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

// compare starts an exchange with a peer whose digest keeps differing.
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

// announcement returns this node's own state, once it has joined.
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

// answer sends the members that the asker requested.
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

// list returns all members sorted by name, with this node once it has joined.
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

// unmentioned returns the live members in the differing parts that an answer
// doesn't contain.
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

// catchUp is the state of the wait for a peer's answer while joining or after a
// pause.
type catchUp struct {
	active      bool
	first       uint64 // the first Sequence that counts as an answer
	answered    bool   // by a member that has joined and isn't fenced
	firstAnswer time.Time
	revision    uint64
	until       time.Time
}

// onAnswer processes an answer to a request of this node while it catches up.
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

// finishCatchUp ends the wait when a peer has told this node what it missed and
// the peer's configuration is in force here too, or when the time for that is
// over. A node that owned flows earlier could place them by an outdated member
// list or configuration.
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
		return // another process uses the name
	}
	if late && !c.answered && c.firstAnswer.IsZero() {
		f.countUnanswered()
	}
	*c = catchUp{}
	f.dirty = true
	f.takenOver = f.takenOver || f.fenced // the peers' answers may no longer show that they held it dead
	f.fenced = false
	if f.phase == joining {
		f.completeJoin(now)
	}
}

// completeJoin makes this node a member that owns flows.
func (f *Fleet) completeJoin(now time.Time) {
	f.phase = joined
	f.lastRecontact = now.Add(-f.recontactAfter() * time.Duration(f.phaseHash()%phaseSteps) / phaseSteps)
	f.queueUpdate(f.self.Name)
	for _, w := range f.watches {
		*w = watch{acked: now}
	}
	// Nodes that start at the same moment don't learn of each other from the
	// members that were there before.
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

// join asks members for their whole lists: one at each tick until one has
// answered, then one in each heartbeat interval.
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

// contact returns the next member to ask while joining: a seed, a known member,
// or one from the platform's list. They are asked one at a time because a whole
// list is large.
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

// compareContacts orders members whose names may be unknown.
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

// fence marks the view as not to be trusted, and asks the neighbours what this
// node missed.
func (f *Fleet) fence(now time.Time) {
	f.count(CountFenced)
	f.fenced = true
	f.dirty = true
	f.catchUp = catchUp{active: true, first: f.sequence + 1, until: now.Add(fenceIntervals * f.interval())}
	for _, to := range f.neighbours() {
		f.exchange(to)
	}
}

// recontactDead tries to reach a member that is dead here, or that is known only
// as a seed or from the platform's list. It also deletes the entries of members
// that have been gone for long enough.
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

// phaseHash differs between nodes, so that they don't all make their attempts at
// the same time and at the same member.
func (f *Fleet) phaseHash() uint32 { return uint32(xxhash.Sum64String(f.self.Name)) }

// unknown returns the seeds and the VMs on the platform's list at whose address
// no member is known: this node may have started while it was partitioned from
// them.
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

// expired reports whether a member has been gone for long enough to delete it.
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

// confirmedGone reports whether the platform's list was received after the
// member got its status and doesn't contain it.
func (f *Fleet) confirmedGone(e *entry) bool {
	if f.vms == nil || !f.vmsAt.After(e.statusSince) {
		return false
	}
	_, listed := f.vms[e.m.Name]
	return !listed
}

// checkPartition determines whether the fleet may be partitioned.
func (f *Fleet) checkPartition(now time.Time) {
	partitioned := false
	for _, e := range f.suspectOrDead {
		partitioned = partitioned || f.maybePartitioned(e, now)
	}
	if partitioned != f.partitioned {
		f.partitioned = partitioned
		f.dirty = true
	}
}

// maybePartitioned reports whether a member that is dead here may be alive on
// the other side of a partition. A process that died can't be told from one that
// became unreachable, so the answer is limited in time: longer if the platform
// still lists its VM.
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
