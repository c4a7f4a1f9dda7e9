package bronzewire

import (
	"sync"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// How much of the refused packet an ICMP error quotes, in bytes: as much as
// fits the smallest packet that every path carries.
const (
	maxQuote4 = 576 - ipv4HeaderLen - icmp4HeaderLen
	maxQuote6 = 1280 - ipv6HeaderLen - icmp6HeaderLen
)

// answerer parses the packet that is answered.
type answerer struct {
	parser Parser
	packet bronzeflow.Packet
}

var answerers = sync.Pool{New: func() any { return new(answerer) }}

// Refusal appends to dst the packet that tells a caller that what it sent in
// raw is refused, as the service would: a TCP reset, or ICMP "port
// unreachable" for UDP. It returns nil and no error when there is nothing to
// send, because raw itself is a reset or an ICMP message: answering those
// could make two hosts answer each other for ever.
func Refusal(dst, raw []byte) (b []byte, err error) {
	defer annotate(&err, "build a refusal")
	a := answerers.Get().(*answerer)
	defer answerers.Put(a)
	if err := a.parser.FromCaller(raw, &a.packet); err != nil {
		return nil, err
	}
	switch {
	case a.parser.icmp, a.packet.Kind == bronzeflow.Reset:
		return nil, nil
	case a.packet.Key.Protocol == bronzeflow.UDP:
		return a.appendUnreachable(dst)
	default:
		return a.appendReset(dst)
	}
}

// appendReset appends the reset that a host without the connection answers.
func (a *answerer) appendReset(dst []byte) ([]byte, error) {
	t := &a.parser.tcp
	k := &a.packet.Key
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

func (a *answerer) appendUnreachable(dst []byte) ([]byte, error) {
	service := a.packet.Key.ServiceAddrPort().Addr()
	caller := a.packet.Key.CallerAddrPort().Addr()
	w := builders.Get().(*builder)
	defer builders.Put(w)
	if service.Is4() {
		quote := a.packet.Raw[:min(len(a.packet.Raw), maxQuote4)]
		w.icmp4 = layers.ICMPv4{TypeCode: layers.CreateICMPv4TypeCode(
			layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodePort)}
		ip, err := w.network(service, caller, layers.IPProtocolICMPv4, icmp4HeaderLen+len(quote))
		if err != nil {
			return nil, err
		}
		return w.append(dst, ip, &w.icmp4, gopacket.Payload(quote))
	}
	quote := a.packet.Raw[:min(len(a.packet.Raw), maxQuote6)]
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
// connection that raw belongs to. raw is either a caller's packet whose
// payload was not forwarded to that server, or (fromServer) a packet that the
// server sent. The reset's sequence number is the one that the server expects
// next, because servers ignore others or only challenge them. It returns nil
// and no error when there is nothing to cancel: for UDP, for ICMP messages,
// and for a server's own reset.
func Cancellation(dst, raw []byte, fromServer bool) (b []byte, err error) {
	defer annotate(&err, "build a cancellation")
	a := answerers.Get().(*answerer)
	defer answerers.Put(a)
	if err := a.parser.parse(raw, &a.packet, fromServer); err != nil {
		return nil, err
	}
	p := &a.packet
	if a.parser.icmp || p.Key.Protocol == bronzeflow.UDP || p.Kind == bronzeflow.Refuse {
		return nil, nil
	}
	t := &a.parser.tcp
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
// caller's Data or Close: a segment one below the caller's sequence number,
// which holds no payload. A server that has the connection acknowledges it
// and runs nothing; one that hasn't answers with a reset. It returns ErrFlags
// for other TCP packets and ErrProtocol for all else.
func Probe(dst, raw []byte) (b []byte, err error) {
	defer annotate(&err, "build a probe")
	a := answerers.Get().(*answerer)
	defer answerers.Put(a)
	if err := a.parser.FromCaller(raw, &a.packet); err != nil {
		return nil, err
	}
	p := &a.packet
	if a.parser.icmp || p.Key.Protocol != bronzeflow.TCP {
		return nil, ErrProtocol
	}
	if p.Kind != bronzeflow.Data && p.Kind != bronzeflow.Close {
		return nil, ErrFlags
	}
	t := &a.parser.tcp
	probe := layers.TCP{
		ACK:     true,
		Seq:     t.Seq - 1,
		Ack:     t.Ack,
		Window:  t.Window,
		Options: timestamps(t.Options),
	}
	return appendTCP(dst, p.Key.CallerAddrPort(), p.Key.ServiceAddrPort(), &probe, nil)
}

// timestamps keeps the timestamps option alone. A server that negotiated it
// may drop a segment without it and stay silent (RFC 7323, section 3.2), which
// would look like a server without the connection.
func timestamps(options []layers.TCPOption) []layers.TCPOption {
	for i := range options {
		if options[i].OptionType == layers.TCPOptionKindTimestamps {
			return options[i : i+1]
		}
	}
	return nil
}
