package bronzecore

import (
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// HandleMessage handles a message about flows from the node peer. Messages may be
// lost, doubled and late; each is idempotent.
func (b *Balancer) HandleMessage(m *bronzelink.FlowMessage, peer string, out []Action) []Action {
	b.init()
	d := decision{Balancer: b, now: b.clock(), out: out, set: b.services.Load()}
	switch {
	case m.Learn != nil:
		d.setFlow(&m.Learn.Key)
		d.handleLearn(m.Learn)
	case m.Query != nil:
		d.setFlow(&m.Query.Key)
		d.handleQuery(peer)
	case m.Answer != nil:
		d.setFlow(&m.Answer.Key)
		d.handleAnswer(m.Answer, peer)
	case m.Forget != nil:
		d.setFlow(m.Forget)
		d.handleForget()
	case m.Copies != nil:
		return b.handleCopies(m.Copies, peer, out)
	case m.CopyAcks != nil:
		b.handleCopyAcks(m.CopyAcks)
	}
	return d.out
}

// handleLearn takes in where the owner of a flow has pinned it.
func (d *decision) handleLearn(m *bronzelink.Mapping) {
	if e, ok := d.entry(); ok && e.Flags&bronzeflow.Owned != 0 {
		return
	}
	if m.State != bronzeflow.Established || !d.inForce(m.Server) {
		return
	}
	d.putLearned(bronzeflow.Entry{Server: m.Server, Echo: m.Echo, Flags: m.Flags})
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
	retransmitLearnBytesPerSecond = 1024
	retransmitLearnBurst          = 64 << 10
)

// sendLearn tells a node that relayed the packet where its flow is pinned. An owner whose
// caller sends the same again tells others, also if the packet entered here: its own
// path to the server may be the one that is silent.
func (d *decision) sendLearn(e bronzeflow.Entry, peer string) {
	if e.State != bronzeflow.Established || peer == "" && e.Flags&bronzeflow.Owned == 0 {
		return
	}
	if d.packet.Payload > 0 && d.packet.Sequence != 0 && d.isRetransmission(e) {
		d.sendLearnToPeers(e)
		return
	}
	if peer == "" || d.seconds(d.now)-e.Opened < toSeconds(d.Timing.MinCopyAge) || !d.learnLimiter.AllowN(d.now, learnBytes) {
		return
	}
	m := mapping(d.packet.Key, e)
	d.send(peer, &bronzelink.FlowMessage{Learn: &m})
}

// isRetransmission notes a relayed piece of payload, and reports whether it is the
// same as the last one.
func (d *decision) isRetransmission(e bronzeflow.Entry) bool {
	last := uint16(d.packet.Sequence)
	if e.LastRelayedSequence == last {
		return true
	}
	d.table.Update(&d.packet.Key, d.hash, func(e *bronzeflow.Entry) { e.LastRelayedSequence = last })
	return false
}

// sendLearnToPeers tells other nodes where a flow is pinned whose caller has to send
// the same again: the path from here to the server may have lost track of the
// flow, while the others' paths work. The caller's next try then goes by one
// of those, to the same server.
func (d *decision) sendLearnToPeers(e bronzeflow.Entry) {
	v := d.view.Load()
	if v == nil {
		return
	}
	m := mapping(d.packet.Key, e)
	known := &attempt{hash: d.hash, widened: true}
	for i, name := range known.queryTargets(v) {
		if name == d.Name {
			continue
		}
		if i >= smallFleet || !d.retransmitLimiter.AllowN(d.now, learnBytes) {
			break
		}
		d.send(name, &bronzelink.FlowMessage{Learn: &m})
	}
}

// handleQuery answers a node that owns a flow and doesn't know it.
func (d *decision) handleQuery(peer string) {
	d.lock()
	defer d.shard.mu.Unlock()
	m := d.knownMapping()
	if m.Server != 0 && d.owner(d.view.Load(), d.hash) != d.Name {
		d.handOver()
	}
	d.send(peer, &bronzelink.FlowMessage{Answer: &m})
}

// knownMapping returns what this node knows of the flow.
func (d *decision) knownMapping() bronzelink.Mapping {
	key := d.packet.Key
	if e, ok := d.entry(); ok && d.trusted(e, d.now) {
		return mapping(key, e)
	}
	if a, ok := d.shard.attempts[key]; ok && a.stale.Server != 0 {
		return bronzelink.Mapping{Key: key}
	}
	if id, ok := d.copies.get(d.hash); ok {
		return bronzelink.Mapping{Key: key, Server: id, State: bronzeflow.Established}
	}
	return bronzelink.Mapping{Key: key}
}

// handOver makes the flow another owner's: it is no longer counted here, and a
// pending attempt is no longer retried here, so that only one owner tries.
func (d *decision) handOver() {
	e, ok := d.entry()
	if !ok || e.Flags&bronzeflow.Owned == 0 {
		return
	}
	key := &d.packet.Key
	if a, ok := d.shard.attempts[*key]; ok {
		d.shard.remove(a)
	}
	d.table.Delete(key, d.hash)
	d.uncount(key, e)
	if e.State == bronzeflow.Pending {
		return
	}
	e.Flags &^= bronzeflow.Owned | bronzeflow.Copied | bronzeflow.Exception
	e.Opened = e.Used
	d.table.Put(key, d.hash, e)
}

// sendForget tells all nodes that the flow's key no longer meets the server that
// they may have learned for it.
func (d *decision) sendForget() {
	v := d.view.Load()
	if v == nil {
		return
	}
	key := d.packet.Key
	for name := range v.Members {
		if name == d.Name {
			continue
		}
		d.send(name, &bronzelink.FlowMessage{Forget: &key})
	}
}

func (d *decision) handleForget() {
	if e, ok := d.entry(); ok {
		d.dropLearned(e)
	}
}
