package bronzecore

import (
	"slices"

	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

const (
	// requeryFactor is after how many times Timing.Query nodes are asked again
	// about a flow that is still unknown.
	requeryFactor = 8
	// reprobeFactor is after how many times Timing.Probe servers that have not
	// answered are probed again when the caller repeats itself.
	reprobeFactor = 8
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
	a.phaseDeadline = d.now.Add(d.Timing.ProbeTimeout)
	switch {
	case d.probeCandidates(a):
	case len(a.denied) >= len(a.tried):
		d.endUnknown(a)
	case a.soleUnanswered() != 0:
		d.resolve(a, a.soleUnanswered())
	default:
		d.requery(a)
	}
}

// probeCandidates probes the next candidates, and reports whether there were any.
func (d *decision) probeCandidates(a *attempt) (sent bool) {
	n := 1
	if len(a.tried) > 0 {
		n = maxProbes
	}
	var buf [maxProbes]bronzeflow.ServerID
	for _, id := range d.service.pool.Candidates(a.hash, n, buf[:0]) {
		if a.wasTried(id) {
			continue
		}
		a.tried, a.lastProbed = append(a.tried, id), d.now
		d.add(Action{Kind: Probe, Server: id, Packet: a.held})
		sent = true
	}
	return sent
}

// reprobe probes those servers again that have not answered, when the flow's
// caller repeats its packet. While nodes notice at different times that the flow's
// owner is gone, answers enter by some that still relay them to it: of a fleet that is
// cut in two 1 to 4 of 5,500 flows were lost between ends that reach each other, since
// each server was asked once, and 0 to 1 are now (the demo, 15 s, three seeds).
func (d *decision) reprobe(a *attempt) {
	if a.phase != probing || d.now.Sub(a.lastProbed) < reprobeFactor*d.Timing.ProbeTimeout {
		return
	}
	a.lastProbed = d.now
	for _, id := range a.tried {
		if !slices.Contains(a.denied, id) {
			d.add(Action{Kind: Probe, Server: id, Packet: a.held})
		}
	}
}

// requery asks the nodes again while probes are out. A server that was
// asked is silent: it may be the one, or its answer entered by a node that has
// learned the flow, and went on to the caller. Such a node can tell.
func (d *decision) requery(a *attempt) {
	d.query(a)
	a.phase = probing
	a.phaseDeadline = d.now.Add(requeryFactor * d.Timing.QueryTimeout)
}

// endUnknown ends the flow of an attempt that nobody knows. While the fleet is
// split the other side may know it, and it may go on there or after the heal:
// then its packets are dropped, and its caller's timeout ends it.
func (d *decision) endUnknown(a *attempt) {
	if a.partitioned || d.partitioned() {
		d.discard(a, UnknownFlow)
		return
	}
	d.shard.remove(a)
	d.add(d.abortAction(&a.held, UnknownFlow))
}

// resolve ends an attempt: its flow is at server id. That may be the only
// server that has not denied it, whose answer entered by a node that has
// learned the flow and went on to the caller. If it doesn't know the flow
// either, it answers the payload with a reset, and nothing has run.
func (d *decision) resolve(a *attempt, id bronzeflow.ServerID) {
	d.shard.remove(a)
	d.resume(a)
	d.adopt(bronzelink.Mapping{Server: id, State: bronzeflow.Established, Flags: bronzeflow.Confirmed})
}

// handleProbeReply takes in a server's packet while its flow is being looked for.
func (d *decision) handleProbeReply(a *attempt, id bronzeflow.ServerID) {
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
	d.resolve(a, id)
	d.packet = answer
	if answer.Payload == 0 && answer.Kind == bronzeflow.Data {
		d.drop(Recovering)
		return
	}
	d.reply(id)
}
