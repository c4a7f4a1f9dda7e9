package bronzecore

import (
	"slices"

	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

const (
	// requeryFactor times Timing.QueryTimeout is the interval at which other
	// nodes are queried again about a flow that is still unknown.
	requeryFactor = 8
	// reprobeFactor times Timing.ProbeTimeout must have passed before servers
	// that have not answered are probed again on a caller's retransmission.
	reprobeFactor = 8
	// maxProbes is the maximum number of servers probed for an unknown flow.
	maxProbes = 16
)

// probe asks further candidates whether they know the flow: first the most
// likely one, then the others together. A server without the connection answers
// a probe with a reset and runs nothing.
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

// probeCandidates probes the next candidates and reports whether there were any.
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

// reprobe probes the servers that have not answered again when the flow's
// caller retransmits. Nodes notice at different times that the flow's owner is
// gone; an answer that enters by a node that has not noticed yet is relayed to
// that owner and lost. When each server was probed only once, a partition lost
// 1 to 4 of 5,500 flows whose ends could reach each other; with repeated probes
// 0 to 1 are lost (15 s demo, three seeds).
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

// requery queries the other nodes again while several probes are unanswered.
// One of these servers may have the flow, and its answer may have entered by a
// node that has learned the flow and forwarded the answer to the caller. Such a
// node can answer the query.
func (d *decision) requery(a *attempt) {
	d.query(a)
	a.phase = probing
	a.phaseDeadline = d.now.Add(requeryFactor * d.Timing.QueryTimeout)
}

// endUnknown ends the flow of an attempt that no node and no server knows. If
// the fleet is partitioned, the other side may know the flow, and it may
// continue there or after the partition heals. Then the packet is only dropped,
// and the flow ends by its caller's timeout.
func (d *decision) endUnknown(a *attempt) {
	if a.partitioned || d.partitioned() {
		d.discard(a, UnknownFlow)
		return
	}
	d.shard.remove(a)
	d.add(d.abortAction(&a.held, UnknownFlow))
}

// resolve ends an attempt by pinning its flow to server id. That may be the
// only probed server that has not denied the flow: its answer may have entered
// by a node that has learned the flow and forwarded the answer to the caller. If
// that server doesn't know the flow either, it answers payload with a reset,
// and nothing is run.
func (d *decision) resolve(a *attempt, id bronzeflow.ServerID) {
	d.shard.remove(a)
	d.resume(a)
	d.adopt(bronzelink.Mapping{Server: id, State: bronzeflow.Established, Flags: bronzeflow.Confirmed})
}

// handleProbeReply handles a packet from a probed server. Refuse denies the
// flow; anything else shows that the flow is at server id.
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
