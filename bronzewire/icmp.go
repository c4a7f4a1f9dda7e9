package bronzewire

import (
	"encoding/binary"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

const (
	icmp4HeaderLen = 8
	icmp6HeaderLen = 8
	// portsLen is the length of the ports at the start of a quoted transport
	// header, the part that identifies the flow.
	portsLen       = 4
	tcpFlagsOffset = 13
)

// parseICMP parses an "unreachable" from the server's side as a refusal of the
// packet that it quotes, if that is a UDP datagram or a TCP opening.
//
// For any other TCP segment it returns ErrUnreachable: routers send these
// errors while a route changes, and a connection must survive that (RFC 5461).
// Anyone who guesses the ports can also forge one, and ending the connection
// for it would break a live flow.
func (r *Parser) parseICMP(d *datagram, p *bronzeflow.Packet, fromServer bool) error {
	var quote datagram
	var err error
	if d.next == layers.IPProtocolICMPv4 {
		err = r.parseQuote4(d, &quote)
	} else {
		err = r.parseQuote6(d, &quote)
	}
	if err != nil {
		return err
	}
	if !fromServer {
		return ErrUnreachable
	}
	if quote.src != d.dst {
		return ErrQuote
	}
	protocol := bronzeflow.Protocol(quote.next)
	switch {
	case protocol != bronzeflow.TCP && protocol != bronzeflow.UDP:
		return ErrProtocol
	case len(quote.payload) < portsLen:
		return ErrTruncated
	case protocol == bronzeflow.TCP && !isOpening(quote.payload):
		return ErrUnreachable
	}
	src := binary.BigEndian.Uint16(quote.payload[0:2])
	dst := binary.BigEndian.Uint16(quote.payload[2:4])
	p.Kind = bronzeflow.Refuse
	// The quoted packet is the caller's.
	return setKey(&p.Key, protocol, &quote, src, dst, false)
}

// isOpening reports whether a quoted TCP header, which may be cut off, has the
// SYN flag.
func isOpening(header []byte) bool {
	return len(header) > tcpFlagsOffset && TCPFlags(header[tcpFlagsOffset])&SYN != 0
}

// parseQuote4 decodes the packet that an IPv4 "unreachable" in d quotes.
func (r *Parser) parseQuote4(d, quote *datagram) error {
	if len(d.payload) < icmp4HeaderLen+ipv4HeaderLen {
		return ErrTruncated
	}
	if r.icmp4.DecodeFromBytes(d.payload, gopacket.NilDecodeFeedback) != nil {
		return ErrHeader
	}
	if gopacket.FoldChecksum(gopacket.ComputeChecksum(d.payload, 0)) != 0 {
		return ErrChecksum
	}
	if r.icmp4.TypeCode.Type() != layers.ICMPv4TypeDestinationUnreachable {
		return ErrProtocol
	}
	if r.icmp4.TypeCode.Code() == layers.ICMPv4CodeFragmentationNeeded {
		return ErrTooBig
	}
	b := r.icmp4.Payload
	if b[0]>>4 != 4 || r.quote4.DecodeFromBytes(b, gopacket.NilDecodeFeedback) != nil {
		return ErrHeader
	}
	if r.quote4.FragOffset != 0 {
		return ErrFragment
	}
	quote.src = mapIPv4(r.quote4.SrcIP)
	quote.dst = mapIPv4(r.quote4.DstIP)
	quote.next = r.quote4.Protocol
	quote.payload = r.quote4.Payload
	return nil
}

// parseQuote6 is parseQuote4 for IPv6.
func (r *Parser) parseQuote6(d, quote *datagram) error {
	if len(d.payload) < icmp6HeaderLen+ipv6HeaderLen {
		return ErrTruncated
	}
	if r.icmp6.DecodeFromBytes(d.payload, gopacket.NilDecodeFeedback) != nil {
		return ErrHeader
	}
	if !r.icmp6ChecksumValid() {
		return ErrChecksum
	}
	switch r.icmp6.TypeCode.Type() {
	case layers.ICMPv6TypeDestinationUnreachable:
	case layers.ICMPv6TypePacketTooBig:
		return ErrTooBig
	default:
		return ErrProtocol
	}
	// Four unused bytes stand between the header and the quote.
	b := r.icmp6.Payload[icmp6HeaderLen-len(r.icmp6.Contents):]
	if b[0]>>4 != 6 || r.quote6.DecodeFromBytes(b, gopacket.NilDecodeFeedback) != nil {
		return ErrHeader
	}
	quote.src = [16]byte(r.quote6.SrcIP)
	quote.dst = [16]byte(r.quote6.DstIP)
	if isMapped(quote.src) || isMapped(quote.dst) {
		return ErrAddress
	}
	quote.next = r.quote6.NextHeader
	if r.quote6.HopByHop != nil {
		quote.next = r.quote6.HopByHop.NextHeader
	}
	var err error
	quote.next, quote.payload, err = r.skipExtensions(quote.next, r.quote6.Payload)
	return err
}

func (r *Parser) icmp6ChecksumValid() bool {
	if r.icmp6.SetNetworkLayerForChecksum(&r.ip6) != nil {
		return false
	}
	err, result := r.icmp6.VerifyChecksum()
	return err == nil && result.Valid
}
