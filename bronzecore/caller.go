package bronzecore

import (
	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzeflow"
)

// FromCaller decides on a caller's packet that the fabric delivered.
func (b *Balancer) FromCaller(p *bronzeflow.Packet, out []Action) []Action {
	return b.FromPeer(p, "", out)
}

// FromPeer decides on a caller's packet that the node peer relayed.
func (b *Balancer) FromPeer(p *bronzeflow.Packet, peer string, out []Action) []Action {
	b.init()
	d := decision{Balancer: b, now: b.clock(), packet: *p, hash: p.Key.Hash(), out: out, set: b.services.Load()}
	d.fromCaller(peer)
	return d.out
}

func (d *decision) fromCaller(peer string) {
	p := &d.packet
	if p.Hops&bronzeflow.AlreadyForwarded != 0 {
		d.markEnded(bronzeflow.CallerClosed, p.Kind == bronzeflow.Reset)
		return
	}
	e, ok := d.entry()
	if ok && p.Kind != bronzeflow.Open && d.trusted(e, d.now) && e.State != bronzeflow.Pending {
		d.touch(e)
		d.forwardPinned(e, peer)
		return
	}
	switch p.Kind {
	case bronzeflow.Open, bronzeflow.Data, bronzeflow.Datagram, bronzeflow.Close, bronzeflow.Reset:
		d.handleUnpinned(e, ok)
	default:
		d.drop(InvalidPacket)
	}
}

// forwardPinned forwards a packet of a flow whose server is known. peer is the
// node that relayed the packet and may be sent the mapping, or empty.
func (d *decision) forwardPinned(e bronzeflow.Entry, peer string) {
	p := &d.packet
	if !d.inForce(e.Server) {
		d.serverGone()
		return
	}
	if e.Echo != 0 && e.Flags&bronzeflow.Confirmed == 0 && p.Echo != 0 {
		// During a partition a server of either side may have accepted the
		// flow. The caller took one acceptance, and its packets would be a
		// partial request at the other server. The echoed sequence number
		// tells which acceptance it took.
		if p.Echo-e.Echo >= echoWindow {
			d.drop(EchoMismatch)
			return
		}
		d.table.Update(&p.Key, d.hash, func(e *bronzeflow.Entry) { e.Flags |= bronzeflow.Confirmed })
		e.Flags |= bronzeflow.Confirmed
	}
	d.forward(e.Server, None)
	if p.Kind == bronzeflow.Close || p.Kind == bronzeflow.Reset {
		d.markEnded(bronzeflow.CallerClosed, p.Kind == bronzeflow.Reset)
		d.notifyOwner(e, Relay)
		return
	}
	d.sendLearn(e, peer)
}

// echoWindow is how far past the server's first byte a caller's first packets
// may acknowledge. The number of a wrong server falls into the window by chance
// once in 4,096 times.
const echoWindow = 1 << 20

// serverGone ends a flow whose server is no longer in force. The server's
// address may belong to another Customer by now, so nothing is sent there.
func (d *decision) serverGone() {
	d.dropEntry()
	if d.packet.Kind == bronzeflow.Reset {
		d.drop(ServerGone)
		return
	}
	d.abort(ServerGone)
}

// handleUnpinned decides on a caller's packet whose flow is not known here or
// whose entry may not be trusted.
func (d *decision) handleUnpinned(e bronzeflow.Entry, known bool) {
	if !d.match() {
		d.drop(NoService)
		return
	}
	v := d.view.Load()
	if d.fenced(v) {
		d.drop(Fenced)
		return
	}
	if owner := d.decidingNode(v, d.hash, d.packet.Kind); owner != d.Name {
		if known {
			d.dropLearned(e)
		}
		d.relay(Relay, 0, owner)
		return
	}
	if v != nil && !v.Ready {
		d.drop(NotReady)
		return
	}
	d.decideAsOwner()
}

// decidingNode returns the node that decides on a packet of kind k whose flow
// is not known here.
func (b *Balancer) decidingNode(v *bronzefleet.View, hash uint64, k bronzeflow.Kind) string {
	switch k {
	case bronzeflow.Data, bronzeflow.Close, bronzeflow.Reset:
		return b.recoveryNode(v, hash)
	default:
		return b.owner(v, hash)
	}
}

// notifyOwner sends the owner a copy of a packet that ended a direction of its
// flow and was forwarded without the owner. Otherwise the owner would count the
// flow until it expires, and the flow's server would look busy.
func (d *decision) notifyOwner(e bronzeflow.Entry, kind ActionKind) {
	owner := d.owner(d.view.Load(), d.hash)
	if e.Flags&bronzeflow.Owned != 0 || owner == d.Name {
		return
	}
	q := d.packet
	q.Hops |= bronzeflow.AlreadyForwarded
	d.add(Action{Kind: kind, Server: e.Server, Peer: owner, Packet: q})
}
