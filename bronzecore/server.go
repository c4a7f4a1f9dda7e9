package bronzecore

import (
	"slices"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// FromServer decides on a packet from a backend server. ids are the servers at
// the tunnel endpoint that the packet came from; one address may serve several
// services of a Customer.
func (b *Balancer) FromServer(p *bronzeflow.Packet, ids []bronzeflow.ServerID, out []Action) []Action {
	b.init()
	d := decision{Balancer: b, now: b.clock(), packet: *p, hash: p.Key.Hash(), out: out, set: b.services.Load()}
	for _, id := range ids {
		if d.inForce(id) {
			d.fromServer(id)
			return d.out
		}
	}
	d.drop(ForeignServer)
	return d.out
}

// ReplyFromPeer decides on a packet from server id that another node relayed.
func (b *Balancer) ReplyFromPeer(p *bronzeflow.Packet, id bronzeflow.ServerID, out []Action) []Action {
	b.init()
	d := decision{Balancer: b, now: b.clock(), packet: *p, hash: p.Key.Hash(), out: out, set: b.services.Load()}
	if !d.inForce(id) {
		d.drop(ForeignServer)
		return d.out
	}
	d.fromServer(id)
	return d.out
}

// fromServer decides on a packet from server id, which is in force.
func (d *decision) fromServer(id bronzeflow.ServerID) {
	if d.packet.Hops&bronzeflow.AlreadyForwarded != 0 {
		d.markEnded(bronzeflow.ServerClosed, false)
		return
	}
	e, known := d.entry()
	if known && e.Server == id && e.State != bronzeflow.Pending && d.trusted(e, d.now) {
		d.touch(e)
		if d.replyDirect(e) {
			return
		}
	}
	switch d.packet.Kind {
	case bronzeflow.Data, bronzeflow.Datagram, bronzeflow.Close, bronzeflow.Accept, bronzeflow.Refuse:
	default:
		d.drop(InvalidPacket)
		return
	}
	// The owner decides on packets that change a flow's state or don't match
	// the entry of this node.
	v := d.view.Load()
	if owner := d.decidingNode(v, d.hash, d.packet.Kind); owner != d.Name {
		d.unownedReply(id, e, known, owner)
		return
	}
	if d.fenced(v) {
		d.drop(Fenced)
		return
	}
	d.ownReply(id)
}

// replyDirect sends a packet from a flow's own server to the caller unless the
// owner has to decide on it, and reports whether it did.
func (d *decision) replyDirect(e bronzeflow.Entry) bool {
	switch d.packet.Kind {
	case bronzeflow.Data, bronzeflow.Datagram:
		d.reply(e.Server)
		return true
	case bronzeflow.Close:
		d.markEnded(bronzeflow.ServerClosed, false)
		d.reply(e.Server)
		d.notifyOwner(e, RelayReply)
		return true
	default:
		return false
	}
}

// unownedReply decides on a server's packet of a flow that another node owns.
func (d *decision) unownedReply(id bronzeflow.ServerID, e bronzeflow.Entry, known bool, owner string) {
	if known {
		// Two servers claim the flow, or the entry is outdated. The owner
		// decides which.
		d.dropLearned(e)
	}
	if known || !d.provesPinning() {
		d.relay(RelayReply, id, owner)
		return
	}
	d.putLearned(bronzeflow.Entry{Server: id, Flags: bronzeflow.Confirmed})
	d.reply(id)
}

// provesPinning reports whether a server's packet by itself proves that its
// flow is pinned to that server. A server sends data only on a connection that
// the caller has confirmed, and owners pass on only one acceptance. But if the
// service's requests are idempotent, an opening that carried its request may
// have been given up after the server got it; then only the owner knows. Data
// without payload may be the answer to an owner's probe: if the node that it
// enters by learned the flow from it, the owner would not get the answer and
// would end the flow.
func (d *decision) provesPinning() bool {
	p := &d.packet
	if p.Payload == 0 || p.Kind != bronzeflow.Data && p.Kind != bronzeflow.Datagram {
		return false
	}
	svc := d.set.snapshot.Match(&p.Key)
	return svc != nil && !svc.Retry.Idempotent
}

// ownReply decides, as the flow's owner, on a server's packet.
func (d *decision) ownReply(id bronzeflow.ServerID) {
	d.lock()
	defer d.shard.mu.Unlock()
	if a, ok := d.shard.attempts[d.packet.Key]; ok {
		d.attemptReply(a, id)
		return
	}
	e, known := d.entry()
	if known && e.Server == id {
		d.pinnedReply(e)
		return
	}
	if known {
		d.dropLateAnswer(id)
		return
	}
	switch d.packet.Kind {
	case bronzeflow.Data, bronzeflow.Close, bronzeflow.Datagram:
		d.adoptReply(id)
	default:
		// An acceptance without an attempt is not passed on: the caller
		// retransmits its opening, and its server answers again. A refusal
		// proves nothing about a flow that may be at another server.
		d.drop(UnknownFlow)
	}
}

// attemptReply decides on a server's packet for a flow with an attempt.
func (d *decision) attemptReply(a *attempt, id bronzeflow.ServerID) {
	switch {
	case a.phase == probing && slices.Contains(a.tried, id):
		d.handleProbeReply(a, id)
	case a.phase != opening:
		d.drop(Recovering)
	case id == a.server():
		d.openingReply(a)
	case a.wasTried(id):
		d.dropLateAnswer(id)
	case d.packet.Kind == bronzeflow.Data:
		// During a partition the other side has opened this flow at another
		// server, and the caller is using it.
		d.abandon(a)
		d.adoptReply(id)
	default:
		d.drop(LateAnswer)
	}
}

// openingReply decides on the answer to an attempt's opening.
func (d *decision) openingReply(a *attempt) {
	switch {
	case !d.match():
		d.shard.remove(a)
		d.drop(NoService)
	case d.packet.Kind == bronzeflow.Refuse:
		d.service.pool.Refused(a.server(), false)
		d.retry(a, ServerRefused)
	default:
		d.accept(a)
	}
}

// accept establishes a flow: its server has answered the opening.
func (d *decision) accept(a *attempt) {
	d.shard.remove(a)
	d.service.pool.Accepted(a.server(), d.now.Sub(a.started))
	var e bronzeflow.Entry
	d.table.Update(&a.key, a.hash, func(x *bronzeflow.Entry) {
		x.State = bronzeflow.Established
		if d.packet.Kind == bronzeflow.Accept {
			x.Echo = d.packet.Echo
		} else {
			x.Flags |= bronzeflow.Confirmed
		}
		e = *x
	})
	d.countEstablished(a, e)
	d.reply(a.server())
}

// dropLateAnswer drops the answer to an opening that was given up. An acceptance
// shows that the server missed the cancellation, so it is cancelled again.
// While the fleet is partitioned, the caller may be using that connection
// through the other side, so it is not cancelled.
func (d *decision) dropLateAnswer(id bronzeflow.ServerID) {
	d.drop(LateAnswer)
	if d.packet.Kind != bronzeflow.Accept || d.partitioned() {
		return
	}
	d.addPacketAction(Cancel, id, LateAnswer)
}

// pinnedReply decides on a packet from the server that the flow is pinned to and
// updates the flow's state.
func (d *decision) pinnedReply(e bronzeflow.Entry) {
	d.reply(e.Server)
	switch d.packet.Kind {
	case bronzeflow.Accept:
		d.updateEcho()
	case bronzeflow.Refuse:
		d.markEnded(bronzeflow.ServerClosed, true)
	case bronzeflow.Close:
		d.markEnded(bronzeflow.ServerClosed, false)
	}
}

// updateEcho records the echo of a further acceptance: a retransmission, or the
// answer to a new opening under the same key.
func (d *decision) updateEcho() {
	echo := d.packet.Echo
	d.table.Update(&d.packet.Key, d.hash, func(e *bronzeflow.Entry) {
		if e.Echo == echo {
			return
		}
		e.Echo = echo
		e.Flags &^= bronzeflow.Confirmed
	})
}

// adoptReply pins an unknown flow to the server that sends data for it. A server
// sends data only on a connection that the caller has confirmed, and owners
// never pass on the acceptances of two servers.
func (d *decision) adoptReply(id bronzeflow.ServerID) {
	d.match() // can't fail: id is in force, so its service is too
	derivable := d.service.derivable(&d.packet.Key, d.hash, id)
	e := d.ownedEntry(id, bronzeflow.Established, derivable)
	e.Flags |= bronzeflow.Confirmed
	if d.table.Put(&d.packet.Key, d.hash, e) {
		d.service.countAdopted(e)
	}
	if v := d.view.Load(); v != nil && v.Unsettled(d.hash, d.Timing.UnsettledPeriod) {
		// The former owner still counts the flow. A query makes it hand the
		// flow over.
		d.query(&attempt{key: d.packet.Key, hash: d.hash})
	}
	d.reply(id)
	if d.packet.Kind == bronzeflow.Close {
		d.markEnded(bronzeflow.ServerClosed, false)
	}
}
