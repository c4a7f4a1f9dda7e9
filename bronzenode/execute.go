package bronzenode

import (
	"bronzeusher.example/bronzeusher/bronzecore"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
	"bronzeusher.example/bronzeusher/bronzewire"
)

// executeAll counts and executes the worker's actions in order. The datagrams
// are sent with the next flush.
func (w *worker) executeAll() {
	for i := range w.actions {
		a := &w.actions[i]
		if a.Reason == bronzecore.None {
			w.actionCounts[a.Kind]++
		} else {
			w.node.counters.actions[a.Kind][a.Reason].add(1)
		}
		w.execute(a)
	}
}

func (w *worker) execute(a *bronzecore.Action) {
	switch a.Kind {
	case bronzecore.Forward:
		w.sendToServer(a, a.Packet.Raw)
	case bronzecore.Reply:
		w.edge.put(w.node.cfg.FabricAddress, a.Packet.Raw)
	case bronzecore.Relay:
		w.sendToPeer(a, bronzewire.Frame{Kind: bronzewire.FramePacket, Hops: a.Packet.Hops, Body: a.Packet.Raw})
	case bronzecore.RelayReply:
		w.sendToPeer(a, bronzewire.Frame{Kind: bronzewire.FrameReply, Hops: a.Packet.Hops, Server: a.Server, Body: a.Packet.Raw})
	case bronzecore.Send:
		w.sendMessage(a)
	case bronzecore.Refuse:
		w.refuse(a)
	case bronzecore.Abort:
		w.abort(a)
	case bronzecore.Cancel:
		w.cancel(a)
	case bronzecore.Probe:
		w.probe(a)
	}
}

func (w *worker) sendToServer(a *bronzecore.Action, b []byte) {
	address, ok := w.node.tunnels.Load().address(a.Server)
	if !ok {
		// The server left the configuration after the decision; its address
		// may be another Customer's by now.
		w.eventCounts[unknownAddress]++
		return
	}
	w.edge.put(address, b)
}

func (w *worker) sendToPeer(a *bronzecore.Action, f bronzewire.Frame) {
	address, ok := w.node.members.Load().addresses[a.Peer]
	if !ok {
		w.eventCounts[unknownAddress]++
		return
	}
	start := len(w.built)
	w.built = bronzewire.AppendFrame(w.built, &f)
	w.data.put(address, w.built[start:])
}

func (w *worker) sendMessage(a *bronzecore.Action) {
	b, err := bronzelink.EncodeFlow(a.Message)
	if err != nil {
		w.reject(err)
		return
	}
	w.eventCounts[flowBytesSent] += uint64(len(b) + bronzewire.FrameHeaderLen)
	w.sendToPeer(a, bronzewire.Frame{Kind: bronzewire.FrameFlow, Body: b})
}

// refuse answers the caller on behalf of the service.
func (w *worker) refuse(a *bronzecore.Action) {
	b, ok := w.build(func(dst []byte) ([]byte, error) {
		return bronzewire.Refusal(dst, a.Packet.Raw)
	})
	if ok {
		w.edge.put(w.node.cfg.FabricAddress, b)
	}
}

// abort ends the caller's flow without claiming that nothing ran. A reset in
// answer to an opening, or an ICMP error in answer to a datagram, would claim
// that, and the caller could repeat a request that may have run. If such a
// packet carries a request, the caller is therefore left to its own timeout. A
// reset of an established connection makes no such claim.
func (w *worker) abort(a *bronzecore.Action) {
	opens := a.Packet.Kind == bronzeflow.Open || a.Packet.Kind == bronzeflow.Datagram
	if opens && a.Packet.Payload > 0 {
		return
	}
	w.refuse(a)
}

func (w *worker) cancel(a *bronzecore.Action) {
	b, ok := w.build(func(dst []byte) ([]byte, error) {
		return bronzewire.Cancellation(dst, a.Packet.Raw, fromServer(a))
	})
	if ok {
		w.sendToServer(a, b)
	}
}

// fromServer reports whether a Cancel answers a packet of the server. That is
// so for a late answer only; all other cancelled packets are the caller's.
func fromServer(a *bronzecore.Action) bool {
	return a.Reason == bronzecore.LateAnswer
}

func (w *worker) probe(a *bronzecore.Action) {
	b, ok := w.build(func(dst []byte) ([]byte, error) {
		return bronzewire.Probe(dst, a.Packet.Raw)
	})
	if ok {
		w.sendToServer(a, b)
	}
}

// build appends a packet to w.built and returns it; ok is false if there is
// nothing to send.
func (w *worker) build(packet func(dst []byte) ([]byte, error)) (b []byte, ok bool) {
	start := len(w.built)
	built, err := packet(w.built)
	if err != nil {
		w.reject(err)
		return nil, false
	}
	if built == nil {
		return nil, false
	}
	w.built = built
	return w.built[start:], true
}
