package bronzecore

import (
	"slices"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// FromServer decides on a packet that came from the backend server whose
// tunnel endpoint has one of the given identifiers (one address may serve
// several services of a Customer).
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

// ReplyFromPeer decides on a packet of server id that another node relayed.
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

// fromServer decides on a packet of server id, which is in force.
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
	// All that changes a flow's state, or doesn't fit what is known here, is
	// the owner's to decide.
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

// replyDirect passes a packet of a flow's own server on to the caller if that
// doesn't take the owner, and reports whether it did.
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
		// Two servers claim the flow, or the entry is old: the owner tells.
		d.dropLearned(e)
	}
	if known || !d.provesPinning() {
		d.relay(RelayReply, id, owner)
		return
	}
	d.putLearned(bronzeflow.Entry{Server: id, Flags: bronzeflow.Confirmed})
	d.reply(id)
}

// provesPinning reports whether a server's packet shows by itself that its flow is
// pinned there. A server sends data only on a connection that the caller has
// confirmed, and owners let one acceptance through. An opening that carried
// its request may have been given up after the server got it, though, where
// the service's requests are idempotent: then only the owner knows. Data
// without payload may be the answer to an owner's probe. If it taught the node
// that it happens to enter by, the owner would wait for it in vain and end the
// flow.
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
		// An acceptance that nobody waits for is not let through: the caller
		// asks again, and its server answers again. A refusal says nothing
		// about a flow that may be at another server.
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
		// While the fleet is split, the other side has opened this flow at
		// another server, and the caller is using it.
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

// dropLateAnswer discards an answer of an attempt that was given up. Its server was told
// so when it was given up; an acceptance shows that it has not heard, and it
// is told again. While the fleet is split the connection may be the one that
// the other side has given the caller, so it is left alone.
func (d *decision) dropLateAnswer(id bronzeflow.ServerID) {
	d.drop(LateAnswer)
	if d.packet.Kind != bronzeflow.Accept || d.partitioned() {
		return
	}
	d.addPacketAction(Cancel, id, LateAnswer)
}

// pinnedReply decides on a packet of a flow's own server that changes the
// flow's state.
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

// updateEcho notes a further acceptance: a retransmission, or the answer to a
// new opening under the same key.
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

// adoptReply pins an unknown flow to the server that sends it data: a server
// does so only on a connection that the caller has confirmed, and the owners
// let no two servers' acceptances through.
func (d *decision) adoptReply(id bronzeflow.ServerID) {
	d.match() // id is in force, so its service is
	derivable := d.service.derivable(&d.packet.Key, d.hash, id)
	e := d.ownedEntry(id, bronzeflow.Established, derivable)
	e.Flags |= bronzeflow.Confirmed
	if d.table.Put(&d.packet.Key, d.hash, e) {
		d.service.countAdopted(e)
	}
	if v := d.view.Load(); v != nil && v.Unsettled(d.hash, d.Timing.UnsettledPeriod) {
		// The former owner still counts the flow; a query hands it over.
		d.query(&attempt{key: d.packet.Key, hash: d.hash})
	}
	d.reply(id)
	if d.packet.Kind == bronzeflow.Close {
		d.markEnded(bronzeflow.ServerClosed, false)
	}
}
