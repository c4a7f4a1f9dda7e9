package bronzefleet

import (
	"slices"
	"time"

	"bronzeusher.example/bronzeusher/bronzelink"
)

const (
	// suspectIntervals is the time without an answer from a monitored member
	// after which other members are asked to check it, in heartbeat intervals.
	suspectIntervals = 3
	// checkIntervals bounds the wait for their answers, in heartbeat intervals.
	checkIntervals = 1
	// deadIntervals is how long a suspect has to refute the suspicion, in
	// heartbeat intervals.
	deadIntervals = 4
	// checkerCount is the number of members that are asked about a silent one.
	checkerCount = 3
	// maxUnansweredRounds is the number of times that a check is repeated which
	// no checker answered, before this node suspects the member by itself: it
	// may be alone on its side of a partition.
	maxUnansweredRounds = 2
)

// watch is the state of the monitoring of one target.
type watch struct {
	acked            time.Time // the last answer
	checking         bool
	sequence         uint64
	until            time.Time
	unreached        int
	asked            int
	unansweredRounds int // in a row without an answer from a checker
}

// indirectCheck is a check of target that another member asked this node for.
type indirectCheck struct {
	asker    string
	sequence uint64
	target   string
	until    time.Time
}

func (f *Fleet) deadAfter() time.Duration { return deadIntervals * f.interval() }

// setWatches makes targets the monitored members, and keeps the state of those
// that are monitored already.
func (f *Fleet) setWatches(targets []bronzelink.Member) {
	now := time.Now()
	watches := make(map[string]*watch, len(targets))
	for i := range targets {
		name := targets[i].Name
		watches[name] = f.watches[name]
		if watches[name] != nil {
			continue
		}
		watches[name] = &watch{acked: now}
		if len(targets) > targetCount && f.announced() {
			// There are more targets than targetCount only because some are
			// suspect: the new one gets a heartbeat now and less time to answer.
			watches[name].acked = now.Add(-(suspectIntervals - 1) * f.interval())
			f.sendHeartbeats(targets[i : i+1])
		}
	}
	f.watches = watches
}

// sendHeartbeats sends a heartbeat to each of the members.
func (f *Fleet) sendHeartbeats(to []bronzelink.Member) {
	for i := range to {
		f.send(to[i], f.heartbeat())
	}
}

func (f *Fleet) heartbeat() *bronzelink.Message {
	return &bronzelink.Message{Heartbeat: &bronzelink.Heartbeat{
		Sequence: f.nextSequence(),
		Member:   compact(f.self),
		Digest:   f.digests.total,
	}}
}

// compact returns m without the fields that don't change while a process runs.
func compact(m bronzelink.Member) bronzelink.Member {
	return bronzelink.Member{Name: m.Name, Incarnation: m.Incarnation, Status: m.Status, Revision: m.Revision}
}

func (f *Fleet) onHeartbeat(from string, h *bronzelink.Heartbeat, now time.Time) {
	if h.Member.Name != from {
		return
	}
	e := f.entries[from]
	if e == nil || processStart(h.Member.Incarnation) != processStart(e.m.Incarnation) {
		f.onUnknownHeartbeat(from, e, h)
		return
	}
	if f.apply(h.Member, from, now) {
		f.sendTo(from, membersMessage(e.m))
	}
	f.sendTo(from, &bronzelink.Message{HeartbeatAck: &bronzelink.HeartbeatAck{
		Sequence: h.Sequence,
		Digest:   f.digests.total,
		Revision: f.self.Revision,
	}})
	f.observe(e, h.Digest, h.Member.Revision, now)
}

// onUnknownHeartbeat answers a heartbeat from a process that this node doesn't
// know. If a later process with its name is known, the sender is told of that;
// otherwise it is asked for its list, which has the fields that a heartbeat lacks.
func (f *Fleet) onUnknownHeartbeat(from string, e *entry, h *bronzelink.Heartbeat) {
	if e != nil && processStart(h.Member.Incarnation) < processStart(e.m.Incarnation) {
		f.sendTo(from, membersMessage(e.m))
		return
	}
	f.exchange(f.member(from))
}

func (f *Fleet) onHeartbeatAck(from string, a *bronzelink.HeartbeatAck, now time.Time) {
	if w := f.watches[from]; w != nil {
		*w = watch{acked: now}
	}
	f.ackLeave(from)
	f.answerChecks(from, true)
	if e := f.entries[from]; e != nil {
		f.observe(e, a.Digest, a.Revision, now)
	}
}

// observe processes the digest and revision in a heartbeat or its answer.
func (f *Fleet) observe(e *entry, digest, revision uint64, now time.Time) {
	e.m.Revision = max(e.m.Revision, revision)
	if revision > f.self.Revision {
		f.reportBehind(e.m)
	}
	if e.m.Status == bronzelink.Suspect {
		f.sendTo(e.m.Name, membersMessage(e.m)) // it answers, so let it refute
	}
	f.compare(e, digest, now)
}

// reportBehind reports a peer that has a higher revision.
func (f *Fleet) reportBehind(peer bronzelink.Member) {
	if f.OnBehind != nil {
		f.callbacks = append(f.callbacks, func() { f.OnBehind(peer) })
	}
}

// detectPause compares the clock with the last tick. A late tick means that
// this process was slow: messages from others may still be waiting to be read,
// so all deadlines are extended by the elapsed time and nobody is suspected
// wrongly. After a pause longer than the lease, others may own this node's
// flows: it is fenced until a peer has told it what it missed. The wall clock
// is compared too, because the monotonic clock may stop while a VM is frozen.
func (f *Fleet) detectPause(now time.Time) {
	elapsed := max(now.Sub(f.lastTick), now.Round(0).Sub(f.lastTick.Round(0)))
	f.lastTick = now
	tick := orDefault(f.Interval, DefaultInterval) / ticksPerInterval
	if elapsed <= 2*tick {
		return
	}
	f.count(CountLate)
	f.extendDeadlines(elapsed)
	if elapsed > leaseIntervals*f.interval() && f.announced() && f.failure == nil {
		f.fence(now)
	}
}

// checkLease detects a pause before a queued message is handled: what it says
// may be as old as the pause.
func (f *Fleet) checkLease(now time.Time) {
	if f.announced() && now.Sub(f.lastTick) > leaseIntervals*f.interval() {
		f.detectPause(now)
	}
}

// extendDeadlines extends the deadlines of all other members by d.
func (f *Fleet) extendDeadlines(d time.Duration) {
	for _, w := range f.watches {
		w.acked = w.acked.Add(d)
		w.until = w.until.Add(d)
	}
	for _, e := range f.entries {
		e.refuteDeadline = e.refuteDeadline.Add(d)
	}
}

// detectFailures checks for failed members, once this node has joined.
func (f *Fleet) detectFailures(now time.Time) {
	if f.announced() {
		f.monitor(now)
		f.expireSuspects(now)
	}
}

// monitor starts and concludes the checks of silent targets.
func (f *Fleet) monitor(now time.Time) {
	for name, w := range f.watches {
		switch {
		case w.checking && !now.Before(w.until):
			f.concludeCheck(name, w, now)
		case !w.checking && now.Sub(w.acked) > suspectIntervals*f.interval():
			f.startCheck(name, w, now)
		}
	}
}

// startCheck asks other members whether they reach a silent target, so that a
// broken path from this node alone doesn't get the target declared dead.
func (f *Fleet) startCheck(name string, w *watch, now time.Time) {
	e := f.entries[name]
	if e == nil || e.m.Status == bronzelink.Suspect || !e.live() {
		return
	}
	w.checking = true
	w.sequence = f.nextSequence()
	w.until = now.Add(checkIntervals * f.interval())
	w.unreached, w.asked = 0, 0
	for _, checker := range f.checkers(e.m) {
		f.send(checker, &bronzelink.Message{Check: &bronzelink.Check{Sequence: w.sequence, Target: name}})
		w.asked++
	}
}

// checkers returns the members to ask about target: neighbours that are Alive,
// mostly from zones other than this node's, so that a partition between zones
// is recognized as such.
func (f *Fleet) checkers(target bronzelink.Member) []bronzelink.Member {
	var local, remote []bronzelink.Member
	for _, m := range f.neighbours() {
		e := f.entries[m.Name]
		switch {
		case e == nil || m.Name == target.Name || e.m.Status != bronzelink.Alive:
		case m.AvailabilityZone == f.self.AvailabilityZone:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	// A checker in the target's own zone is the most likely to reach it.
	slices.SortStableFunc(remote, func(a, b bronzelink.Member) int {
		return zoneMatch(b, target) - zoneMatch(a, target)
	})
	first := min(len(remote), checkerCount-1)
	list := slices.Concat(remote[:first], local, remote[first:])
	return list[:min(len(list), checkerCount)]
}

func zoneMatch(m, target bronzelink.Member) int {
	if m.AvailabilityZone == target.AvailabilityZone {
		return 1
	}
	return 0
}

func (f *Fleet) onCheck(from string, c *bronzelink.Check, now time.Time) {
	e := f.entries[c.Target]
	if e == nil || !e.live() {
		f.sendTo(from, checkAck(c.Sequence, c.Target, false))
		return
	}
	f.indirectChecks = append(f.indirectChecks, indirectCheck{
		asker:    from,
		sequence: c.Sequence,
		target:   c.Target,
		until:    now.Add(checkIntervals * f.interval() * 3 / 4),
	})
	f.send(e.m, f.heartbeat())
}

func checkAck(sequence uint64, target string, reached bool) *bronzelink.Message {
	return &bronzelink.Message{CheckAck: &bronzelink.CheckAck{Sequence: sequence, Target: target, Reached: reached}}
}

// answerChecks answers the members that asked about target.
func (f *Fleet) answerChecks(target string, reached bool) {
	f.indirectChecks = slices.DeleteFunc(f.indirectChecks, func(h indirectCheck) bool {
		if h.target != target {
			return false
		}
		f.sendTo(h.asker, checkAck(h.sequence, target, reached))
		return true
	})
}

// failChecks answers the members that asked about a member whose link failed.
func (f *Fleet) failChecks(target string) { f.answerChecks(target, false) }

// expireChecks answers the members that asked about members that stay silent.
func (f *Fleet) expireChecks(now time.Time) {
	f.indirectChecks = slices.DeleteFunc(f.indirectChecks, func(h indirectCheck) bool {
		if now.Before(h.until) {
			return false
		}
		f.sendTo(h.asker, checkAck(h.sequence, h.target, false))
		return true
	})
}

func (f *Fleet) onCheckAck(_ string, a *bronzelink.CheckAck, now time.Time) {
	w := f.watches[a.Target]
	if w == nil || !w.checking || w.sequence != a.Sequence {
		return
	}
	if a.Reached {
		f.count(CountReached)
		*w = watch{acked: now}
		return
	}
	w.unreached++
	if w.unreached == w.asked {
		f.concludeCheck(a.Target, w, now)
	}
}

// concludeCheck suspects a target that no checker reached. If no checker answered
// either, this node may be isolated or its own links may be broken, so it first
// repeats the check up to maxUnansweredRounds times.
func (f *Fleet) concludeCheck(name string, w *watch, now time.Time) {
	w.checking = false
	e := f.entries[name]
	if e == nil || !e.live() {
		return
	}
	if w.unreached == 0 && w.asked > 0 && w.unansweredRounds < maxUnansweredRounds {
		w.unansweredRounds++
		f.startCheck(name, w, now)
		return
	}
	w.unansweredRounds = 0
	w.acked = now
	f.count(CountSuspected)
	claim := e.m
	claim.Status = bronzelink.Suspect
	claim.Accuser = f.self.Name
	if e.m.Status == bronzelink.Leaving {
		claim.Status = bronzelink.Dead // it owns no slots, so a wrong claim moves no flows
	}
	f.accept(e, claim, now)
	e.refuteDeadline = now.Add(f.deadAfter())
}

// expireSuspects declares the suspects dead that didn't refute in time, or that
// the platform no longer lists.
func (f *Fleet) expireSuspects(now time.Time) {
	for _, e := range f.suspectOrDead {
		if e.m.Status != bronzelink.Suspect {
			continue
		}
		if now.Before(e.refuteDeadline) && !f.confirmedGone(e) {
			continue
		}
		if now.Sub(e.lastHeard) < f.interval() {
			e.refuteDeadline = now.Add(f.interval()) // it answers, so its refutation is in flight
			continue
		}
		f.count(CountDied)
		claim := e.m
		claim.Status = bronzelink.Dead
		claim.Accuser = f.self.Name
		f.accept(e, claim, now)
	}
}
