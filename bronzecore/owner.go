package bronzecore

import (
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// decideAsOwner decides, as the flow's owner, on a caller's packet that can't
// simply be forwarded by a trusted entry. match must have been called.
func (d *decision) decideAsOwner() {
	d.lock()
	defer d.shard.mu.Unlock()
	if a, ok := d.shard.attempts[d.packet.Key]; ok {
		if a.phase != opening || d.inForce(a.server()) {
			d.continueAttempt(a)
			return
		}
		d.withdraw(a)
	}
	e, known := d.entry()
	switch {
	case known && e.Flags&bronzeflow.Owned != 0 && !d.trusted(e, d.now):
		d.recheck(e)
	case known && e.State != bronzeflow.Pending && d.trusted(e, d.now):
		d.reopen(e)
	case d.packet.Kind == bronzeflow.Open || d.packet.Kind == bronzeflow.Datagram:
		d.open()
	case d.packet.Kind == bronzeflow.Reset:
		d.forwardUnknownReset()
	default:
		d.recover()
	}
}

// continueAttempt handles another packet of a flow that has an attempt.
func (d *decision) continueAttempt(a *attempt) {
	p := &d.packet
	switch {
	case p.Kind == bronzeflow.Reset || (p.Kind == bronzeflow.Close && a.phase == opening):
		d.callerGone(a)
	case a.phase != opening:
		if a.isOpen() == (p.Kind == bronzeflow.Open || p.Kind == bronzeflow.Datagram) {
			a.hold(p)
		}
		d.drop(Recovering)
		d.reprobe(a)
	case p.Kind == bronzeflow.Open:
		// The caller retransmits, so the same server gets the opening again.
		a.hold(p)
		a.committed = a.committed || p.Payload > 0
		d.forward(a.server(), None)
	default:
		// A caller sends data only after an acceptance. This owner has seen
		// none, so a former owner passed one on, and the opening was a late
		// duplicate.
		d.abandon(a)
		d.recover()
	}
}

// withdraw cancels an attempt whose server is no longer in force or whose
// service no longer claims the flow's destination: no server may get its
// opening any more.
func (d *decision) withdraw(a *attempt) {
	d.cancel(a, ServerGone)
	d.abandon(a)
}

// cancel tells the current server of an attempt that the flow is given up there.
func (d *decision) cancel(a *attempt, r Reason) {
	d.add(Action{Kind: Cancel, Server: a.server(), Packet: a.held, Reason: r})
}

// callerGone ends an attempt whose caller has closed or reset the flow.
func (d *decision) callerGone(a *attempt) {
	if a.phase == opening {
		d.forward(a.server(), CallerGone)
	} else {
		d.drop(CallerGone)
	}
	d.abandon(a)
}

// abandon removes an attempt and the entry of its pending opening.
func (d *decision) abandon(a *attempt) {
	d.shard.remove(a)
	if e, ok := d.entry(); ok && e.State == bronzeflow.Pending {
		d.dropEntry()
	}
}

// discard removes an attempt and drops the packet that it holds.
func (d *decision) discard(a *attempt, r Reason) {
	d.shard.remove(a)
	d.add(Action{Kind: Drop, Packet: a.held, Reason: r})
}

// reopen handles an Open whose key has a trusted entry at the owner: the key is
// in use or was until recently.
func (d *decision) reopen(e bronzeflow.Entry) {
	if !d.inForce(e.Server) {
		d.serverGone()
		return
	}
	if e.State != bronzeflow.Closed {
		// Either a late duplicate or a caller that restarted. The server can
		// tell them apart.
		d.forward(e.Server, None)
		return
	}
	if r := d.refusal(); r != None {
		d.refuse(r)
		return
	}
	a := d.newAttempt()
	if a == nil {
		d.refuse(HalfOpenLimit)
		return
	}
	d.table.Delete(&d.packet.Key, d.hash)
	if d.service.pool.Available(e.Server) {
		d.place(a, e.Server)
		return
	}
	// The key moves to another server, and other nodes may have learned the
	// old one. They are told to forget it before they could forward to it.
	d.sendForget()
	d.place(a, 0)
}

// open starts an attempt to place a new flow.
func (d *decision) open() {
	if d.leaving.Load() {
		d.drop(Draining)
		return
	}
	a := d.newAttempt()
	if a == nil {
		d.refuse(HalfOpenLimit)
		return
	}
	id, copied := d.copies.get(d.hash)
	if copied && d.packet.Kind == bronzeflow.Datagram && d.inForce(id) {
		d.shard.remove(a)
		d.adopt(bronzelink.Mapping{Server: id, State: bronzeflow.Established})
		return
	}
	if copied && d.service.ifAvailable(id) != 0 {
		d.place(a, id)
		return
	}
	v := d.view.Load()
	if v == nil || !v.Unsettled(d.hash, d.Timing.UnsettledPeriod) {
		d.placeNew(a)
		return
	}
	// A former owner may just have placed this flow. Placing it again without
	// a query could open it at two servers.
	d.query(a)
	if len(a.outstanding) == 0 {
		d.placeNew(a)
	}
}

// newAttempt starts an attempt for the packet. It returns nil if the shard is
// full.
func (d *decision) newAttempt() *attempt {
	a := d.shard.add(&d.packet, d.hash, d.now)
	if a != nil {
		a.deadline = d.now.Add(d.Timing.RecoveryTimeout)
		a.partitioned = d.partitioned()
	}
	return a
}

// forwardUnknownReset forwards a caller's reset of an unknown flow to the
// server that most likely has the flow. A reset runs nothing, even at a server
// that doesn't know the flow.
func (d *decision) forwardUnknownReset() {
	id, ok := d.copies.get(d.hash)
	if !ok {
		var buf [1]bronzeflow.ServerID
		c := d.service.pool.Candidates(d.hash, 1, buf[:0])
		if len(c) == 0 {
			d.drop(UnknownFlow)
			return
		}
		id = c[0]
	}
	d.forward(id, UnknownFlow)
}
