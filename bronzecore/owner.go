package bronzecore

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// own decides, as the flow's owner, on a caller's packet that no trusted
// entry answers.
func (b *Balancer) own(p *bronzeflow.Packet, hash uint64, st *service, now time.Time, out []Action) []Action {
	s := b.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, ok := s.attempts[p.Key]; ok {
		if a.phase != opening || b.inForce(a.server(), &p.Key) {
			return b.again(s, a, p, now, out)
		}
		out = b.withdraw(s, a, out)
	}
	e, known := b.table.Get(&p.Key, hash)
	switch {
	case known && e.Flags&bronzeflow.Owned != 0 && !b.trusted(e, now):
		return b.recheck(s, p, hash, e, now, out)
	case known && e.State != bronzeflow.Pending && b.trusted(e, now):
		return b.reopen(s, st, p, hash, e, now, out)
	case p.Kind == bronzeflow.Open || p.Kind == bronzeflow.Datagram:
		return b.open(s, st, p, hash, now, out)
	case p.Kind == bronzeflow.Reset:
		return b.cancelUnknown(st, p, hash, out)
	default:
		return b.recover(s, p, hash, now, out)
	}
}

// again handles another packet of a flow that has an attempt.
func (b *Balancer) again(s *attemptShard, a *attempt, p *bronzeflow.Packet, now time.Time, out []Action) []Action {
	switch {
	case p.Kind == bronzeflow.Reset || (p.Kind == bronzeflow.Close && a.phase == opening):
		return b.callerGone(s, a, p, out)
	case a.phase != opening:
		if a.isOpen() == (p.Kind == bronzeflow.Open || p.Kind == bronzeflow.Datagram) {
			a.hold(p)
		}
		return append(out, Action{Kind: Drop, Packet: *p, Reason: Recovering})
	case p.Kind == bronzeflow.Open:
		// The caller retransmits: the same server gets the same opening.
		a.hold(p)
		a.committed = a.committed || p.Payload > 0
		return append(out, Action{Kind: Forward, Server: a.server(), Packet: *p})
	default:
		// Data can't precede the acceptance that this owner has not seen. A
		// former owner let one through; the opening was a late duplicate.
		b.abandon(s, a)
		return b.recover(s, p, a.hash, now, out)
	}
}

// withdraw ends an attempt whose server is out of force, or whose service no
// longer has the flow's destination: its opening must reach nobody now.
func (b *Balancer) withdraw(s *attemptShard, a *attempt, out []Action) []Action {
	out = append(out, Action{Kind: Cancel, Server: a.server(), Packet: a.held, Reason: ServerGone})
	b.abandon(s, a)
	return out
}

// callerGone ends an attempt whose caller has given up.
func (b *Balancer) callerGone(s *attemptShard, a *attempt, p *bronzeflow.Packet, out []Action) []Action {
	if a.phase == opening {
		out = append(out, Action{Kind: Forward, Server: a.server(), Packet: *p, Reason: CallerGone})
	} else {
		out = append(out, Action{Kind: Drop, Packet: *p, Reason: CallerGone})
	}
	b.abandon(s, a)
	return out
}

// abandon forgets an attempt and what it holds.
func (b *Balancer) abandon(s *attemptShard, a *attempt) {
	s.remove(a)
	e, ok := b.table.Get(&a.key, a.hash)
	if !ok || e.State != bronzeflow.Pending {
		return
	}
	b.table.Delete(&a.key, a.hash)
	b.release(&a.key, e)
}

// reopen handles a packet of a flow that the owner has a trusted entry of:
// an Open, whose key is in use or was until lately.
func (b *Balancer) reopen(s *attemptShard, st *service, p *bronzeflow.Packet, hash uint64, e bronzeflow.Entry, now time.Time, out []Action) []Action {
	if !b.inForce(e.Server, &p.Key) {
		return b.serverGone(p, hash, out)
	}
	if e.State != bronzeflow.Closed {
		// A late duplicate, or a caller that restarted: its server tells.
		return append(out, Action{Kind: Forward, Server: e.Server, Packet: *p})
	}
	a := b.newAttempt(s, p, hash, now)
	if a == nil {
		return append(out, b.refusal(p, HalfOpenLimit))
	}
	b.table.Delete(&p.Key, hash)
	if st.pool.Available(e.Server) {
		return b.place(s, st, a, e.Server, now, out)
	}
	// The key moves to another server while other nodes may have learned
	// the old one; they are told before they could forward to it.
	out = b.forget(p.Key, out)
	return b.place(s, st, a, 0, now, out)
}

// open starts to place a new flow.
func (b *Balancer) open(s *attemptShard, st *service, p *bronzeflow.Packet, hash uint64, now time.Time, out []Action) []Action {
	if b.leaving.Load() {
		return append(out, Action{Kind: Drop, Packet: *p, Reason: Draining})
	}
	a := b.newAttempt(s, p, hash, now)
	if a == nil {
		return append(out, b.refusal(p, HalfOpenLimit))
	}
	id, copied := b.copies.get(hash)
	if copied && p.Kind == bronzeflow.Datagram && b.inForce(id, &p.Key) {
		s.remove(a)
		return b.adopt(p, hash, bronzelink.Mapping{Server: id, State: bronzeflow.Established}, now, out)
	}
	if copied && b.usable(st, id) != 0 {
		return b.place(s, st, a, id, now, out)
	}
	v := b.view.Load()
	if v == nil || !v.Unsettled(hash, b.Timing.Unsettled) {
		return b.place(s, st, a, 0, now, out)
	}
	// The former owner may have placed this flow a moment ago. Placing it
	// again without asking could open it at two servers.
	out = b.query(a, now, out)
	if len(a.asked) == 0 {
		return b.place(s, st, a, 0, now, out)
	}
	return out
}

func (b *Balancer) newAttempt(s *attemptShard, p *bronzeflow.Packet, hash uint64, now time.Time) *attempt {
	a := s.add(p, hash, now)
	if a != nil {
		a.deadline = now.Add(b.Timing.Recover)
		a.disputed = b.split()
	}
	return a
}

// place admits the flow of an attempt and sends its opening to a server:
// to prefer if that is not 0, otherwise to the pool's choice.
func (b *Balancer) place(s *attemptShard, st *service, a *attempt, prefer bronzeflow.ServerID, now time.Time, out []Action) []Action {
	if r := st.admit(); r != None {
		s.remove(a)
		return append(out, b.refusal(&a.held, r))
	}
	st.budget.Open()
	a.disputed = a.disputed || b.split()
	a.deadline = a.started.Add(openDeadline(st))
	return b.attempt(s, st, a, prefer, None, now, out)
}

func openDeadline(st *service) time.Duration {
	if st.conf.OpenDeadline > 0 {
		return st.conf.OpenDeadline
	}
	return bronzeconf.DefaultOpenDeadline
}

// attempt sends the opening to the next server. The flow is admitted.
func (b *Balancer) attempt(s *attemptShard, st *service, a *attempt, prefer bronzeflow.ServerID, why Reason, now time.Time, out []Action) []Action {
	id, first := prefer, false
	if prefer != 0 {
		first = b.derivable(st, &a.key, a.hash, prefer)
	} else {
		// A flow of datagrams can't be told from a new one where it isn't
		// known, so it goes where any node computes it to be.
		plain := b.split() || a.held.Kind == bronzeflow.Datagram
		var ok bool
		id, first, ok = st.pool.Choose(a.hash, a.tried, plain)
		if !ok {
			return b.giveUp(s, st, a, firstReason(why, NoServer), out)
		}
	}
	e := bronzeflow.Entry{
		Server: id,
		Used:   b.seconds(now),
		Opened: b.seconds(now),
		State:  bronzeflow.Pending,
		Flags:  bronzeflow.Owned,
	}
	if !first {
		e.Flags |= bronzeflow.Exception
	}
	a.tried = append(a.tried, id)
	a.phase = opening
	a.due = now.Add(b.Timing.Attempt)
	a.committed = a.held.Payload > 0
	datagram := a.held.Kind == bronzeflow.Datagram
	if datagram {
		// A datagram is payload: it commits its flow at once.
		e.State = bronzeflow.Established
		e.Flags |= bronzeflow.Committed
	}
	if !b.table.Put(&a.key, a.hash, e) {
		return b.giveUp(s, st, a, TableFull, out)
	}
	st.pool.Opened(id)
	out = append(out, Action{Kind: Forward, Server: id, Packet: a.held, Reason: why})
	if datagram {
		b.established(st, a, e)
		s.remove(a)
	}
	return out
}

func firstReason(a, b Reason) Reason {
	if a != None {
		return a
	}
	return b
}

// split reports whether another side may be placing the same flows.
func (b *Balancer) split() bool {
	v := b.view.Load()
	return v != nil && v.Split
}

// derivable reports whether any node can compute that the flow is at server
// id. A flow of datagrams can't be asked for at its server: if that is leaving,
// a node that doesn't know the flow would take it for a new one.
func (b *Balancer) derivable(st *service, key *bronzeflow.Key, hash uint64, id bronzeflow.ServerID) bool {
	var buf [1]bronzeflow.ServerID
	c := st.pool.Candidates(hash, 1, buf[:0])
	if len(c) != 1 || c[0] != id {
		return false
	}
	return key.Protocol != bronzeflow.UDP || st.pool.Available(id)
}

// established counts a flow that a server has taken.
func (b *Balancer) established(st *service, a *attempt, e bronzeflow.Entry) {
	st.account.Established()
	if e.Flags&bronzeflow.Exception != 0 {
		b.copier.add(a.key, a.hash, e.Opened)
	}
}

// retry tries the next server after the current one refused or stayed
// silent, if the budget and the deadline allow. Until here no payload was
// forwarded, or the service's requests are idempotent.
func (b *Balancer) retry(s *attemptShard, st *service, a *attempt, why Reason, now time.Time, out []Action) []Action {
	b.unplace(st, a)
	switch {
	case a.committed && !st.conf.Retry.Idempotent:
		return b.giveUp(s, st, a, why, out)
	case !now.Before(a.deadline):
		return b.giveUp(s, st, a, OpenDeadline, out)
	case len(a.tried) >= st.conf.Retry.Attempts:
		return b.giveUp(s, st, a, why, out)
	case !st.budget.TryRetry():
		return b.giveUp(s, st, a, RetryBudget, out)
	}
	return b.attempt(s, st, a, 0, why, now, out)
}

// unplace takes the current server's entry of an attempt back.
func (b *Balancer) unplace(st *service, a *attempt) {
	if _, ok := b.table.Delete(&a.key, a.hash); ok {
		st.pool.Ended(a.server())
	}
}

// giveUp gives the caller its final answer at once. Its attempt holds no
// entry any more.
func (b *Balancer) giveUp(s *attemptShard, st *service, a *attempt, r Reason, out []Action) []Action {
	s.remove(a)
	st.account.Ended(false)
	return append(out, b.final(a, r))
}

// final is the answer to the caller of an attempt. If something of it may have
// run, no claim is made.
func (b *Balancer) final(a *attempt, r Reason) Action {
	if a.committed || a.disputed {
		return b.abortion(&a.held, r)
	}
	return b.refusal(&a.held, r)
}

// cancelUnknown passes a caller's reset of an unknown flow on as well as it
// can. A reset runs nothing, also at a server that doesn't know the flow.
func (b *Balancer) cancelUnknown(st *service, p *bronzeflow.Packet, hash uint64, out []Action) []Action {
	id, ok := b.copies.get(hash)
	if !ok {
		var buf [1]bronzeflow.ServerID
		c := st.pool.Candidates(hash, 1, buf[:0])
		if len(c) == 0 {
			return append(out, Action{Kind: Drop, Packet: *p, Reason: UnknownFlow})
		}
		id = c[0]
	}
	return append(out, Action{Kind: Forward, Server: id, Packet: *p, Reason: UnknownFlow})
}
