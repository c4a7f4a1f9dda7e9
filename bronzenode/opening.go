package bronzenode

import (
	"encoding/binary"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// stripPayload removes the payload from a TCP opening; the caller sends it
// again once its opening is accepted. Forwarding a request commits its flow to
// a server that hasn't accepted yet. If that server was then silent, or this
// node was killed before it told any other, the flow's next owner would get the
// caller's retransmission, place it elsewhere, and the request would run twice.
// An opening without payload runs nothing wherever it is repeated.
func (w *worker) stripPayload() {
	p := &w.packet
	if p.Kind != bronzeflow.Open || p.Payload == 0 {
		return
	}
	start := len(w.built)
	w.built = appendWithoutPayload(w.built, p)
	p.Raw = w.built[start:]
	p.Payload = 0
	w.eventCounts[payloadStripped]++
}

// Offsets in the headers of IP and TCP, and the unit of the IPv4 header length,
// in bytes.
const (
	ipv4Length     = 2
	ipv4Checksum   = 10
	ipv4WordLength = 4
	ipv6Length     = 4
	tcpChecksum    = 16
)

// appendWithoutPayload appends p, a TCP packet, without its payload.
func appendWithoutPayload(dst []byte, p *bronzeflow.Packet) []byte {
	start := len(dst)
	dst = append(dst, p.Raw[:len(p.Raw)-p.Payload]...)
	b := dst[start:]
	tcp := b[len(b)-tcpHeaderLength(p.Raw):]
	if isIPv4(b) {
		subtractLength(b[ipv4Length:], p.Payload)
		header := b[:int(b[0]&0xf)*ipv4WordLength]
		clear(header[ipv4Checksum : ipv4Checksum+2])
		binary.BigEndian.PutUint16(header[ipv4Checksum:], ^foldChecksum(addChecksum(0, header)))
	} else {
		subtractLength(b[ipv6Length:], p.Payload)
	}
	clear(tcp[tcpChecksum : tcpChecksum+2])
	pseudo := uint32(bronzeflow.TCP) + uint32(len(tcp))
	pseudo = addChecksum(addChecksum(pseudo, addressBytes(p.Key.Caller)), addressBytes(p.Key.Service))
	binary.BigEndian.PutUint16(tcp[tcpChecksum:], ^foldChecksum(addChecksum(pseudo, tcp)))
	return dst
}

// tcpHeaderLength returns the length, with options, of the TCP header in raw, a
// packet that was parsed before.
func tcpHeaderLength(raw []byte) int {
	first := layers.LayerTypeIPv6
	if isIPv4(raw) {
		first = layers.LayerTypeIPv4
	}
	options := gopacket.DecodeOptions{Lazy: true, NoCopy: true}
	return len(gopacket.NewPacket(raw, first, options).Layer(layers.LayerTypeTCP).LayerContents())
}

func isIPv4(raw []byte) bool { return raw[0]>>4 == 4 }

// subtractLength reduces a 16-bit length field by n bytes.
func subtractLength(length []byte, n int) {
	binary.BigEndian.PutUint16(length, binary.BigEndian.Uint16(length)-uint16(n))
}

// addressBytes returns the bytes of a for a pseudo-header checksum: all 16 of an
// IPv6 address, or the last 4 of an IPv4-mapped one.
func addressBytes(a [16]byte) []byte {
	const mapped = "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\xff\xff"
	if string(a[:len(mapped)]) == mapped {
		return a[len(mapped):]
	}
	return a[:]
}

// addChecksum adds the 16-bit words of b to s, as in RFC 1071.
func addChecksum(s uint32, b []byte) uint32 {
	for ; len(b) > 1; b = b[2:] {
		s += uint32(binary.BigEndian.Uint16(b))
	}
	if len(b) == 1 {
		s += uint32(b[0]) << 8
	}
	return s
}

// foldChecksum folds s into 16 bits by adding the carries.
func foldChecksum(s uint32) uint16 {
	for s > 0xffff {
		s = s>>16 + s&0xffff
	}
	return uint16(s)
}
