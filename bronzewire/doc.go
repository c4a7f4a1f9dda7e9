// Package bronzewire parses and builds what balancers send and receive: IP
// packets inside UDP datagrams, and the frames that nodes relay to each other.
// Package bronzesocket carries both.
//
// A Parser reads the headers of a packet once into a bronzeflow.Packet, which
// is all that the decisions see of it. It refuses whatever it doesn't fully
// understand, with one Err value for each reason, because a packet that the
// balancer and the backend server read differently could reach another
// Customer's service. Transport checksums are left to the two ends of the flow,
// which verify them anyway.
//
// Nothing is fragmented or reassembled, so the operator must set the MTU: a
// caller's packet, with 28 bytes of IPv4 and UDP headers or 48 of IPv6 and UDP
// headers around it, must fit into the MTU towards backend servers, and with
// FrameHeaderLen more bytes into that between balancers. Backend servers
// announce a maximum segment size to match. The counters of ErrFragment and
// ErrTooBig show where the MTU is wrong.
//
// Refusal, Cancellation and Probe build the only packets that a balancer
// originates, each from a packet of the flow that it concerns. All builders
// append to the slice that they are given.
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
