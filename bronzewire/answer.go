package bronzewire

import (
	"sync"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// How much of the refused packet an ICMP error quotes, in bytes: as much as
// fits into the smallest packet that every path carries.
const (
	maxQuote4 = 576 - ipv4HeaderLen - icmp4HeaderLen
	maxQuote6 = 1280 - ipv6HeaderLen - icmp6HeaderLen
)

// responder parses the packet from which another is built.
type responder struct {
	parser Parser
	packet bronzeflow.Packet
}

var responders = sync.Pool{New: func() any { return new(responder) }}

// Refusal appends to dst the packet that tells a caller that its packet raw is
// refused, as the service would send it: a TCP reset, or ICMP "port
// unreachable" for UDP. It returns nil and no error if raw itself is a reset or
// an ICMP message: answering those could make two hosts answer each other
// forever.
func Refusal(dst, raw []byte) (b []byte, err error) {
	defer annotate(&err, "build a refusal")
	r := responders.Get().(*responder)
	defer responders.Put(r)
	if err := r.parser.FromCaller(raw, &r.packet); err != nil {
		return nil, err
	}
	switch {
	case r.parser.icmp, r.packet.Kind == bronzeflow.Reset:
		return nil, nil
	case r.packet.Key.Protocol == bronzeflow.UDP:
		return r.appendUnreachable(dst)
	default:
		return r.appendReset(dst)
	}
}

// appendReset appends the reset that a host without the connection sends.
func (r *responder) appendReset(dst []byte) ([]byte, error) {
	t := &r.parser.tcp
	k := &r.packet.Key
	reset := layers.TCP{RST: true, Seq: t.Ack}
	if !t.ACK {
		reset = layers.TCP{RST: true, ACK: true, Ack: t.Seq + segmentLen(t)}
	}
	return appendTCP(dst, k.ServiceAddrPort(), k.CallerAddrPort(), &reset, nil)
}

// segmentLen returns how much sequence space t takes.
func segmentLen(t *layers.TCP) uint32 {
	n := uint32(len(t.Payload))
	if t.SYN {
		n++
	}
	if t.FIN {
		n++
	}
	return n
}

func (r *responder) appendUnreachable(dst []byte) ([]byte, error) {
	service := r.packet.Key.ServiceAddrPort().Addr()
	caller := r.packet.Key.CallerAddrPort().Addr()
	w := builders.Get().(*builder)
	defer builders.Put(w)
	if service.Is4() {
		quote := r.packet.Raw[:min(len(r.packet.Raw), maxQuote4)]
		w.icmp4 = layers.ICMPv4{TypeCode: layers.CreateICMPv4TypeCode(
			layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodePort)}
		ip, err := w.network(service, caller, layers.IPProtocolICMPv4, icmp4HeaderLen+len(quote))
		if err != nil {
			return nil, err
		}
		return w.append(dst, ip, &w.icmp4, gopacket.Payload(quote))
	}
	quote := r.packet.Raw[:min(len(r.packet.Raw), maxQuote6)]
	w.icmp6 = layers.ICMPv6{TypeCode: layers.CreateICMPv6TypeCode(
		layers.ICMPv6TypeDestinationUnreachable, layers.ICMPv6CodePortUnreachable)}
	ip, err := w.network(service, caller, layers.IPProtocolICMPv6, icmp6HeaderLen+len(quote))
	if err != nil {
		return nil, err
	}
	var unused [4]byte
	return w.append(dst, ip, &w.icmp6, gopacket.Payload(unused[:]), gopacket.Payload(quote))
}

// Cancellation appends to dst the reset that makes a backend server drop the
// connection of raw. raw is either a caller's packet whose payload was not
// forwarded to that server, or, with fromServer, a packet that the server sent.
// The reset has the sequence number that the server expects next, because
// servers ignore or only challenge any other. Cancellation returns nil and no
// error if there is nothing to cancel: for UDP, for ICMP messages, and for a
// server's own reset.
func Cancellation(dst, raw []byte, fromServer bool) (b []byte, err error) {
	defer annotate(&err, "build a cancellation")
	r := responders.Get().(*responder)
	defer responders.Put(r)
	if err := r.parser.parse(raw, &r.packet, fromServer); err != nil {
		return nil, err
	}
	p := &r.packet
	if r.parser.icmp || p.Key.Protocol == bronzeflow.UDP || p.Kind == bronzeflow.Refuse {
		return nil, nil
	}
	t := &r.parser.tcp
	reset := layers.TCP{RST: true, Seq: t.Seq}
	switch {
	case fromServer:
		reset.Seq = t.Ack
	case t.SYN:
		reset.Seq = t.Seq + 1
	}
	return appendTCP(dst, p.Key.CallerAddrPort(), p.Key.ServiceAddrPort(), &reset, nil)
}

// Probe appends to dst an empty keep-alive for the connection of raw, a
// caller's Data or Close: a segment without payload whose sequence number is
// one below the caller's. A server that has the connection acknowledges it and
// runs nothing; one that hasn't answers with a reset. Probe returns ErrFlags
// for other TCP packets and ErrProtocol for anything else.
func Probe(dst, raw []byte) (b []byte, err error) {
	defer annotate(&err, "build a probe")
	r := responders.Get().(*responder)
	defer responders.Put(r)
	if err := r.parser.FromCaller(raw, &r.packet); err != nil {
		return nil, err
	}
	p := &r.packet
	if r.parser.icmp || p.Key.Protocol != bronzeflow.TCP {
		return nil, ErrProtocol
	}
	if p.Kind != bronzeflow.Data && p.Kind != bronzeflow.Close {
		return nil, ErrFlags
	}
	t := &r.parser.tcp
	probe := layers.TCP{
		ACK:     true,
		Seq:     t.Seq - 1,
		Ack:     t.Ack,
		Window:  t.Window,
		Options: timestampOption(t.Options),
	}
	return appendTCP(dst, p.Key.CallerAddrPort(), p.Key.ServiceAddrPort(), &probe, nil)
}

// timestampOption returns the timestamps option alone, if there is one. A
// server that negotiated it may silently drop a segment without it (RFC 7323,
// section 3.2), which would look like a server without the connection.
func timestampOption(options []layers.TCPOption) []layers.TCPOption {
	for i := range options {
		if options[i].OptionType == layers.TCPOptionKindTimestamps {
			return options[i : i+1]
		}
	}
	return nil
}
