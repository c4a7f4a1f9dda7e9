// Package bronzewire is what a balancer knows of the wire: IP packets inside
// UDP datagrams, and the frames that nodes relay to each other. Package
// bronzesocket carries both.
//
// A Parser reads the headers of a packet, once, into a bronzeflow.Packet;
// the decisions see nothing else of it. It refuses whatever it doesn't
// understand in full, with one Err value for each reason, because a packet
// that is read in another way by the balancer than by the backend server
// could reach another Customer's service. Transport checksums are left to the
// two ends of the flow, which verify them anyway.
//
// Nothing is ever fragmented or put together again, so the operator sets the
// MTU: a caller's packet must fit, with 28 bytes of IPv4 and UDP header or 48
// of IPv6 around it, into the MTU towards backend servers, and with
// FrameHeaderLen more into that between balancers. Backend servers announce a
// maximum segment size to match. The counters of ErrFragment and ErrTooBig
// show where that isn't so.
//
// Refusal, Cancellation and Probe build the only packets that a balancer
// sends on its own account, each from a packet of the flow that it concerns.
// All builders append to the slice that they are given.
//
// # Usage
//
// A worker owns a Parser and a batch of buffers:
//
//	s, err := bronzesocket.Listen("192.0.2.1:6080")
//	...
//	var r bronzewire.Parser
//	var p bronzeflow.Packet
//	n, err := s.ReadBatch(ms)
//	for i := range ms[:n] {
//		if err := r.FromCaller(ms[i].Buf[:ms[i].N], &p); err != nil {
//			refused[bronzewire.Reason(err)]++
//			continue
//		}
//		// decide on p, then change ms[i].Addr and collect for WriteBatch
//	}
//
// A frame between nodes starts with a byte that no IP packet starts with, so
// that one socket can take both: ParseFrame returns ErrFrame for a packet, and
// a Parser returns ErrVersion for a frame.
package bronzewire
