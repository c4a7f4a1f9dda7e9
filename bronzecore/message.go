package bronzecore

import (
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// HandleMessage handles a message about flows from the node peer. Messages may
// be lost, duplicated or delayed; handling one is idempotent.
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
		b.handleCopyAcks(m.CopyAcks, peer)
	}
	return d.out
}

// handleLearn stores the mapping that a flow's owner sent. It ignores mappings
// of flows that this node owns or that are not established, and those whose
// server is not in force.
func (d *decision) handleLearn(m *bronzelink.Mapping) {
	if e, ok := d.entry(); ok && e.Flags&bronzeflow.Owned != 0 {
		return
	}
	if m.State != bronzeflow.Established || !d.inForce(m.Server) {
		return
	}
	d.putLearned(bronzeflow.Entry{Server: m.Server, Echo: m.Echo, Flags: m.Flags})
}

// The rate limits of Learn messages. Nodes learn nearly all mappings from the
// servers' answers, which cost nothing extra. Only flows without answers need
// messages, and only long-lived ones are worth the bytes.
const (
	learnBytes          = 100
	learnBytesPerSecond = 512
	learnBurst          = 2048
	// The rate limit of Learn messages for flows whose callers retransmit.
	// Lost packets are rare, so the limit matters when paths go silent, and
	// then the messages are urgent.
	retransmitLearnBytesPerSecond = 1024
	retransmitLearnBurst          = 64 << 10
)

// sendLearn sends the flow's mapping to the node that relayed the packet. If
// the caller retransmits, the mapping is sent to further nodes, for a flow that
// this node owns even if the packet was not relayed: this node's own path to
// the server may be the silent one.
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

// isRetransmission records the sequence number of the packet's payload and
// reports whether it equals the previous one.
func (d *decision) isRetransmission(e bronzeflow.Entry) bool {
	last := uint16(d.packet.Sequence)
	if e.LastRelayedSequence == last {
		return true
	}
	d.table.Update(&d.packet.Key, d.hash, func(e *bronzeflow.Entry) { e.LastRelayedSequence = last })
	return false
}

// sendLearnToPeers sends the mapping of a flow whose caller retransmits to
// other nodes. The path from this node to the server may have lost track of the
// flow while the paths of other nodes work; the caller's next retransmission
// can then reach the same server through one of them.
func (d *decision) sendLearnToPeers(e bronzeflow.Entry) {
	v := d.view.Load()
	if v == nil {
		return
	}
	m := mapping(d.packet.Key, e)
	lookup := &attempt{hash: d.hash, widened: true}
	for i, name := range lookup.queryTargets(v) {
		if name == d.Name {
			continue
		}
		if i >= smallFleet || !d.retransmitLimiter.AllowN(d.now, learnBytes) {
			break
		}
		d.send(name, &bronzelink.FlowMessage{Learn: &m})
	}
}

// handleQuery answers a node that owns a flow but doesn't know it.
func (d *decision) handleQuery(peer string) {
	d.lock()
	defer d.shard.mu.Unlock()
	m := d.knownMapping()
	if m.Server != 0 && d.owner(d.view.Load(), d.hash) != d.Name {
		d.handOver()
	}
	d.send(peer, &bronzelink.FlowMessage{Answer: &m})
}

// knownMapping returns what this node knows of the flow. Server is 0 if it
// knows nothing.
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

// handOver gives up ownership of the flow: it is no longer counted here, and a
// pending attempt is no longer retried here, so that only one owner retries.
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

// sendForget tells all other nodes to drop what they learned of the flow, since
// its key is moving to another server.
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

// handleForget drops the flow's entry unless this node owns the flow.
func (d *decision) handleForget() {
	if e, ok := d.entry(); ok {
		d.dropLearned(e)
	}
}
