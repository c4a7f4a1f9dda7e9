package bronzecore

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// Message handles a message about flows from the node peer. Messages may be
// lost, doubled and late; each is idempotent.
func (b *Balancer) Message(m *bronzelink.FlowMessage, peer string, out []Action) []Action {
	b.init()
	now := time.Now()
	switch {
	case m.Learn != nil:
		b.learned(m.Learn, now)
	case m.Query != nil:
		return b.queried(m.Query, peer, now, out)
	case m.Answer != nil:
		return b.answered(m.Answer, peer, now, out)
	case m.Forget != nil:
		b.forgotten(m.Forget)
	case m.Copies != nil:
		return b.copied(m.Copies, peer, out)
	case m.CopyAcks != nil:
		b.acknowledged(m.CopyAcks)
	}
	return out
}

// learned takes in where the owner of a flow has pinned it.
func (b *Balancer) learned(m *bronzelink.Mapping, now time.Time) {
	hash := m.Key.Hash()
	e, ok := b.table.Get(&m.Key, hash)
	if ok && e.Flags&bronzeflow.Owned != 0 {
		return
	}
	if m.State != bronzeflow.Established || !b.inForce(m.Server, &m.Key) {
		return
	}
	e = bronzeflow.Entry{Server: m.Server, Echo: m.Echo, Flags: m.Flags}
	b.putLearned(&m.Key, hash, e, now)
}

// putLearned remembers a flow that another node owns.
func (b *Balancer) putLearned(key *bronzeflow.Key, hash uint64, e bronzeflow.Entry, now time.Time) {
	e.Used = b.seconds(now)
	e.Opened = e.Used
	e.State = bronzeflow.Established
	e.Flags &^= bronzeflow.Owned | bronzeflow.Copied | bronzeflow.Exception
	b.table.Put(key, hash, e)
}

// The pace of Learn messages. Almost all is learned from the servers'
// answers, which cost nothing; only flows without answers need messages, and
// only those that live long are worth them.
const (
	learnBytes          = 100
	learnBytesPerSecond = 512
	learnBurst          = 2048
	// The pace of teaching flows whose callers send again. Lost packets are
	// rare, so this is used when paths go silent, and then it is urgent.
	rescueBytesPerSecond = 1024
	rescueBurst          = 64 << 10
)

// teach tells a node that relayed a packet where its flow is pinned.
func (b *Balancer) teach(p *bronzeflow.Packet, e bronzeflow.Entry, peer string, now time.Time, out []Action) []Action {
	if peer == "" || e.State != bronzeflow.Established {
		return out
	}
	if p.Payload > 0 && p.Sequence != 0 && b.repeated(p, e) {
		return b.teachAll(p, e, now, out)
	}
	if b.seconds(now)-e.Opened < toSeconds(b.Timing.CopyAge) || !b.teacher.AllowN(now, learnBytes) {
		return out
	}
	m := mapping(p.Key, e)
	return append(out, Action{Kind: Send, Peer: peer, Message: &bronzelink.FlowMessage{Learn: &m}})
}

// repeated notes a relayed piece of payload, and reports whether it is the
// same as the last one.
func (b *Balancer) repeated(p *bronzeflow.Packet, e bronzeflow.Entry) bool {
	last := uint16(p.Sequence)
	if e.Last == last {
		return true
	}
	b.table.Update(&p.Key, p.Key.Hash(), func(e *bronzeflow.Entry) { e.Last = last })
	return false
}

// teachAll tells other nodes where a flow is pinned whose caller has to send
// the same again: the path from here to the server may have lost track of the
// flow, while the others' paths work. The caller's next try then goes by one
// of those, to the same server.
func (b *Balancer) teachAll(p *bronzeflow.Packet, e bronzeflow.Entry, now time.Time, out []Action) []Action {
	v := b.view.Load()
	if v == nil {
		return out
	}
	m := mapping(p.Key, e)
	for i, name := range b.knowers(v, &attempt{hash: p.Key.Hash(), widened: true}) {
		if name == b.Name {
			continue
		}
		if i >= smallFleet || !b.rescuer.AllowN(now, learnBytes) {
			break
		}
		out = append(out, Action{Kind: Send, Peer: name, Message: &bronzelink.FlowMessage{Learn: &m}})
	}
	return out
}

// queried answers a node that owns a flow and doesn't know it.
func (b *Balancer) queried(q *bronzelink.Query, peer string, now time.Time, out []Action) []Action {
	hash := q.Key.Hash()
	s := b.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := b.known(s, q, hash, now)
	if m.Server != 0 && b.owner(b.view.Load(), hash) != b.Name {
		b.handOver(s, &q.Key, hash)
	}
	return append(out, Action{Kind: Send, Peer: peer, Message: &bronzelink.FlowMessage{Answer: &m}})
}

// known returns what this node knows of a flow.
func (b *Balancer) known(s *attemptShard, q *bronzelink.Query, hash uint64, now time.Time) bronzelink.Mapping {
	e, ok := b.table.Get(&q.Key, hash)
	if ok && b.trusted(e, now) {
		return mapping(q.Key, e)
	}
	if a, ok := s.attempts[q.Key]; ok && a.belief.Server != 0 {
		return bronzelink.Mapping{Key: q.Key}
	}
	if id, ok := b.copies.get(hash); ok {
		return bronzelink.Mapping{Key: q.Key, Server: id, State: bronzeflow.Established}
	}
	return bronzelink.Mapping{Key: q.Key}
}

// handOver makes a flow another owner's: it is no longer counted here, and a
// pending attempt is no longer retried here, so that only one owner tries.
func (b *Balancer) handOver(s *attemptShard, key *bronzeflow.Key, hash uint64) {
	e, ok := b.table.Get(key, hash)
	if !ok || e.Flags&bronzeflow.Owned == 0 {
		return
	}
	if a, ok := s.attempts[*key]; ok {
		s.remove(a)
	}
	b.table.Delete(key, hash)
	b.uncount(key, e)
	if e.State == bronzeflow.Pending {
		return
	}
	e.Flags &^= bronzeflow.Owned | bronzeflow.Copied | bronzeflow.Exception
	e.Opened = e.Used
	b.table.Put(key, hash, e)
}

// forget tells all nodes that a key no longer meets the server that they may
// have learned for it.
func (b *Balancer) forget(key bronzeflow.Key, out []Action) []Action {
	v := b.view.Load()
	if v == nil {
		return out
	}
	for name := range v.Members {
		if name == b.Name {
			continue
		}
		out = append(out, Action{Kind: Send, Peer: name, Message: &bronzelink.FlowMessage{Forget: &key}})
	}
	return out
}

func (b *Balancer) forgotten(key *bronzeflow.Key) {
	hash := key.Hash()
	e, ok := b.table.Get(key, hash)
	if !ok || e.Flags&bronzeflow.Owned != 0 {
		return
	}
	b.table.Delete(key, hash)
}
