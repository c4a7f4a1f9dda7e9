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
	// portsLen is as much of a quoted transport header as names the flow.
	portsLen = 4
)

// parseICMP finds the flow whose packet an ICMP error quotes. Unreachable
// from the server's side is Refuse. "Packet too big" is Data without payload
// in both directions: it must reach the sender of the packet that it quotes,
// or path MTU discovery fails and its connection hangs on large packets.
func (r *Parser) parseICMP(d *datagram, p *bronzeflow.Packet, fromServer bool) error {
	var quote datagram
	var kind bronzeflow.Kind
	var err error
	if d.next == layers.IPProtocolICMPv4 {
		kind, err = r.quoted4(d, &quote)
	} else {
		kind, err = r.quoted6(d, &quote)
	}
	if err != nil {
		return err
	}
	if kind == bronzeflow.Refuse && !fromServer {
		return ErrProtocol
	}
	if quote.src != d.dst {
		return ErrQuote
	}
	protocol := bronzeflow.Protocol(quote.next)
	if protocol != bronzeflow.TCP && protocol != bronzeflow.UDP {
		return ErrProtocol
	}
	if len(quote.payload) < portsLen {
		return ErrTruncated
	}
	src := binary.BigEndian.Uint16(quote.payload[0:2])
	dst := binary.BigEndian.Uint16(quote.payload[2:4])
	p.Kind = kind
	// The quoted packet went the other way.
	return setKey(&p.Key, protocol, &quote, src, dst, !fromServer)
}

func (r *Parser) quoted4(d, quote *datagram) (kind bronzeflow.Kind, err error) {
	if len(d.payload) < icmp4HeaderLen+ipv4HeaderLen {
		return kind, ErrTruncated
	}
	if r.icmp4.DecodeFromBytes(d.payload, gopacket.NilDecodeFeedback) != nil {
		return kind, ErrHeader
	}
	if gopacket.FoldChecksum(gopacket.ComputeChecksum(d.payload, 0)) != 0 {
		return kind, ErrChecksum
	}
	if r.icmp4.TypeCode.Type() != layers.ICMPv4TypeDestinationUnreachable {
		return kind, ErrProtocol
	}
	b := r.icmp4.Payload
	if b[0]>>4 != 4 || r.quote4.DecodeFromBytes(b, gopacket.NilDecodeFeedback) != nil {
		return kind, ErrHeader
	}
	if r.quote4.FragOffset != 0 {
		return kind, ErrFragment
	}
	quote.src = mapped(r.quote4.SrcIP)
	quote.dst = mapped(r.quote4.DstIP)
	quote.next = r.quote4.Protocol
	quote.payload = r.quote4.Payload
	if r.icmp4.TypeCode.Code() == layers.ICMPv4CodeFragmentationNeeded {
		return bronzeflow.Data, nil
	}
	return bronzeflow.Refuse, nil
}

func (r *Parser) quoted6(d, quote *datagram) (kind bronzeflow.Kind, err error) {
	if len(d.payload) < icmp6HeaderLen+ipv6HeaderLen {
		return kind, ErrTruncated
	}
	if r.icmp6.DecodeFromBytes(d.payload, gopacket.NilDecodeFeedback) != nil {
		return kind, ErrHeader
	}
	if !r.icmp6ChecksumValid() {
		return kind, ErrChecksum
	}
	switch r.icmp6.TypeCode.Type() {
	case layers.ICMPv6TypeDestinationUnreachable:
		kind = bronzeflow.Refuse
	case layers.ICMPv6TypePacketTooBig:
		kind = bronzeflow.Data
	default:
		return kind, ErrProtocol
	}
	// Four bytes, unused or the MTU, stand between the header and the quote.
	b := r.icmp6.Payload[icmp6HeaderLen-len(r.icmp6.Contents):]
	if b[0]>>4 != 6 || r.quote6.DecodeFromBytes(b, gopacket.NilDecodeFeedback) != nil {
		return kind, ErrHeader
	}
	quote.src = [16]byte(r.quote6.SrcIP)
	quote.dst = [16]byte(r.quote6.DstIP)
	if isMapped(quote.src) || isMapped(quote.dst) {
		return kind, ErrAddress
	}
	quote.next = r.quote6.NextHeader
	if r.quote6.HopByHop != nil {
		quote.next = r.quote6.HopByHop.NextHeader
	}
	quote.next, quote.payload, err = r.skipExtensions(quote.next, r.quote6.Payload)
	return kind, err
}

func (r *Parser) icmp6ChecksumValid() bool {
	if r.icmp6.SetNetworkLayerForChecksum(&r.ip6) != nil {
		return false
	}
	err, result := r.icmp6.VerifyChecksum()
	return err == nil && result.Valid
}
