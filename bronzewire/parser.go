package bronzewire

import (
	"encoding/binary"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// The minimum header lengths, in bytes.
const (
	ipv4HeaderLen = 20
	ipv6HeaderLen = 40
	tcpHeaderLen  = 20
	udpHeaderLen  = 8
)

// Parser parses IP packets into bronzeflow.Packets. The zero value is ready to
// use. It reuses its decoders, so a packet without rare options causes no
// allocation. A Parser must not be used concurrently, nor copied after use.
type Parser struct {
	ip4    layers.IPv4
	ip6    layers.IPv6
	skip   layers.IPv6ExtensionSkipper
	tcp    layers.TCP
	udp    layers.UDP
	icmp4  layers.ICMPv4
	icmp6  layers.ICMPv6
	quote4 layers.IPv4
	quote6 layers.IPv6
	// icmp is set if the last packet was an ICMP message.
	icmp bool
}

// datagram is an IP packet with its network header decoded.
type datagram struct {
	src, dst [16]byte
	next     layers.IPProtocol
	// raw ends where the IP header says; payload is raw after the headers.
	raw, payload []byte
}

// FromCaller parses a packet on its way from a caller to a service, whose
// address is the destination. On success p is overwritten entirely, and p.Raw
// shares raw's memory; on an error, one of this package's Err values, p is the
// zero Packet.
func (r *Parser) FromCaller(raw []byte, p *bronzeflow.Packet) error {
	return r.parse(raw, p, false)
}

// FromServer parses a packet on its way from a backend server to a caller: the
// service's address is the source. An ICMP or ICMPv6 "unreachable" is a refusal
// of the opening or datagram that it quotes, whichever router sent it.
// Otherwise the contract is that of FromCaller.
func (r *Parser) FromServer(raw []byte, p *bronzeflow.Packet) error {
	return r.parse(raw, p, true)
}

func (r *Parser) parse(raw []byte, p *bronzeflow.Packet, fromServer bool) error {
	*p = bronzeflow.Packet{}
	var d datagram
	if err := r.network(raw, &d); err != nil {
		return err
	}
	if err := r.transport(&d, p, fromServer); err != nil {
		*p = bronzeflow.Packet{}
		return err
	}
	p.Raw = d.raw
	return nil
}

func (r *Parser) transport(d *datagram, p *bronzeflow.Packet, fromServer bool) error {
	r.icmp = false
	switch d.next {
	case layers.IPProtocolTCP:
		return r.parseTCP(d, p, fromServer)
	case layers.IPProtocolUDP:
		return r.parseUDP(d, p, fromServer)
	case layers.IPProtocolICMPv4, layers.IPProtocolICMPv6:
		r.icmp = true
		return r.parseICMP(d, p, fromServer)
	default:
		return ErrProtocol
	}
}

func (r *Parser) parseTCP(d *datagram, p *bronzeflow.Packet, fromServer bool) error {
	if len(d.payload) < tcpHeaderLen {
		return ErrTruncated
	}
	if r.tcp.DecodeFromBytes(d.payload, gopacket.NilDecodeFeedback) != nil {
		return ErrHeader
	}
	kind := callerKind(&r.tcp)
	if fromServer {
		kind = serverKind(&r.tcp)
	}
	if kind == bronzeflow.Invalid {
		return ErrFlags
	}
	p.Kind = kind
	p.Payload = len(r.tcp.Payload)
	p.Echo = echo(&r.tcp, kind, fromServer)
	if !fromServer {
		p.Sequence = r.tcp.Seq
	}
	return setKey(&p.Key, bronzeflow.TCP, d, uint16(r.tcp.SrcPort), uint16(r.tcp.DstPort), fromServer)
}

func (r *Parser) parseUDP(d *datagram, p *bronzeflow.Packet, fromServer bool) error {
	if len(d.payload) < udpHeaderLen {
		return ErrTruncated
	}
	// gopacket takes a length of 0 for a jumbogram and clips one that is too
	// long; either would count bytes that the receiver never gets.
	n := int(binary.BigEndian.Uint16(d.payload[4:6]))
	if n < udpHeaderLen || n > len(d.payload) {
		return ErrHeader
	}
	if r.udp.DecodeFromBytes(d.payload, gopacket.NilDecodeFeedback) != nil {
		return ErrHeader
	}
	p.Kind = bronzeflow.Datagram
	p.Payload = len(r.udp.Payload)
	return setKey(&p.Key, bronzeflow.UDP, d, uint16(r.udp.SrcPort), uint16(r.udp.DstPort), fromServer)
}

// callerKind returns the kind of a caller's packet, or Invalid for flags that
// no caller's stack sends.
func callerKind(t *layers.TCP) bronzeflow.Kind {
	switch {
	case t.SYN && (t.ACK || t.FIN || t.RST), t.FIN && t.RST:
		return bronzeflow.Invalid
	case t.SYN:
		return bronzeflow.Open
	case t.RST:
		return bronzeflow.Reset
	case !t.ACK:
		return bronzeflow.Invalid
	case t.FIN:
		return bronzeflow.Close
	default:
		return bronzeflow.Data
	}
}

// serverKind returns the kind of a server's packet, or Invalid for flags that
// no server's stack sends.
func serverKind(t *layers.TCP) bronzeflow.Kind {
	switch {
	case t.SYN && (!t.ACK || t.FIN || t.RST), t.FIN && t.RST:
		return bronzeflow.Invalid
	case t.SYN:
		return bronzeflow.Accept
	case t.RST:
		return bronzeflow.Refuse
	case !t.ACK:
		return bronzeflow.Invalid
	case t.FIN:
		return bronzeflow.Close
	default:
		return bronzeflow.Data
	}
}

// echo returns the value that ties a TCP packet to one server's connection.
func echo(t *layers.TCP, kind bronzeflow.Kind, fromServer bool) uint32 {
	switch {
	case kind == bronzeflow.Accept:
		return t.Seq + 1
	case !fromServer && t.ACK:
		return t.Ack
	default:
		return 0
	}
}

func setKey(k *bronzeflow.Key, protocol bronzeflow.Protocol, d *datagram, src, dst uint16, fromServer bool) error {
	if src == 0 || dst == 0 {
		return ErrPorts
	}
	k.Protocol = protocol
	if fromServer {
		k.Caller, k.Service = d.dst, d.src
		k.CallerPort, k.ServicePort = dst, src
		return nil
	}
	k.Caller, k.Service = d.src, d.dst
	k.CallerPort, k.ServicePort = src, dst
	return nil
}

// isEndpoint reports whether a can be an endpoint of a flow.
func isEndpoint(a *[16]byte) bool {
	addr := netip.AddrFrom16(*a).Unmap()
	return !addr.IsUnspecified() && !addr.IsMulticast() && addr != broadcast
}

var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})
