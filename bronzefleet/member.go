package bronzefleet

import (
	"slices"
	"time"

	"bronzeusher.example/bronzeusher/bronzelink"
)

// startShift separates the two parts of an Incarnation: the upper one is the
// start of the process in Unix milliseconds, the lower one counts its
// refutations.
const startShift = 16

// processStart returns the part of an incarnation that stays the same
// throughout one process.
func processStart(incarnation uint64) uint64 { return incarnation >> startShift }

// The times for which members that are gone are remembered: longer than an
// update about them can be in flight, and for dead ones as long as a partition
// may last.
const (
	forgetLeft = 2 * time.Minute
	forgetDead = time.Hour
)

// entry is the state of another member as this node knows it.
type entry struct {
	m                bronzelink.Member
	statusSince      time.Time // when the status last changed
	lastHeard        time.Time // the last message from the member
	refuteDeadline   time.Time // until when a suspect must refute
	returnedAt       time.Time // when it was last alive again after it was dead
	announcedLeave   bool
	digestMismatches int // heartbeats in a row with a different digest
}

// live reports whether the member is neither dead nor left.
func (e *entry) live() bool { return e.m.Status < bronzelink.Dead }

// nameConflict reports whether peer is another process under the name of the
// live member e. A process that restarted at the same address is no conflict:
// the old one can't be running there any more.
func (f *Fleet) nameConflict(e *entry, peer bronzelink.Member) bool {
	return e.live() && processStart(peer.Incarnation) != processStart(e.m.Incarnation) &&
		peer.ControlAddress != e.m.ControlAddress
}

// apply processes a claim about a member, received from the member from. It
// reports whether this node has a state that the sender should learn instead.
func (f *Fleet) apply(claim bronzelink.Member, from string, now time.Time) (outdated bool) {
	if claim.Name == f.self.Name {
		f.applySelf(claim, from, now)
		return false
	}
	e := f.entries[claim.Name]
	if e == nil {
		f.addMember(claim, now)
		return false
	}
	claimed, known := processStart(claim.Incarnation), processStart(e.m.Incarnation)
	switch {
	case claimed < known:
		return true
	case claimed > known:
		if claim.Name == from && f.nameConflict(e, claim) {
			f.count(CountNameTaken)
			return true
		}
		f.accept(e, claim, now)
		return false
	default:
		return f.applySameProcess(e, claim, now)
	}
}

// addMember adds an entry for a member that was not known.
func (f *Fleet) addMember(claim bronzelink.Member, now time.Time) {
	e := &entry{lastHeard: now}
	f.entries[claim.Name] = e
	f.accept(e, claim, now)
}

// applySameProcess processes a claim about the process that e describes.
func (f *Fleet) applySameProcess(e *entry, claim bronzelink.Member, now time.Time) (outdated bool) {
	if claim.Incarnation < e.m.Incarnation || e.m.Status == bronzelink.Left {
		return claim.Status < e.m.Status || claim.Incarnation < e.m.Incarnation
	}
	if claim.Incarnation == e.m.Incarnation && claim.Status <= e.m.Status {
		e.m.Revision = max(e.m.Revision, claim.Revision)
		return claim.Status < e.m.Status
	}
	switch claim.Status {
	case bronzelink.Suspect:
		if now.Sub(e.lastHeard) < 2*f.interval() {
			f.forwardToSubject(claim)
			return false
		}
	case bronzelink.Dead:
		if owns(e.m.Status) && !f.confirmsDeath(e, claim, now) {
			f.applyAsSuspicion(e, claim, now)
			return false
		}
	}
	f.accept(e, claim, now)
	return false
}

// applyAsSuspicion processes an unconfirmed claim of death as a suspicion.
func (f *Fleet) applyAsSuspicion(e *entry, claim bronzelink.Member, now time.Time) {
	f.count(CountDeathUnconfirmed)
	if e.m.Status == bronzelink.Suspect && claim.Incarnation == e.m.Incarnation {
		return
	}
	claim.Status = bronzelink.Suspect
	f.accept(e, claim, now)
}

// confirmsDeath reports whether e has been suspect here for long enough to
// accept a credible claim that it is dead. When a partition heals, the other
// side holds each member of this side dead; accepting that would move every
// flow twice. Taken as a suspicion, the claim is refuted by the member.
func (f *Fleet) confirmsDeath(e *entry, claim bronzelink.Member, now time.Time) bool {
	return e.m.Status == bronzelink.Suspect && now.Sub(e.statusSince) >= f.deadAfter()/2 && f.credible(claim, now)
}

// distrustAfterReturn is how long the claims of a member that was dead and came
// back are not credible.
const distrustAfterReturn = time.Minute

// credible reports whether the accuser in a claim is this node, or is live here
// and hasn't returned after being dead here within distrustAfterReturn: a member
// that was dead here until recently couldn't reach members that this node could.
func (f *Fleet) credible(claim bronzelink.Member, now time.Time) bool {
	if claim.Accuser == f.self.Name {
		return true
	}
	e := f.entries[claim.Accuser]
	return e != nil && e.live() && (e.returnedAt.IsZero() || now.Sub(e.returnedAt) >= distrustAfterReturn)
}

// forwardToSubject passes a claim on to the member that it is about, so that
// the member can refute it. This node has just heard from the member and rejects
// the claim. It doesn't contradict the claimant: at the same incarnation each of
// the two would reject the other's state and answer it at once, in a loop until
// the member, which may be dead, refutes the claim.
func (f *Fleet) forwardToSubject(claim bronzelink.Member) {
	f.sendTo(claim.Name, membersMessage(claim))
}

// accept makes claim the state of e and queues it as an update for the others.
func (f *Fleet) accept(e *entry, claim bronzelink.Member, now time.Time) {
	if claim.ControlAddress == "" {
		claim.AvailabilityZone, claim.Region = e.m.AvailabilityZone, e.m.Region
		claim.ControlAddress, claim.DataAddress = e.m.ControlAddress, e.m.DataAddress
	}
	if claim.Status != e.m.Status {
		e.statusSince = now
	}
	if e.m.Status == bronzelink.Dead && claim.Status < bronzelink.Dead {
		e.returnedAt = now
	}
	if processStart(claim.Incarnation) != processStart(e.m.Incarnation) {
		e.announcedLeave = false
		e.lastHeard = now
	}
	switch claim.Status {
	case bronzelink.Suspect:
		e.refuteDeadline = now.Add(f.refutationTimeout(claim, now))
	case bronzelink.Leaving, bronzelink.Left:
		e.announcedLeave = true
	}
	e.m = claim
	delete(f.suspectOrDead, claim.Name)
	if claim.Status == bronzelink.Suspect || claim.Status == bronzelink.Dead {
		f.suspectOrDead[claim.Name] = e
	}
	f.dirty = true
	f.queueUpdate(claim.Name)
}

// refutationTimeout returns how long this node waits for the refutation of a
// suspicion that another member raised. It is longer than the accuser's own
// timeout, so that a credible accuser declares the death first. After a
// partition there are many claims at once from accusers that aren't credible,
// so the subjects of these get more time.
func (f *Fleet) refutationTimeout(claim bronzelink.Member, now time.Time) time.Duration {
	if f.credible(claim, now) {
		return 2 * f.deadAfter()
	}
	return 4 * f.deadAfter()
}

// applySelf processes a claim about this node.
func (f *Fleet) applySelf(claim bronzelink.Member, from string, now time.Time) {
	f.recordOwnDeath(claim)
	alive := claim.Status < bronzelink.Dead
	if processStart(claim.Incarnation) != processStart(f.self.Incarnation) && alive {
		f.applyNameConflict(claim, now)
		return
	}
	if claim.Incarnation < f.self.Incarnation || claim.Status <= f.self.Status && claim.Incarnation == f.self.Incarnation {
		return
	}
	if processStart(claim.Incarnation) != processStart(f.self.Incarnation) {
		// An earlier process with this name had a clock that was ahead.
		f.self.Incarnation = claim.Incarnation
	}
	if f.phase == left {
		return
	}
	f.self.Incarnation = claim.Incarnation + 1
	f.dirty = true
	if f.phase == joining {
		return
	}
	f.count(CountRefuted)
	f.queueUpdate(f.self.Name)
	f.sendTo(from, membersMessage(f.self))
}

// recordOwnDeath records that others held this process dead, and so owned its
// slots, once for each incarnation: the claim may arrive after this node has
// refuted the suspicion that led to it.
func (f *Fleet) recordOwnDeath(claim bronzelink.Member) {
	same := processStart(claim.Incarnation) == processStart(f.self.Incarnation)
	if claim.Status == bronzelink.Dead && same && claim.Incarnation > f.deathIncarnation {
		f.deathIncarnation = claim.Incarnation
		f.takenOver = true
		f.dirty = true
	}
}

// applyNameConflict processes a claim that another process with this node's
// name is alive. The newer process yields while it is joining. Once it has
// joined, which is possible only where the old one was held dead, the old one
// yields: two owners under one name would place a flow twice.
func (f *Fleet) applyNameConflict(claim bronzelink.Member, now time.Time) {
	if claim.ControlAddress == f.self.ControlAddress && processStart(claim.Incarnation) < processStart(f.self.Incarnation) {
		return // the earlier process at this address
	}
	switch {
	case f.phase == joining:
		f.nameTaken(now)
	case processStart(claim.Incarnation) > processStart(f.self.Incarnation):
		f.count(CountNameTaken)
		f.fenced = true
		f.dirty = true
		f.lease.Store(0)
		f.failure = ErrReplaced
	}
}

// nameTaken records that another process with this node's name is alive.
func (f *Fleet) nameTaken(now time.Time) {
	if f.phase != joining {
		return
	}
	f.count(CountNameTaken)
	f.nameTakenAt = now
	if now.Sub(f.joinStarted) >= orDefault(f.NameWait, DefaultNameWait) {
		f.failure = ErrNameTaken
	}
}

// queueUpdate queues a member's state for the neighbours.
func (f *Fleet) queueUpdate(name string) { f.updates[name] = struct{}{} }

// updatesPerInterval is how many updates a node sends to all its neighbours in
// one interval. After a partition, hundreds of members change within seconds;
// sent to all neighbours, their updates would take a hundred times the bytes
// that control traffic may use, so any further ones go around the first ring
// only.
const updatesPerInterval = 8

// sendUpdates sends the queued updates to the neighbours, once to each: a lost
// update is detected by the digests in the heartbeats. A suspicion is also sent
// to the member that it is about.
func (f *Fleet) sendUpdates() {
	if len(f.updates) == 0 {
		return
	}
	if f.phase == joining {
		clear(f.updates)
		return
	}
	if f.dirty {
		f.setPeers()
	}
	f.updatesSent += len(f.updates)
	to := f.neighbours()
	if f.updatesSent > updatesPerInterval {
		to = f.peers.Load().loadPeers
	}
	var list []bronzelink.Member
	for name := range f.updates {
		m := f.self
		if e := f.entries[name]; e != nil {
			m = e.m
		}
		list = append(list, m)
		if m.Status == bronzelink.Suspect && f.updatesSent <= updatesPerInterval {
			f.sendTo(name, membersMessage(m))
		}
	}
	clear(f.updates)
	slices.SortFunc(list, compareNames)
	for i := range to {
		f.send(to[i], membersMessage(list...))
	}
}

func membersMessage(list ...bronzelink.Member) *bronzelink.Message {
	return &bronzelink.Message{Members: &bronzelink.Members{Members: list}}
}
