package bronzewire

import (
	"encoding/binary"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// maxExtensions bounds the IPv6 extension headers that are skipped, so that a
// packet full of them costs no more than an ordinary one.
const maxExtensions = 4

// The IPv4 options that route a packet through other hosts than its destination.
const (
	optionLooseRoute  = 131
	optionStrictRoute = 137
)

// network decodes the IP header of raw into d.
func (r *Parser) network(raw []byte, d *datagram) error {
	if len(raw) == 0 {
		return ErrTruncated
	}
	var err error
	switch raw[0] >> 4 {
	case 4:
		err = r.network4(raw, d)
	case 6:
		err = r.network6(raw, d)
	default:
		return ErrVersion
	}
	if err != nil {
		return err
	}
	if !isEndpoint(&d.src) || !isEndpoint(&d.dst) {
		return ErrAddress
	}
	return nil
}

func (r *Parser) network4(raw []byte, d *datagram) error {
	if len(raw) < ipv4HeaderLen {
		return ErrTruncated
	}
	// gopacket takes a length of 0 for "as long as the buffer".
	n := int(binary.BigEndian.Uint16(raw[2:4]))
	if n < ipv4HeaderLen {
		return ErrHeader
	}
	if n > len(raw) {
		return ErrTruncated
	}
	if r.ip4.DecodeFromBytes(raw[:n], gopacket.NilDecodeFeedback) != nil {
		return ErrHeader
	}
	if gopacket.FoldChecksum(gopacket.ComputeChecksum(r.ip4.Contents, 0)) != 0 {
		return ErrChecksum
	}
	if r.ip4.Flags&layers.IPv4MoreFragments != 0 || r.ip4.FragOffset != 0 {
		return ErrFragment
	}
	if sourceRouted(r.ip4.Options) {
		return ErrHeader
	}
	d.src = mapIPv4(r.ip4.SrcIP)
	d.dst = mapIPv4(r.ip4.DstIP)
	d.next = r.ip4.Protocol
	d.raw = raw[:n]
	d.payload = r.ip4.Payload
	return protocolOfFamily(d.next, layers.IPProtocolICMPv6)
}

func (r *Parser) network6(raw []byte, d *datagram) error {
	if len(raw) < ipv6HeaderLen {
		return ErrTruncated
	}
	// A length of 0 announces a jumbogram, which no UDP datagram can hold.
	n := ipv6HeaderLen + int(binary.BigEndian.Uint16(raw[4:6]))
	if n == ipv6HeaderLen {
		return ErrHeader
	}
	if n > len(raw) {
		return ErrTruncated
	}
	if r.ip6.DecodeFromBytes(raw[:n], gopacket.NilDecodeFeedback) != nil {
		return ErrHeader
	}
	d.src = [16]byte(r.ip6.SrcIP)
	d.dst = [16]byte(r.ip6.DstIP)
	// Keys hold IPv4 addresses in mapped form. An IPv6 packet to a mapped
	// address would have the key of an IPv4 flow and could reach that flow's
	// Customer; no host sends one on the wire.
	if isMapped(d.src) || isMapped(d.dst) {
		return ErrAddress
	}
	d.raw = raw[:n]
	d.next = r.ip6.NextHeader
	if r.ip6.HopByHop != nil {
		d.next = r.ip6.HopByHop.NextHeader
	}
	var err error
	d.next, d.payload, err = r.skipExtensions(d.next, r.ip6.Payload)
	if err != nil {
		return err
	}
	return protocolOfFamily(d.next, layers.IPProtocolICMPv4)
}

// skipExtensions skips destination options up to the transport header. Routing
// headers are refused: the destination may not be the final one.
func (r *Parser) skipExtensions(next layers.IPProtocol, b []byte) (layers.IPProtocol, []byte, error) {
	for range maxExtensions {
		switch next {
		case layers.IPProtocolIPv6Destination:
		case layers.IPProtocolIPv6Fragment:
			return next, b, ErrFragment
		case layers.IPProtocolIPv6HopByHop, layers.IPProtocolIPv6Routing:
			return next, b, ErrHeader
		default:
			return next, b, nil
		}
		if r.skip.DecodeFromBytes(b, gopacket.NilDecodeFeedback) != nil {
			return next, b, ErrHeader
		}
		next, b = r.skip.NextHeader, r.skip.Payload
	}
	return next, b, ErrHeader
}

// protocolOfFamily refuses the ICMP of the other address family, whose quoted
// packet would be parsed in the wrong form.
func protocolOfFamily(next, other layers.IPProtocol) error {
	if next == other {
		return ErrProtocol
	}
	return nil
}

func sourceRouted(options []layers.IPv4Option) bool {
	for i := range options {
		switch options[i].OptionType {
		case optionLooseRoute, optionStrictRoute:
			return true
		}
	}
	return false
}

// mapIPv4 returns the IPv4-mapped form of the 4 bytes ip.
func mapIPv4(ip []byte) (a [16]byte) {
	a[10], a[11] = 0xff, 0xff
	copy(a[12:], ip)
	return a
}

func isMapped(a [16]byte) bool {
	return netip.AddrFrom16(a).Is4In6()
}
