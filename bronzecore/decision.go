package bronzecore

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// decision is the state of one call to a Balancer. It stays on the stack, and
// it holds the packet by value so that the driver's packet stays there too.
type decision struct {
	*Balancer
	now time.Time
	// packet is the packet that is decided on. For a message only its Key is
	// set.
	packet bronzeflow.Packet
	hash   uint64
	// shard holds the flow's attempt. It is set and locked by lock.
	shard *attemptShard
	// service is the service of the packet's destination, set by match.
	service *service
	// out collects the actions for the driver.
	out []Action
	// set is the configuration in force at the start of the call.
	set *serviceSet
}

// setFlow makes the flow of a message the one that is decided on.
func (d *decision) setFlow(key *bronzeflow.Key) {
	d.packet.Key = *key
	d.hash = key.Hash()
}

// resume makes the packet held by an attempt the one that is decided on.
func (d *decision) resume(a *attempt) {
	d.packet = a.held
	d.hash = a.hash
}

// lock locks the flow's shard of attempts; the caller unlocks it.
func (d *decision) lock() {
	d.shard = &d.shards[d.hash%attemptShards]
	d.shard.mu.Lock()
}

// match sets d.service and reports whether a service in force claims the
// packet's destination.
func (d *decision) match() bool {
	d.service = d.set.match(&d.packet.Key)
	return d.service != nil
}

// inForce reports whether server id is in the pool of the service that claims
// the flow's destination. It returns false for an instance that moved to
// another service's pool or whose address another Customer uses by now:
// packets of the flow would reach a service that they are not meant for.
func (d *decision) inForce(id bronzeflow.ServerID) bool {
	return d.set.snapshot.Serves(id, &d.packet.Key)
}

// entry returns the flow's entry in the table.
func (d *decision) entry() (e bronzeflow.Entry, ok bool) {
	return d.table.Get(&d.packet.Key, d.hash)
}

func (d *decision) add(a Action) {
	d.out = append(d.out, a)
}

// addPacketAction appends an action with the packet. The action is filled in
// place, since another copy of an Action measurably slows the decision on a
// packet of a pinned flow.
func (d *decision) addPacketAction(k ActionKind, id bronzeflow.ServerID, r Reason) {
	d.out = append(d.out, Action{})
	a := &d.out[len(d.out)-1]
	a.Kind = k
	a.Server = id
	a.Reason = r
	a.Packet = d.packet
}

func (d *decision) drop(r Reason) {
	d.addPacketAction(Drop, 0, r)
}

func (d *decision) forward(id bronzeflow.ServerID, r Reason) {
	d.addPacketAction(Forward, id, r)
}

func (d *decision) reply(id bronzeflow.ServerID) {
	d.addPacketAction(Reply, id, None)
}

func (d *decision) send(peer string, m *bronzelink.FlowMessage) {
	d.add(Action{Kind: Send, Peer: peer, Message: m})
}

// relay relays the packet to the node that decides on it; id is the server
// that a RelayReply came from.
func (d *decision) relay(kind ActionKind, id bronzeflow.ServerID, owner string) {
	if d.packet.Hops >= MaxHops {
		d.drop(RelayLoop)
		return
	}
	q := d.packet
	q.Hops++
	d.add(Action{Kind: kind, Server: id, Peer: owner, Packet: q})
}

// refuse refuses the caller of the packet.
func (d *decision) refuse(r Reason) {
	d.add(d.refuseAction(&d.packet, r))
}

// abort ends the flow of the packet's caller.
func (d *decision) abort(r Reason) {
	d.add(d.abortAction(&d.packet, r))
}

// refuseAction returns the final answer to a caller none of whose payload was
// forwarded. While the fleet is partitioned, the other side may have opened the
// same flow and run requests of it, so the answer is an Abort without a claim.
func (b *Balancer) refuseAction(p *bronzeflow.Packet, r Reason) Action {
	if b.partitioned() {
		return b.abortAction(p, r)
	}
	return Action{Kind: Refuse, Packet: *p, Reason: r, RetryAfter: b.Timing.RetryAfter}
}

// abortAction returns the final answer without a claim about what was run.
func (b *Balancer) abortAction(p *bronzeflow.Packet, r Reason) Action {
	return Action{Kind: Abort, Packet: *p, Reason: r, RetryAfter: b.Timing.RetryAfter}
}

// partitioned reports whether another side of a partition may be placing the
// same flows.
func (b *Balancer) partitioned() bool {
	v := b.view.Load()
	return v != nil && v.Partitioned
}
