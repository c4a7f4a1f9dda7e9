package bronzetest

import (
	"net"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// hopLimit is the TTL or hop limit of the packets that the stand-ins build.
const hopLimit = 64

// errNotSegment is returned for a packet that is neither TCP nor UDP.
var errNotSegment = errors.New("packet is neither TCP nor UDP")

// segment is one packet of a caller or backend server. It is encoded and decoded
// with gopacket, independently of the code under test.
type segment struct {
	Src, Dst netip.AddrPort
	Protocol bronzeflow.Protocol
	// Mark identifies the balancer to which the packet was sent, so that the
	// receiver can tell whether another one delivered it. It is carried in
	// the traffic class.
	Mark               uint8
	SYN, ACK, FIN, RST bool
	Seq, Ack           uint32
	Payload            []byte
}

// marshal returns the encoded IP packet.
func (s *segment) marshal() (raw []byte, err error) {
	defer annotate(&err, "build packet")
	ip, network := s.networkLayer()
	transport, err := s.transportLayer(network)
	if err != nil {
		return nil, err
	}
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err = gopacket.SerializeLayers(buf, opts, ip, transport, gopacket.Payload(s.Payload)); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

func (s *segment) networkLayer() (gopacket.SerializableLayer, gopacket.NetworkLayer) {
	protocol := layers.IPProtocol(s.Protocol)
	src, dst := net.IP(s.Src.Addr().AsSlice()), net.IP(s.Dst.Addr().AsSlice())
	if s.Dst.Addr().Is4() {
		ip := &layers.IPv4{Version: 4, TOS: s.Mark, TTL: hopLimit, Protocol: protocol, SrcIP: src, DstIP: dst}
		return ip, ip
	}
	ip := &layers.IPv6{Version: 6, TrafficClass: s.Mark, HopLimit: hopLimit, NextHeader: protocol, SrcIP: src, DstIP: dst}
	return ip, ip
}

func (s *segment) transportLayer(network gopacket.NetworkLayer) (gopacket.SerializableLayer, error) {
	if s.Protocol == bronzeflow.UDP {
		udp := &layers.UDP{SrcPort: layers.UDPPort(s.Src.Port()), DstPort: layers.UDPPort(s.Dst.Port())}
		return udp, udp.SetNetworkLayerForChecksum(network)
	}
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(s.Src.Port()), DstPort: layers.TCPPort(s.Dst.Port()),
		Seq: s.Seq, Ack: s.Ack, SYN: s.SYN, ACK: s.ACK, FIN: s.FIN, RST: s.RST, Window: 65535,
	}
	return tcp, tcp.SetNetworkLayerForChecksum(network)
}

// parseSegment decodes an IP packet. The payload is a slice of raw.
func parseSegment(raw []byte) (s segment, err error) {
	defer annotate(&err, "read packet")
	first := layers.LayerTypeIPv4
	if len(raw) > 0 && raw[0]>>4 == 6 {
		first = layers.LayerTypeIPv6
	}
	p := gopacket.NewPacket(raw, first, gopacket.DecodeOptions{NoCopy: true})
	if failure := p.ErrorLayer(); failure != nil {
		return s, failure.Error()
	}
	var src, dst netip.Addr
	switch ip := p.NetworkLayer().(type) {
	case *layers.IPv4:
		s.Mark = ip.TOS
		src, _ = netip.AddrFromSlice(ip.SrcIP)
		dst, _ = netip.AddrFromSlice(ip.DstIP)
	case *layers.IPv6:
		s.Mark = ip.TrafficClass
		src, _ = netip.AddrFromSlice(ip.SrcIP)
		dst, _ = netip.AddrFromSlice(ip.DstIP)
	}
	switch t := p.TransportLayer().(type) {
	case *layers.TCP:
		s.Protocol = bronzeflow.TCP
		s.Src = netip.AddrPortFrom(src, uint16(t.SrcPort))
		s.Dst = netip.AddrPortFrom(dst, uint16(t.DstPort))
		s.SYN, s.ACK, s.FIN, s.RST, s.Seq, s.Ack = t.SYN, t.ACK, t.FIN, t.RST, t.Seq, t.Ack
		s.Payload = t.Payload
	case *layers.UDP:
		s.Protocol = bronzeflow.UDP
		s.Src = netip.AddrPortFrom(src, uint16(t.SrcPort))
		s.Dst = netip.AddrPortFrom(dst, uint16(t.DstPort))
		s.Payload = t.Payload
	default:
		return s, errNotSegment
	}
	return s, nil
}

// annotate wraps *err, unless it is nil, with what was being done.
func annotate(err *error, what string) {
	if *err != nil {
		*err = errors.Wrap(*err, what)
	}
}
