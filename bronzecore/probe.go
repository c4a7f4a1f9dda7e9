package bronzecore

import (
	"slices"

	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

const (
	// askAgain is after how many times Timing.Query nodes are asked again
	// about a flow that is still unknown.
	askAgain = 8
	// probeAgainAfter is after how many times Timing.Probe servers that have not
	// answered are probed again when the caller repeats itself.
	probeAgainAfter = 8
	// maxProbes bounds how many servers are asked about one unknown flow.
	maxProbes = 16
)

// probe asks further candidates whether they know the flow: first the one
// that it most likely is at, then the others together. A server without the
// connection answers a probe with a reset and runs nothing.
func (d *decision) probe(a *attempt) {
	if !d.match() {
		d.discard(a, NoService)
		return
	}
	a.phase = probing
	a.due = d.now.Add(d.Timing.ProbeTimeout)
	switch {
	case d.probeNext(a):
	case len(a.denied) >= len(a.tried):
		d.unknown(a)
	case a.silent() != 0:
		d.settleOn(a, a.silent())
	default:
		d.queryAgain(a)
	}
}

// probeNext probes the next candidates, and reports whether there were any.
func (d *decision) probeNext(a *attempt) (sent bool) {
	n := 1
	if len(a.tried) > 0 {
		n = maxProbes
	}
	var buf [maxProbes]bronzeflow.ServerID
	for _, id := range d.service.pool.Candidates(a.hash, n, buf[:0]) {
		if a.wasTried(id) {
			continue
		}
		a.tried, a.probedAt = append(a.tried, id), d.now
		d.add(Action{Kind: Probe, Server: id, Packet: a.held})
		sent = true
	}
	return sent
}

// probeAgain probes those servers again that have not answered, when the flow's
// caller repeats its packet. While nodes notice at different times that the flow's
// owner is gone, answers enter by some that still relay them to it: of a fleet that is
// cut in two 1 to 4 of 5,500 flows were lost between ends that reach each other, since
// each server was asked once, and 0 to 1 are now (the demo, 15 s, three seeds).
func (d *decision) probeAgain(a *attempt) {
	if a.phase != probing || d.now.Sub(a.probedAt) < probeAgainAfter*d.Timing.ProbeTimeout {
		return
	}
	a.probedAt = d.now
	for _, id := range a.tried {
		if !slices.Contains(a.denied, id) {
			d.add(Action{Kind: Probe, Server: id, Packet: a.held})
		}
	}
}

// queryAgain asks the nodes again while probes are out. A server that was
// asked is silent: it may be the one, or its answer entered by a node that has
// learned the flow, and went on to the caller. Such a node can tell.
func (d *decision) queryAgain(a *attempt) {
	d.query(a)
	a.phase = probing
	a.due = d.now.Add(askAgain * d.Timing.QueryTimeout)
}

// unknown ends the flow of an attempt that nobody knows. While the fleet is
// split the other side may know it, and it may go on there or after the heal:
// then its packets are dropped, and its caller's timeout ends it.
func (d *decision) unknown(a *attempt) {
	if a.disputed || d.split() {
		d.discard(a, UnknownFlow)
		return
	}
	d.shard.remove(a)
	d.add(d.abortion(&a.held, UnknownFlow))
}

// settleOn ends an attempt: its flow is at server id. That may be the only
// server that has not denied it, whose answer entered by a node that has
// learned the flow and went on to the caller. If it doesn't know the flow
// either, it answers the payload with a reset, and nothing has run.
func (d *decision) settleOn(a *attempt, id bronzeflow.ServerID) {
	d.shard.remove(a)
	d.resume(a)
	d.adopt(bronzelink.Mapping{Server: id, State: bronzeflow.Established, Flags: bronzeflow.Confirmed})
}

// probed takes in a server's packet while its flow is being looked for.
func (d *decision) probed(a *attempt, id bronzeflow.ServerID) {
	if d.packet.Kind == bronzeflow.Refuse {
		if !slices.Contains(a.denied, id) {
			a.denied = append(a.denied, id)
		}
		d.drop(Recovering)
		if len(a.denied) >= len(a.tried) {
			d.probe(a)
		}
		return
	}
	answer := d.packet
	d.settleOn(a, id)
	d.packet = answer
	if answer.Payload == 0 && answer.Kind == bronzeflow.Data {
		d.drop(Recovering)
		return
	}
	d.reply(id)
}
