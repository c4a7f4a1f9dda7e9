package bronzewire

import (
	"encoding/binary"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// FrameKind says what the Body of a Frame is.
type FrameKind uint8

// The kinds of frames that nodes send to each other's data addresses.
const (
	// FramePacket relays a caller's IP packet.
	FramePacket FrameKind = iota + 1
	// FrameReply relays a backend server's IP packet; Server names the server.
	FrameReply
	// FrameFlow carries a bronzelink.FlowMessage in CBOR.
	FrameFlow
)

// The first bytes of a frame. The high nibble of frameMagic is no IP version,
// so a frame that reaches a socket for packets, or the reverse, is refused
// there and never taken for a Customer's traffic.
const (
	frameMagic   = 0xb5
	frameVersion = 1
)

// FrameHeaderLen is the length of a frame without its Body, in bytes. It counts
// towards the MTU between nodes.
const FrameHeaderLen = 12

// Frame is one datagram between two nodes.
type Frame struct {
	Kind FrameKind
	// Hops counts the nodes that have relayed the packet so far.
	Hops   uint8
	Server bronzeflow.ServerID
	Body   []byte
}

// AppendFrame appends the wire form of f to dst.
func AppendFrame(dst []byte, f *Frame) []byte {
	dst = append(dst, frameMagic, frameVersion, byte(f.Kind), f.Hops)
	dst = binary.BigEndian.AppendUint64(dst, uint64(f.Server))
	return append(dst, f.Body...)
}

// ParseFrame reads b into f, whose Body shares b's memory. It returns ErrFrame,
// ErrFrameVersion or ErrFrameKind and leaves f unchanged if b is not a frame
// that this build understands.
func ParseFrame(b []byte, f *Frame) error {
	if len(b) < FrameHeaderLen || b[0] != frameMagic {
		return ErrFrame
	}
	if b[1] != frameVersion {
		return ErrFrameVersion
	}
	kind := FrameKind(b[2])
	if kind < FramePacket || kind > FrameFlow {
		return ErrFrameKind
	}
	f.Kind = kind
	f.Hops = b[3]
	f.Server = bronzeflow.ServerID(binary.BigEndian.Uint64(b[4:FrameHeaderLen]))
	f.Body = b[FrameHeaderLen:]
	return nil
}
