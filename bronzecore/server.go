package bronzecore

import (
	"slices"
	"time"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// FromServer decides on a packet that came from the backend server whose
// tunnel endpoint has one of the given identifiers (one address may serve
// several services of a Customer).
func (b *Balancer) FromServer(p *bronzeflow.Packet, ids []bronzeflow.ServerID, out []Action) []Action {
	for _, id := range ids {
		if b.inForce(id, &p.Key) {
			return b.fromServer(p, id, out)
		}
	}
	return append(out, Action{Kind: Drop, Packet: *p, Reason: ForeignServer})
}

// ReplyFromPeer decides on a packet of server id that another node relayed.
func (b *Balancer) ReplyFromPeer(p *bronzeflow.Packet, id bronzeflow.ServerID, out []Action) []Action {
	if !b.inForce(id, &p.Key) {
		return append(out, Action{Kind: Drop, Packet: *p, Reason: ForeignServer})
	}
	return b.fromServer(p, id, out)
}

func (b *Balancer) fromServer(p *bronzeflow.Packet, id bronzeflow.ServerID, out []Action) []Action {
	b.init()
	now := time.Now()
	hash := p.Key.Hash()
	if p.Hops&bronzeflow.Noted != 0 {
		b.markEnded(&p.Key, hash, bronzeflow.ServerClosed, false)
		return out
	}
	e, ok := b.table.Get(&p.Key, hash)
	if ok && e.Server == id && e.State != bronzeflow.Pending && b.trusted(e, now) {
		b.touch(&p.Key, hash, e, now)
		switch p.Kind {
		case bronzeflow.Data, bronzeflow.Datagram:
			return append(out, Action{Kind: Reply, Server: id, Packet: *p})
		case bronzeflow.Close:
			b.markEnded(&p.Key, hash, bronzeflow.ServerClosed, false)
			out = append(out, Action{Kind: Reply, Server: id, Packet: *p})
			return b.note(p, hash, e, RelayReply, out)
		}
	}
	switch p.Kind {
	case bronzeflow.Data, bronzeflow.Datagram, bronzeflow.Close, bronzeflow.Accept, bronzeflow.Refuse:
	default:
		return append(out, Action{Kind: Drop, Packet: *p, Reason: InvalidPacket})
	}
	// All that changes a flow's state, or doesn't fit what is known here, is
	// the owner's to decide.
	v := b.view.Load()
	if owner := b.decider(v, hash, p.Kind); owner != b.Name {
		return b.elsewhere(p, hash, id, e, ok, owner, now, out)
	}
	if b.fenced(v, now) {
		return append(out, Action{Kind: Drop, Packet: *p, Reason: Fenced})
	}
	s := b.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	return b.ownReply(s, p, hash, id, now, out)
}

// elsewhere decides on a server's packet of a flow that another node owns.
func (b *Balancer) elsewhere(p *bronzeflow.Packet, hash uint64, id bronzeflow.ServerID, e bronzeflow.Entry, known bool, owner string, now time.Time, out []Action) []Action {
	if known && e.Flags&bronzeflow.Owned == 0 {
		// Two servers claim the flow, or the entry is old: the owner tells.
		b.table.Delete(&p.Key, hash)
	}
	if known || !b.teaches(p) {
		return b.relayReply(p, id, owner, out)
	}
	b.putLearned(&p.Key, hash, bronzeflow.Entry{Server: id, Flags: bronzeflow.Confirmed}, now)
	return append(out, Action{Kind: Reply, Server: id, Packet: *p})
}

// teaches reports whether a server's packet shows by itself that its flow is
// pinned there. A server sends data only on a connection that the caller has
// confirmed, and owners let one acceptance through. An opening that carried
// its request may have been given up after the server got it, though, where
// the service's requests are idempotent: then only the owner knows. Data
// without payload may be the answer to an owner's probe. If it taught the node
// that it happens to enter by, the owner would wait for it in vain and end the
// flow.
func (b *Balancer) teaches(p *bronzeflow.Packet) bool {
	if p.Payload == 0 || p.Kind != bronzeflow.Data && p.Kind != bronzeflow.Datagram {
		return false
	}
	svc := b.snapshot.Load().Match(&p.Key)
	return svc != nil && !svc.Retry.Idempotent
}

func (b *Balancer) relayReply(p *bronzeflow.Packet, id bronzeflow.ServerID, owner string, out []Action) []Action {
	if p.Hops >= MaxHops {
		return append(out, Action{Kind: Drop, Packet: *p, Reason: RelayLoop})
	}
	q := *p
	q.Hops++
	return append(out, Action{Kind: RelayReply, Server: id, Peer: owner, Packet: q})
}

// ownReply decides, as the flow's owner, on a server's packet.
func (b *Balancer) ownReply(s *attemptShard, p *bronzeflow.Packet, hash uint64, id bronzeflow.ServerID, now time.Time, out []Action) []Action {
	if a, ok := s.attempts[p.Key]; ok {
		return b.attemptReply(s, a, p, id, now, out)
	}
	e, ok := b.table.Get(&p.Key, hash)
	switch {
	case ok && e.Server == id:
		return b.pinnedReply(p, hash, e, out)
	case ok:
		return b.late(p, id, out)
	case p.Kind == bronzeflow.Data || p.Kind == bronzeflow.Close || p.Kind == bronzeflow.Datagram:
		return b.adoptReply(p, hash, id, now, out)
	default:
		// An acceptance that nobody waits for is not let through: the caller
		// asks again, and its server answers again. A refusal says nothing
		// about a flow that may be at another server.
		return append(out, Action{Kind: Drop, Packet: *p, Reason: UnknownFlow})
	}
}

// attemptReply decides on a server's packet for a flow with an attempt.
func (b *Balancer) attemptReply(s *attemptShard, a *attempt, p *bronzeflow.Packet, id bronzeflow.ServerID, now time.Time, out []Action) []Action {
	switch {
	case a.phase == probing && slices.Contains(a.tried, id):
		return b.probed(s, a, p, id, now, out)
	case a.phase != opening:
		return append(out, Action{Kind: Drop, Packet: *p, Reason: Recovering})
	case a.wasTried(id) && id != a.server():
		return b.late(p, id, out)
	case id != a.server() && p.Kind == bronzeflow.Data:
		// While the fleet is split, the other side has opened this flow at
		// another server, and the caller is using it.
		b.abandon(s, a)
		return b.adoptReply(p, a.hash, id, now, out)
	case id != a.server():
		return append(out, Action{Kind: Drop, Packet: *p, Reason: LateAnswer})
	}
	st := b.services.Load().of(b.snapshot.Load().Match(&p.Key))
	if st == nil {
		s.remove(a)
		return append(out, Action{Kind: Drop, Packet: *p, Reason: NoService})
	}
	if p.Kind == bronzeflow.Refuse {
		st.pool.Refused(id, false)
		return b.retry(s, st, a, ServerRefused, now, out)
	}
	return b.accept(s, st, a, p, now, out)
}

// accept establishes a flow: its server has answered the opening.
func (b *Balancer) accept(s *attemptShard, st *service, a *attempt, p *bronzeflow.Packet, now time.Time, out []Action) []Action {
	s.remove(a)
	st.pool.Accepted(a.server(), now.Sub(a.started))
	var e bronzeflow.Entry
	b.table.Update(&a.key, a.hash, func(x *bronzeflow.Entry) {
		x.State = bronzeflow.Established
		if p.Kind == bronzeflow.Accept {
			x.Echo = p.Echo
		} else {
			x.Flags |= bronzeflow.Confirmed
		}
		e = *x
	})
	b.established(st, a, e)
	return append(out, Action{Kind: Reply, Server: a.server(), Packet: *p})
}

// late discards an answer of an attempt that was given up. Its server was told
// so when it was given up; an acceptance shows that it has not heard, and it
// is told again. While the fleet is split the connection may be the one that
// the other side has given the caller, so it is left alone.
func (b *Balancer) late(p *bronzeflow.Packet, id bronzeflow.ServerID, out []Action) []Action {
	out = append(out, Action{Kind: Drop, Packet: *p, Reason: LateAnswer})
	if p.Kind != bronzeflow.Accept || b.split() {
		return out
	}
	return append(out, Action{Kind: Cancel, Server: id, Packet: *p, Reason: LateAnswer})
}

// pinnedReply decides on a packet of a flow's own server that changes the
// flow's state.
func (b *Balancer) pinnedReply(p *bronzeflow.Packet, hash uint64, e bronzeflow.Entry, out []Action) []Action {
	out = append(out, Action{Kind: Reply, Server: e.Server, Packet: *p})
	switch p.Kind {
	case bronzeflow.Accept:
		b.reaccepted(p, hash)
	case bronzeflow.Refuse:
		b.markEnded(&p.Key, hash, bronzeflow.ServerClosed, true)
	case bronzeflow.Close:
		b.markEnded(&p.Key, hash, bronzeflow.ServerClosed, false)
	}
	return out
}

// reaccepted notes a further acceptance: a retransmission, or the answer to a
// new opening under the same key.
func (b *Balancer) reaccepted(p *bronzeflow.Packet, hash uint64) {
	b.table.Update(&p.Key, hash, func(e *bronzeflow.Entry) {
		if e.Echo == p.Echo {
			return
		}
		e.Echo = p.Echo
		e.Flags &^= bronzeflow.Confirmed
	})
}

// adoptReply pins an unknown flow to the server that sends it data: a server
// does so only on a connection that the caller has confirmed, and the owners
// let no two servers' acceptances through.
func (b *Balancer) adoptReply(p *bronzeflow.Packet, hash uint64, id bronzeflow.ServerID, now time.Time, out []Action) []Action {
	st := b.services.Load().of(b.snapshot.Load().Match(&p.Key))
	e := bronzeflow.Entry{
		Server: id,
		Used:   b.seconds(now),
		Opened: b.seconds(now),
		State:  bronzeflow.Established,
		Flags:  bronzeflow.Owned | bronzeflow.Confirmed,
	}
	if !b.derivable(st, &p.Key, hash, id) {
		e.Flags |= bronzeflow.Exception
	}
	if b.table.Put(&p.Key, hash, e) {
		st.adopted(e)
	}
	if v := b.view.Load(); v != nil && v.Unsettled(hash, b.Timing.Unsettled) {
		// The former owner still counts the flow; a query hands it over.
		out = b.query(&attempt{key: p.Key, hash: hash}, now, out)
	}
	out = append(out, Action{Kind: Reply, Server: id, Packet: *p})
	if p.Kind == bronzeflow.Close {
		b.markEnded(&p.Key, hash, bronzeflow.ServerClosed, false)
	}
	return out
}
