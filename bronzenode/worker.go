package bronzenode

import (
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzecore"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
	"bronzeusher.example/bronzeusher/bronzesocket"
	"bronzeusher.example/bronzeusher/bronzewire"
)

// maxPacketBytes is the length of the longest datagram that is accepted: a
// jumbo frame. Longer ones are cut off, and then dropped as truncated.
const maxPacketBytes = 9216

// worker handles the datagrams of one reader. It has its own parser and
// buffers, which need no locking.
type worker struct {
	node   *Node
	parser bronzewire.Parser
	packet bronzeflow.Packet
	frame  bronzewire.Frame
	// actions are the decisions on one packet.
	actions []bronzecore.Action
	// built holds the packets and frames created for the current batch.
	built []byte
	edge  outbox
	data  outbox
	// actionCounts counts the current batch's actions without a reason, by kind.
	actionCounts [bronzecore.Send + 1]uint64
	// eventCounts counts the events of the current batch.
	eventCounts [eventCount]uint64
}

func (n *Node) newWorker() *worker {
	w := &worker{node: n}
	w.edge = outbox{socket: n.edge, partitioned: n.cfg.Partitioned, refused: &w.eventCounts[sendRefused]}
	w.data = outbox{socket: n.data, partitioned: n.cfg.Partitioned, refused: &w.eventCounts[sendRefused]}
	return w
}

// read serves a socket until it is closed: it reads a batch of datagrams,
// handles each, and sends the resulting batch.
func (w *worker) read(s *bronzesocket.Socket, handle func(from netip.AddrPort, b []byte)) (err error) {
	defer annotate(&err, "read "+s.LocalAddrPort().String())
	batch := make([]bronzesocket.Datagram, bronzesocket.MaxBatch)
	for i := range batch {
		batch[i].Buf = make([]byte, maxPacketBytes)
	}
	local := s.LocalAddrPort()
	for {
		n, err := s.ReadBatch(batch)
		switch {
		case isClosed(err):
			return nil
		case err != nil:
			return err
		}
		w.node.gate.wait()
		for i := range batch[:n] {
			d := &batch[i]
			if partitioned := w.node.cfg.Partitioned; partitioned != nil && partitioned(d.Addr, local) {
				continue
			}
			handle(d.Addr, d.Buf[:d.N])
		}
		if err = w.flush(); err != nil {
			return nil
		}
	}
}

// tick executes the actions that are due by time. Once the sockets are closed,
// nothing is sent.
func (w *worker) tick() {
	w.actions = w.node.balancer.Tick(w.actions[:0])
	w.executeAll()
	_ = w.flush()
}

// handleEdge handles an encapsulated packet. Only the tunnel endpoint
// distinguishes a server's packet from a caller's, so a caller's can't pass for
// a server's unless its sender forges addresses on the operator's own network.
func (w *worker) handleEdge(from netip.AddrPort, b []byte) {
	if ids := w.node.tunnels.Load().ids[from]; ids != nil {
		if err := w.parser.FromServer(b, &w.packet); err != nil {
			w.reject(err)
			return
		}
		w.eventCounts[serverPacket]++
		w.actions = w.node.balancer.FromServer(&w.packet, ids, w.actions[:0])
		w.executeAll()
		return
	}
	if err := w.parser.FromCaller(b, &w.packet); err != nil {
		w.reject(err)
		return
	}
	w.eventCounts[callerPacket]++
	w.stripPayload()
	w.actions = w.node.balancer.FromCaller(&w.packet, w.actions[:0])
	w.executeAll()
}

// handleData handles a frame of another node. A frame from an address that no
// member has is dropped: its sender could be a process of another Customer
// that got the address of a former node.
func (w *worker) handleData(from netip.AddrPort, b []byte) {
	name, ok := w.node.members.Load().names[from]
	if !ok {
		w.eventCounts[unknownPeer]++
		return
	}
	if err := w.decideOnFrame(name, b); err != nil {
		w.reject(err)
		return
	}
	w.executeAll()
}

func (w *worker) decideOnFrame(peer string, b []byte) error {
	if err := bronzewire.ParseFrame(b, &w.frame); err != nil {
		return err
	}
	balancer := &w.node.balancer
	w.actions = w.actions[:0]
	switch w.frame.Kind {
	case bronzewire.FramePacket:
		if err := w.parser.FromCaller(w.frame.Body, &w.packet); err != nil {
			return err
		}
		w.packet.Hops = w.frame.Hops
		w.eventCounts[peerPacket]++
		w.stripPayload()
		w.actions = balancer.FromPeer(&w.packet, peer, w.actions)
	case bronzewire.FrameReply:
		if err := w.parser.FromServer(w.frame.Body, &w.packet); err != nil {
			return err
		}
		w.packet.Hops = w.frame.Hops
		w.eventCounts[peerReply]++
		w.actions = balancer.ReplyFromPeer(&w.packet, w.frame.Server, w.actions)
	default:
		m, err := bronzelink.DecodeFlow(w.frame.Body)
		if err != nil {
			return err
		}
		w.eventCounts[flowMessage]++
		w.actions = balancer.HandleMessage(m, peer, w.actions)
	}
	return nil
}

func (w *worker) reject(err error) {
	w.node.counters.withReason(countMalformed, bronzewire.Reason(err)).add(1)
}

// flush adds up the batch's counts and sends its datagrams, in this order, so
// that whoever sees a packet finds it counted.
func (w *worker) flush() (err error) {
	w.flushCounts()
	err = w.edge.flush()
	if dataErr := w.data.flush(); err == nil {
		err = dataErr
	}
	w.built = w.built[:0]
	return err
}

// flushCounts adds the batch's counts to the node's. Doing so once per batch
// avoids contention for the shared counters at each packet.
func (w *worker) flushCounts() {
	c := w.node.counters
	for kind := range w.actionCounts {
		if w.actionCounts[kind] > 0 {
			c.actions[kind][0].add(w.actionCounts[kind])
			w.actionCounts[kind] = 0
		}
	}
	if w.eventCounts[callerPacket] > 0 {
		w.node.quietSince.Store(time.Now().UnixNano())
	}
	for e := range w.eventCounts {
		if w.eventCounts[e] > 0 {
			c.events[e].add(w.eventCounts[e])
			w.eventCounts[e] = 0
		}
	}
}

// isClosed reports whether err says that a socket was closed.
func isClosed(err error) bool {
	return errors.Is(err, net.ErrClosed)
}

// annotate wraps *err, if not nil, with a description of what failed.
func annotate(err *error, doing string) {
	if *err != nil {
		*err = errors.Wrap(*err, doing)
	}
}
