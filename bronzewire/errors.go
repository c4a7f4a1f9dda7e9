package bronzewire

import "github.com/pkg/errors"

// The reasons why a packet, a frame or a request to build one is refused. The
// functions of this package return them unwrapped where a flood of bad packets
// must cause no allocation; compare with errors.Is.
var (
	// ErrTruncated: the buffer ends before what its headers announce.
	ErrTruncated = errors.New("packet is truncated")
	// ErrVersion: neither IPv4 nor IPv6.
	ErrVersion = errors.New("unknown IP version")
	// ErrHeader: a header contradicts itself or asks for source routing.
	ErrHeader = errors.New("malformed header")
	// ErrFragment: a fragment, whose ports may be in another packet.
	ErrFragment = errors.New("packet is a fragment")
	// ErrProtocol: not TCP, UDP or one of the ICMP errors named below.
	ErrProtocol = errors.New("unsupported protocol")
	// ErrChecksum: the IPv4 header's or the ICMP message's checksum is wrong.
	ErrChecksum = errors.New("wrong checksum")
	// ErrFlags: TCP flags that no valid sender combines in this direction.
	ErrFlags = errors.New("impossible TCP flags")
	// ErrPorts: a source or destination port of 0.
	ErrPorts = errors.New("port is zero")
	// ErrAddress: an address that can't be an endpoint of a flow, or two
	// addresses of different families.
	ErrAddress = errors.New("unusable address")
	// ErrQuote: an ICMP error whose receiver isn't the sender of the packet
	// that it quotes.
	ErrQuote = errors.New("quoted packet is not the receiver's")
	// ErrUnreachable: an ICMP "unreachable" that ends no flow, because it comes
	// from a caller's side or concerns a TCP connection past its opening.
	ErrUnreachable = errors.New("unreachable ends no flow")
	// ErrTooBig: an ICMP report that a packet was too big for its path. The MTU
	// that hosts are configured with is too large for that path.
	ErrTooBig = errors.New("packet too big for its path")
	// ErrSize: a packet to build is longer than an IP packet can be.
	ErrSize = errors.New("packet too long")
	// ErrFrame: not a relay frame.
	ErrFrame = errors.New("not a relay frame")
	// ErrFrameVersion: a relay frame of a version that this build doesn't know.
	ErrFrameVersion = errors.New("unknown relay frame version")
	// ErrFrameKind: a relay frame of a kind that this build doesn't know.
	ErrFrameKind = errors.New("unknown relay frame kind")
)

// reasonNames lists the errors with their names in counters.
var reasonNames = []struct {
	err  error
	name string
}{
	{ErrTruncated, "Truncated"},
	{ErrVersion, "Version"},
	{ErrHeader, "Header"},
	{ErrFragment, "Fragment"},
	{ErrProtocol, "Protocol"},
	{ErrChecksum, "Checksum"},
	{ErrFlags, "Flags"},
	{ErrPorts, "Ports"},
	{ErrAddress, "Address"},
	{ErrQuote, "Quote"},
	{ErrUnreachable, "Unreachable"},
	{ErrTooBig, "TooBig"},
	{ErrSize, "Size"},
	{ErrFrame, "Frame"},
	{ErrFrameVersion, "FrameVersion"},
	{ErrFrameKind, "FrameKind"},
}

// Reason returns the name of err for a counter, in Pascal case: "Truncated" for
// ErrTruncated and so on, "Other" for an error of other packages, and "" for
// nil.
func Reason(err error) string {
	if err == nil {
		return ""
	}
	for i := range reasonNames {
		if errors.Is(err, reasonNames[i].err) {
			return reasonNames[i].name
		}
	}
	return "Other"
}
