package bronzecore

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// FromCaller decides on a packet that the fabric handed over.
func (b *Balancer) FromCaller(p *bronzeflow.Packet, out []Action) []Action {
	return b.fromCaller(p, "", out)
}

// FromPeer decides on a caller's packet that the node peer relayed.
func (b *Balancer) FromPeer(p *bronzeflow.Packet, peer string, out []Action) []Action {
	return b.fromCaller(p, peer, out)
}

func (b *Balancer) fromCaller(p *bronzeflow.Packet, peer string, out []Action) []Action {
	b.init()
	now := time.Now()
	hash := p.Key.Hash()
	if p.Hops&bronzeflow.Noted != 0 {
		b.markEnded(&p.Key, hash, bronzeflow.CallerClosed, p.Kind == bronzeflow.Reset)
		return out
	}
	e, ok := b.table.Get(&p.Key, hash)
	if ok && p.Kind != bronzeflow.Open && b.trusted(e, now) && e.State != bronzeflow.Pending {
		b.touch(&p.Key, hash, e, now)
		return b.pinned(p, hash, e, peer, now, out)
	}
	switch p.Kind {
	case bronzeflow.Open, bronzeflow.Data, bronzeflow.Datagram, bronzeflow.Close, bronzeflow.Reset:
	default:
		return append(out, Action{Kind: Drop, Packet: *p, Reason: InvalidPacket})
	}
	return b.unpinned(p, hash, e, ok, now, out)
}

// touch notes that a flow is in use, once a second at most. An entry that is
// not trusted is never touched, which would make it look trusted.
func (b *Balancer) touch(key *bronzeflow.Key, hash uint64, e bronzeflow.Entry, now time.Time) {
	if s := b.seconds(now); e.Used != s {
		b.table.Touch(key, hash, s)
	}
}

// trusted reports whether an entry may be acted on without asking anyone.
func (b *Balancer) trusted(e bronzeflow.Entry, now time.Time) bool {
	s := b.seconds(now)
	if e.Flags&bronzeflow.Owned != 0 {
		// After a pause another node may have taken the flow over, ended it
		// and placed a new one under the same key. Entries from before the
		// pause are checked once; a caller sees one retransmission.
		return e.Used >= b.woke.Load() && (s-e.Used <= 1 || !b.fenced(b.view.Load(), now))
	}
	// The owner remembers a closed flow for longer than Learned, so a key
	// that is used again can't have moved while this entry was trusted.
	return s-e.Used <= toSeconds(b.Timing.Learned) && s-e.Opened <= toSeconds(b.Timing.Refresh)
}

// pinned forwards a packet of a flow whose server is known.
func (b *Balancer) pinned(p *bronzeflow.Packet, hash uint64, e bronzeflow.Entry, peer string, now time.Time, out []Action) []Action {
	if !b.inForce(e.Server, &p.Key) {
		return b.serverGone(p, hash, out)
	}
	if e.Echo != 0 && e.Flags&bronzeflow.Confirmed == 0 && p.Echo != 0 {
		// During a split two sides may each have had an acceptance sent. The
		// caller took one; its packets would be a half request at the other
		// server. The echo of the server's number tells which one it took.
		if p.Echo-e.Echo >= echoWindow {
			return append(out, Action{Kind: Drop, Packet: *p, Reason: EchoMismatch})
		}
		b.table.Update(&p.Key, hash, func(e *bronzeflow.Entry) { e.Flags |= bronzeflow.Confirmed })
		e.Flags |= bronzeflow.Confirmed
	}
	out = append(out, Action{Kind: Forward, Server: e.Server, Packet: *p})
	if p.Kind == bronzeflow.Close || p.Kind == bronzeflow.Reset {
		b.markEnded(&p.Key, hash, bronzeflow.CallerClosed, p.Kind == bronzeflow.Reset)
		return b.note(p, hash, e, Relay, out)
	}
	return b.teach(p, e, peer, now, out)
}

// echoWindow is how far a caller's first packets may have acknowledged past
// the server's first byte. A wrong server's number falls into it by chance
// once in 4,096 times.
const echoWindow = 1 << 20

func mapping(key bronzeflow.Key, e bronzeflow.Entry) bronzelink.Mapping {
	return bronzelink.Mapping{Key: key, Server: e.Server, State: e.State, Flags: e.Flags, Echo: e.Echo}
}

// serverGone ends a flow whose server is no longer in force. Its address may
// be another Customer's by now, so nothing more is sent there.
func (b *Balancer) serverGone(p *bronzeflow.Packet, hash uint64, out []Action) []Action {
	if e, ok := b.table.Delete(&p.Key, hash); ok {
		b.release(&p.Key, e)
	}
	if p.Kind == bronzeflow.Reset {
		return append(out, Action{Kind: Drop, Packet: *p, Reason: ServerGone})
	}
	return append(out, b.abortion(p, ServerGone))
}

// unpinned decides on a caller's packet whose flow is not known here, or
// whose entry may not be trusted.
func (b *Balancer) unpinned(p *bronzeflow.Packet, hash uint64, e bronzeflow.Entry, known bool, now time.Time, out []Action) []Action {
	svc := b.snapshot.Load().Match(&p.Key)
	if svc == nil {
		return append(out, Action{Kind: Drop, Packet: *p, Reason: NoService})
	}
	v := b.view.Load()
	if b.fenced(v, now) {
		return append(out, Action{Kind: Drop, Packet: *p, Reason: Fenced})
	}
	if owner := b.decider(v, hash, p.Kind); owner != b.Name {
		if known && e.Flags&bronzeflow.Owned == 0 {
			b.table.Delete(&p.Key, hash)
		}
		return b.relay(p, owner, out)
	}
	if v != nil && !v.Ready {
		return append(out, Action{Kind: Drop, Packet: *p, Reason: NotReady})
	}
	return b.own(p, hash, b.services.Load().of(svc), now, out)
}

// decider returns the node that decides on a packet of a flow that is not
// known here.
func (b *Balancer) decider(v *bronzefleet.View, hash uint64, k bronzeflow.Kind) string {
	switch k {
	case bronzeflow.Data, bronzeflow.Close, bronzeflow.Reset:
		return b.keeper(v, hash)
	default:
		return b.owner(v, hash)
	}
}

func (b *Balancer) relay(p *bronzeflow.Packet, owner string, out []Action) []Action {
	if p.Hops >= MaxHops {
		return append(out, Action{Kind: Drop, Packet: *p, Reason: RelayLoop})
	}
	q := *p
	q.Hops++
	return append(out, Action{Kind: Relay, Peer: owner, Packet: q})
}

// note sends the owner a copy of a packet that ended a direction of its flow
// and went straight to its other end. Without it the owner would count the
// flow until it expires, and its server would look busy.
func (b *Balancer) note(p *bronzeflow.Packet, hash uint64, e bronzeflow.Entry, kind ActionKind, out []Action) []Action {
	owner := b.owner(b.view.Load(), hash)
	if e.Flags&bronzeflow.Owned != 0 || owner == b.Name {
		return out
	}
	q := *p
	q.Hops |= bronzeflow.Noted
	return append(out, Action{Kind: kind, Server: e.Server, Peer: owner, Packet: q})
}

// markEnded records an end in the flow's entry. A flow whose both sides have
// closed is Closed, and gives its place at the server back.
func (b *Balancer) markEnded(key *bronzeflow.Key, hash uint64, side bronzeflow.Flags, whole bool) {
	const both = bronzeflow.CallerClosed | bronzeflow.ServerClosed
	var freed bronzeflow.Entry
	b.table.Update(key, hash, func(e *bronzeflow.Entry) {
		e.Flags |= side
		if e.State == bronzeflow.Closed || (!whole && e.Flags&both != both) {
			return
		}
		freed = *e
		e.State = bronzeflow.Closed
	})
	if freed.State != 0 {
		b.release(key, freed)
	}
}

// release gives back what a flow held at its server and in the limits.
func (b *Balancer) release(key *bronzeflow.Key, e bronzeflow.Entry) {
	if e.Flags&bronzeflow.Owned == 0 || e.State == bronzeflow.Closed {
		return
	}
	if e.Flags&bronzeflow.Copied != 0 {
		b.copier.gone(key.Hash(), e.Server)
	}
	b.uncount(key, e)
}

// uncount takes a flow out of the counts of its server and its service.
func (b *Balancer) uncount(key *bronzeflow.Key, e bronzeflow.Entry) {
	svc, _, ok := b.snapshot.Load().Server(e.Server)
	if !ok {
		svc = b.snapshot.Load().Match(key)
	}
	if st := b.services.Load().of(svc); st != nil {
		st.ended(e)
	}
}

// evicted is called by the table when it makes room.
func (b *Balancer) evicted(key bronzeflow.Key, e bronzeflow.Entry) {
	b.release(&key, e)
}

// refusal is the final answer to a caller none of whose payload was
// forwarded. While the fleet is split, the other side may have opened the
// same flow and run requests of it, so no such claim is made.
func (b *Balancer) refusal(p *bronzeflow.Packet, r Reason) Action {
	if b.split() {
		return b.abortion(p, r)
	}
	return Action{Kind: Refuse, Packet: *p, Reason: r, RetryAfter: b.Timing.RetryAfter}
}

// abortion is the final answer without a claim about what ran.
func (b *Balancer) abortion(p *bronzeflow.Packet, r Reason) Action {
	return Action{Kind: Abort, Packet: *p, Reason: r, RetryAfter: b.Timing.RetryAfter}
}

// inForce reports whether server id is in the pool of the service that claims
// the flow's destination. An instance that moved to another service's pool,
// or whose address another Customer uses by now, is not: packets of the flow
// would reach a service that they are not meant for.
func (b *Balancer) inForce(id bronzeflow.ServerID, key *bronzeflow.Key) bool {
	s := b.snapshot.Load()
	svc, _, ok := s.Server(id)
	return ok && svc == s.Match(key)
}
