package bronzewire

import (
	"net/netip"
	"sync"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/pkg/errors"
)

// TCPFlags is a set of flags of a TCP header.
type TCPFlags uint8

// The flags of a TCP header.
const (
	FIN TCPFlags = 1 << iota
	SYN
	RST
	PSH
	ACK
)

const (
	defaultTTL    = 64
	defaultWindow = 65535
	maxPacketLen  = 65535
)

// builder holds the layers of one packet to build. Builders are pooled, so
// that many refusals at once don't each allocate a buffer.
type builder struct {
	buf   gopacket.SerializeBuffer
	ip4   layers.IPv4
	ip6   layers.IPv6
	tcp   layers.TCP
	udp   layers.UDP
	icmp4 layers.ICMPv4
	icmp6 layers.ICMPv6
}

var builders = sync.Pool{New: func() any {
	return &builder{buf: gopacket.NewSerializeBuffer()}
}}

var serializeOptions = gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}

// BuildTCP appends to dst an IP packet with one TCP segment, with valid
// checksums. The addresses must be of one family; an IPv4-mapped one counts as
// IPv4.
func BuildTCP(dst []byte, src, to netip.AddrPort, flags TCPFlags, seq, ack uint32, payload []byte) (b []byte, err error) {
	defer annotate(&err, "build a TCP packet")
	t := layers.TCP{
		Seq:    seq,
		Ack:    ack,
		FIN:    flags&FIN != 0,
		SYN:    flags&SYN != 0,
		RST:    flags&RST != 0,
		PSH:    flags&PSH != 0,
		ACK:    flags&ACK != 0,
		Window: defaultWindow,
	}
	return appendTCP(dst, src, to, &t, payload)
}

// BuildUDP appends to dst an IP packet with one UDP datagram, with valid
// checksums. The addresses must be of one family; an IPv4-mapped one counts as
// IPv4.
func BuildUDP(dst []byte, src, to netip.AddrPort, payload []byte) (b []byte, err error) {
	defer annotate(&err, "build a UDP packet")
	w := builders.Get().(*builder)
	defer builders.Put(w)
	w.udp = layers.UDP{SrcPort: layers.UDPPort(src.Port()), DstPort: layers.UDPPort(to.Port())}
	ip, err := w.network(src.Addr(), to.Addr(), layers.IPProtocolUDP, udpHeaderLen+len(payload))
	if err != nil {
		return nil, err
	}
	return w.append(dst, ip, &w.udp, gopacket.Payload(payload))
}

// appendTCP appends a packet with the fields of t, except its ports and
// checksum.
func appendTCP(dst []byte, src, to netip.AddrPort, t *layers.TCP, payload []byte) ([]byte, error) {
	w := builders.Get().(*builder)
	defer builders.Put(w)
	w.tcp = *t
	w.tcp.SrcPort = layers.TCPPort(src.Port())
	w.tcp.DstPort = layers.TCPPort(to.Port())
	ip, err := w.network(src.Addr(), to.Addr(), layers.IPProtocolTCP, maxTCPHeaderLen+len(payload))
	if err != nil {
		return nil, err
	}
	return w.append(dst, ip, &w.tcp, gopacket.Payload(payload))
}

// maxTCPHeaderLen is the length of a TCP header with all options it can hold,
// in bytes.
const maxTCPHeaderLen = 60

// network prepares the IP header for n bytes of payload, and includes it in the
// checksums of the transport layers.
func (w *builder) network(src, dst netip.Addr, next layers.IPProtocol, n int) (gopacket.SerializableLayer, error) {
	src, dst = src.Unmap(), dst.Unmap()
	if !src.IsValid() || !dst.IsValid() || src.Is4() != dst.Is4() {
		return nil, ErrAddress
	}
	if n > maxPacketLen-ipv6HeaderLen {
		return nil, ErrSize
	}
	if src.Is4() {
		w.ip4 = layers.IPv4{
			Version:  4,
			TTL:      defaultTTL,
			Flags:    layers.IPv4DontFragment,
			Protocol: next,
			SrcIP:    src.AsSlice(),
			DstIP:    dst.AsSlice(),
		}
		return &w.ip4, w.setChecksumLayer(&w.ip4)
	}
	w.ip6 = layers.IPv6{
		Version:    6,
		HopLimit:   defaultTTL,
		NextHeader: next,
		SrcIP:      src.AsSlice(),
		DstIP:      dst.AsSlice(),
	}
	return &w.ip6, w.setChecksumLayer(&w.ip6)
}

// setChecksumLayer makes the checksums of the transport layers cover ip.
func (w *builder) setChecksumLayer(ip gopacket.NetworkLayer) error {
	if err := w.tcp.SetNetworkLayerForChecksum(ip); err != nil {
		return err
	}
	if err := w.udp.SetNetworkLayerForChecksum(ip); err != nil {
		return err
	}
	return w.icmp6.SetNetworkLayerForChecksum(ip)
}

func (w *builder) append(dst []byte, ls ...gopacket.SerializableLayer) ([]byte, error) {
	if err := gopacket.SerializeLayers(w.buf, serializeOptions, ls...); err != nil {
		return nil, err
	}
	return append(dst, w.buf.Bytes()...), nil
}

// annotate wraps *err, if not nil, with a description of what failed.
func annotate(err *error, doing string) {
	if *err != nil {
		*err = errors.Wrap(*err, doing)
	}
}
