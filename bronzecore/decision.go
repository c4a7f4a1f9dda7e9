package bronzecore

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// decision is one call of a Balancer in progress. It stays on the stack, and it
// holds the packet by value so that the driver's stays there too.
type decision struct {
	*Balancer
	now time.Time
	// packet is what is decided on; of a message's flow, the key alone.
	packet bronzeflow.Packet
	hash   uint64
	// shard holds the flow's attempt. It is set and locked by lock.
	shard *attemptShard
	// service is the one of the packet's destination, set by match.
	service *service
	// out is what the driver will have to do.
	out []Action
	// set is the configuration in force when the call came.
	set *serviceSet
}

// setFlow makes the flow of a message the one that is decided on.
func (d *decision) setFlow(key *bronzeflow.Key) {
	d.packet.Key = *key
	d.hash = key.Hash()
}

// resume makes the packet that waits for an attempt the one that is decided on.
func (d *decision) resume(a *attempt) {
	d.packet = a.held
	d.hash = a.hash
}

// lock locks the flow's shard; the caller unlocks it.
func (d *decision) lock() {
	d.shard = &d.shards[d.hash%attemptShards]
	d.shard.mu.Lock()
}

// match sets the service, and reports whether one is in force.
func (d *decision) match() bool {
	d.service = d.set.match(&d.packet.Key)
	return d.service != nil
}

// inForce reports whether server id is in the pool of the service that claims
// the flow's destination. An instance that moved to another service's pool,
// or whose address another Customer uses by now, is not: packets of the flow
// would reach a service that they are not meant for.
func (d *decision) inForce(id bronzeflow.ServerID) bool {
	return d.set.snapshot.Serves(id, &d.packet.Key)
}

// entry returns what the table holds of the flow.
func (d *decision) entry() (e bronzeflow.Entry, ok bool) {
	return d.table.Get(&d.packet.Key, d.hash)
}

func (d *decision) add(a Action) {
	d.out = append(d.out, a)
}

// addPacketAction adds an action with the packet. It is filled in where it lies, since
// one more copy of an Action shows in what a packet of a pinned flow costs.
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

// relay passes the packet on to the node that decides on it; id is the server
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

// refuse gives the caller of the packet its refusal.
func (d *decision) refuse(r Reason) {
	d.add(d.refuseAction(&d.packet, r))
}

// abort gives the caller of the packet its abortion.
func (d *decision) abort(r Reason) {
	d.add(d.abortAction(&d.packet, r))
}

// refuseAction is the final answer to a caller none of whose payload was
// forwarded. While the fleet is split, the other side may have opened the
// same flow and run requests of it, so no such claim is made.
func (b *Balancer) refuseAction(p *bronzeflow.Packet, r Reason) Action {
	if b.partitioned() {
		return b.abortAction(p, r)
	}
	return Action{Kind: Refuse, Packet: *p, Reason: r, RetryAfter: b.Timing.RetryAfter}
}

// abortAction is the final answer without a claim about what ran.
func (b *Balancer) abortAction(p *bronzeflow.Packet, r Reason) Action {
	return Action{Kind: Abort, Packet: *p, Reason: r, RetryAfter: b.Timing.RetryAfter}
}

// partitioned reports whether another side may be placing the same flows.
func (b *Balancer) partitioned() bool {
	v := b.view.Load()
	return v != nil && v.Partitioned
}
