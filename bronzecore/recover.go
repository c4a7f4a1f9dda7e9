package bronzecore

import (
	"maps"
	"slices"
	"time"

	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// smallFleet is up to how many members all are asked about an unknown flow.
// In a larger one only the flow's former and next owners are.
const smallFleet = 16

// askAgain is after how many times Timing.Query nodes are asked again about a
// flow that is still unknown.
const askAgain = 8

// maxProbes bounds how many servers are asked about one unknown flow.
const maxProbes = 16

// recover starts to find the server of an established flow that this owner
// doesn't know, because the flow's former owner is gone or new here.
func (b *Balancer) recover(s *attemptShard, p *bronzeflow.Packet, hash uint64, now time.Time, out []Action) []Action {
	if id, ok := b.copies.get(hash); ok && b.inForce(id, &p.Key) {
		return b.adopt(p, hash, bronzelink.Mapping{Server: id, State: bronzeflow.Established}, now, out)
	}
	a := b.newAttempt(s, p, hash, now)
	if a == nil {
		return append(out, Action{Kind: Drop, Packet: *p, Reason: Recovering})
	}
	out = b.query(a, now, out)
	if len(a.asked) == 0 {
		return b.probe(s, a, now, out)
	}
	return out
}

// recheck asks the other nodes about a flow whose entry dates from before a
// pause of this process.
func (b *Balancer) recheck(s *attemptShard, p *bronzeflow.Packet, hash uint64, e bronzeflow.Entry, now time.Time, out []Action) []Action {
	a := b.newAttempt(s, p, hash, now)
	if a == nil {
		return append(out, Action{Kind: Drop, Packet: *p, Reason: Recovering})
	}
	a.belief, a.widened = e, true
	out = b.query(a, now, out)
	if len(a.asked) == 0 {
		return b.unanswered(s, a, now, out)
	}
	return out
}

// query asks the nodes that may know the flow.
func (b *Balancer) query(a *attempt, now time.Time, out []Action) []Action {
	a.phase = querying
	a.due = now.Add(b.Timing.Query)
	a.asked = make(map[string]struct{})
	v := b.view.Load()
	if v == nil {
		return out
	}
	for _, name := range b.knowers(v, a) {
		if _, ok := a.asked[name]; ok || name == b.Name {
			continue
		}
		a.asked[name] = struct{}{}
		q := &bronzelink.Query{Key: a.key, Open: a.isOpen()}
		out = append(out, Action{Kind: Send, Peer: name, Message: &bronzelink.FlowMessage{Query: q}})
	}
	return out
}

// formerQueries is how many former owners are asked at first.
const formerQueries = 2

// knowers returns the nodes that may know the flow of an attempt. An opening
// that is not established is known to the flow's former owner alone. So is
// nearly every established flow after a planned change; if it isn't, those are
// asked that may have learned it: in a large fleet the next in the flow's order
// and the former owners, in a small one all.
func (b *Balancer) knowers(v *bronzefleet.View, a *attempt) []string {
	former, n := v.Previous(a.hash)
	if a.isOpen() || !a.widened && n > 0 {
		return former[:min(n, formerQueries)]
	}
	if len(v.Members) <= smallFleet {
		return slices.Collect(maps.Keys(v.Members))
	}
	order, m := v.Order(a.hash)
	return append(former[:n:n], order[:m]...)
}

// adopt pins a flow to the server that somebody knows it to be at, and
// forwards the packet that waited.
func (b *Balancer) adopt(p *bronzeflow.Packet, hash uint64, m bronzelink.Mapping, now time.Time, out []Action) []Action {
	st := b.services.Load().of(b.snapshot.Load().Match(&p.Key))
	if st == nil || !b.inForce(m.Server, &p.Key) {
		return append(out, b.abortion(p, ServerGone))
	}
	e := bronzeflow.Entry{
		Server: m.Server,
		Used:   b.seconds(now),
		Opened: b.seconds(now),
		Echo:   m.Echo,
		State:  m.State,
		Flags:  bronzeflow.Owned | m.Flags&(bronzeflow.Confirmed|bronzeflow.CallerClosed|bronzeflow.ServerClosed|bronzeflow.Committed),
	}
	if !b.derivable(st, &p.Key, hash, m.Server) {
		e.Flags |= bronzeflow.Exception
	}
	if b.owner(b.view.Load(), hash) != b.Name {
		// Found in place of an owner that may be alive, which counts it.
		b.putLearned(&p.Key, hash, e, now)
		return b.pinned(p, hash, e, "", now, out)
	}
	b.replace(&p.Key, hash)
	if !b.table.Put(&p.Key, hash, e) {
		return append(out, Action{Kind: Drop, Packet: *p, Reason: TableFull})
	}
	if e.State != bronzeflow.Closed {
		st.adopted(e)
		if e.Flags&bronzeflow.Exception != 0 {
			b.copier.add(p.Key, hash, e.Opened)
		}
	}
	return b.pinned(p, hash, e, "", now, out)
}

// replace drops an older entry of a flow with all it holds.
func (b *Balancer) replace(key *bronzeflow.Key, hash uint64) {
	if e, ok := b.table.Delete(key, hash); ok {
		b.release(key, e)
	}
}

// answered takes in what the node peer knows of an attempt's flow.
func (b *Balancer) answered(m *bronzelink.Mapping, peer string, now time.Time, out []Action) []Action {
	hash := m.Key.Hash()
	s := b.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.attempts[m.Key]
	if !ok || a.phase == opening {
		return out
	}
	delete(a.asked, peer)
	if m.Server != 0 && (a.phase == querying || m.State == bronzeflow.Established) {
		return b.found(s, a, *m, now, out)
	}
	if a.phase != querying || len(a.asked) > 0 {
		return out
	}
	return b.unanswered(s, a, now, out)
}

// found ends an attempt's queries: the flow is at a server.
func (b *Balancer) found(s *attemptShard, a *attempt, m bronzelink.Mapping, now time.Time, out []Action) []Action {
	st := b.services.Load().of(b.snapshot.Load().Match(&a.key))
	switch {
	case st == nil:
		s.remove(a)
		return append(out, Action{Kind: Drop, Packet: a.held, Reason: NoService})
	case m.State != bronzeflow.Pending:
		s.remove(a)
		if a.isOpen() && a.held.Kind == bronzeflow.Open && m.State == bronzeflow.Closed {
			return b.place(s, st, b.newAttempt(s, &a.held, a.hash, now), b.usable(st, m.Server), now, out)
		}
		return b.adopt(&a.held, a.hash, m, now, out)
	case a.held.Kind == bronzeflow.Open:
		// The former owner had sent the opening to a server. That goes on.
		return b.place(s, st, a, b.usable(st, m.Server), now, out)
	default:
		// Data of a flow that was pending a moment ago: its server tells.
		return b.probe(s, a, now, out)
	}
}

// usable returns id if the server may take new work, otherwise 0.
func (b *Balancer) usable(st *service, id bronzeflow.ServerID) bronzeflow.ServerID {
	if st.pool.Available(id) {
		return id
	}
	return 0
}

// unanswered goes on when no node knows the flow of an attempt.
func (b *Balancer) unanswered(s *attemptShard, a *attempt, now time.Time, out []Action) []Action {
	st := b.services.Load().of(b.snapshot.Load().Match(&a.key))
	switch {
	case st == nil:
		s.remove(a)
		return append(out, Action{Kind: Drop, Packet: a.held, Reason: NoService})
	case a.belief.Server != 0:
		s.remove(a)
		return b.adopt(&a.held, a.hash, mapping(a.key, a.belief), now, out)
	case a.isOpen():
		return b.place(s, st, a, 0, now, out)
	case !a.widened:
		a.widened = true
		out = b.query(a, now, out)
		if len(a.asked) > 0 {
			return out
		}
	}
	return b.probe(s, a, now, out)
}

// probe asks further candidates whether they know the flow: first the one
// that it most likely is at, then the others together. A server without the
// connection answers a probe with a reset and runs nothing.
func (b *Balancer) probe(s *attemptShard, a *attempt, now time.Time, out []Action) []Action {
	st := b.services.Load().of(b.snapshot.Load().Match(&a.key))
	if st == nil {
		s.remove(a)
		return append(out, Action{Kind: Drop, Packet: a.held, Reason: NoService})
	}
	a.phase = probing
	a.due = now.Add(b.Timing.Probe)
	n := 1
	if len(a.tried) > 0 {
		n = maxProbes
	}
	var buf [maxProbes]bronzeflow.ServerID
	sent := false
	for _, id := range st.pool.Candidates(a.hash, n, buf[:0]) {
		if a.wasTried(id) {
			continue
		}
		a.tried = append(a.tried, id)
		out = append(out, Action{Kind: Probe, Server: id, Packet: a.held})
		sent = true
	}
	switch {
	case sent:
	case a.refused >= len(a.tried):
		return b.unknown(s, a, out)
	default:
		// A server that was asked is silent: it may be the one, or its answer
		// entered by a node that has learned the flow, and went on to the
		// caller. Such a node can tell.
		tried := a.tried
		out = b.query(a, now, out)
		a.phase, a.tried = probing, tried
		a.due = now.Add(askAgain * b.Timing.Query)
	}
	return out
}

// unknown ends the flow of an attempt that nobody knows. While the fleet is
// split the other side may know it, and it may go on there or after the heal:
// then its packets are dropped, and its caller's timeout ends it.
func (b *Balancer) unknown(s *attemptShard, a *attempt, out []Action) []Action {
	s.remove(a)
	if a.disputed || b.split() {
		return append(out, Action{Kind: Drop, Packet: a.held, Reason: UnknownFlow})
	}
	return append(out, b.abortion(&a.held, UnknownFlow))
}

// probed takes in a server's packet while its flow is being looked for.
func (b *Balancer) probed(s *attemptShard, a *attempt, p *bronzeflow.Packet, id bronzeflow.ServerID, now time.Time, out []Action) []Action {
	if p.Kind == bronzeflow.Refuse {
		a.refused++
		out = append(out, Action{Kind: Drop, Packet: *p, Reason: Recovering})
		if a.refused >= len(a.tried) {
			return b.probe(s, a, now, out)
		}
		return out
	}
	s.remove(a)
	m := bronzelink.Mapping{Server: id, State: bronzeflow.Established, Flags: bronzeflow.Confirmed}
	out = b.adopt(&a.held, a.hash, m, now, out)
	if p.Payload == 0 && p.Kind == bronzeflow.Data {
		return append(out, Action{Kind: Drop, Packet: *p, Reason: Recovering})
	}
	return append(out, Action{Kind: Reply, Server: id, Packet: *p})
}
