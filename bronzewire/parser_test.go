package bronzewire

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// endpoints are the two ends of one flow.
type endpoints struct {
	caller, service netip.AddrPort
}

var (
	endpoints4 = endpoints{netip.MustParseAddrPort("198.51.100.7:40000"), netip.MustParseAddrPort("192.0.2.10:443")}
	endpoints6 = endpoints{netip.MustParseAddrPort("[2001:db8:1::7]:40000"), netip.MustParseAddrPort("[2001:db8:2::10]:443")}
)

func (e endpoints) key(p bronzeflow.Protocol) bronzeflow.Key {
	return bronzeflow.NewKey(p, e.caller, e.service)
}

// segment returns a TCP segment from the caller, or from the server.
func (e endpoints) segment(t require.TestingT, fromServer bool, flags TCPFlags, payload string) []byte {
	src, to := e.caller, e.service
	if fromServer {
		src, to = to, src
	}
	raw, err := BuildTCP(nil, src, to, flags, 1000, 2000, []byte(payload))
	require.NoError(t, err)
	return raw
}

func (e endpoints) datagram(t require.TestingT, payload []byte) []byte {
	raw, err := BuildUDP(nil, e.caller, e.service, payload)
	require.NoError(t, err)
	return raw
}

func (r *Parser) mustParse(t require.TestingT, raw []byte, fromServer bool) bronzeflow.Packet {
	var p bronzeflow.Packet
	require.NoError(t, r.parse(raw, &p, fromServer))
	return p
}

// decoded holds the layers up to the transport header.
type decoded struct {
	ip4   layers.IPv4
	ip6   layers.IPv6
	tcp   layers.TCP
	udp   layers.UDP
	icmp4 layers.ICMPv4
	icmp6 layers.ICMPv6
}

// decode decodes raw with gopacket's chain of decoders and verifies every
// checksum. What follows the transport header is payload, whatever its port.
func decode(t require.TestingT, raw []byte) *decoded {
	var d decoded
	first, ip := layers.LayerTypeIPv4, gopacket.NetworkLayer(&d.ip4)
	if raw[0]>>4 == 6 {
		first, ip = layers.LayerTypeIPv6, &d.ip6
	}
	chain := gopacket.NewDecodingLayerParser(first, &d.ip4, &d.ip6, &d.tcp, &d.udp, &d.icmp4, &d.icmp6)
	chain.IgnoreUnsupported = true
	var types []gopacket.LayerType
	require.NoError(t, chain.DecodeLayers(raw, &types))
	require.False(t, chain.Truncated)
	require.NoError(t, d.tcp.SetNetworkLayerForChecksum(ip))
	require.NoError(t, d.udp.SetNetworkLayerForChecksum(ip))
	require.NoError(t, d.icmp6.SetNetworkLayerForChecksum(ip))
	sums := map[gopacket.LayerType]func() (error, gopacket.ChecksumVerificationResult){
		layers.LayerTypeIPv4:   d.ip4.VerifyChecksum,
		layers.LayerTypeTCP:    d.tcp.VerifyChecksum,
		layers.LayerTypeUDP:    d.udp.VerifyChecksum,
		layers.LayerTypeICMPv4: d.icmp4.VerifyChecksum,
		layers.LayerTypeICMPv6: d.icmp6.VerifyChecksum,
	}
	require.Len(t, types, 2)
	for _, l := range types {
		if l == layers.LayerTypeIPv6 {
			continue
		}
		err, result := sums[l]()
		require.NoError(t, err)
		require.True(t, result.Valid, l)
	}
	return &d
}

func decodeTCP(t require.TestingT, raw []byte) *layers.TCP {
	d := decode(t, raw)
	require.NotEmpty(t, d.tcp.Contents)
	return &d.tcp
}

func drawEndpoints(t *rapid.T) endpoints {
	prefix := []byte{198, 51}
	length := 4
	if rapid.Bool().Draw(t, "IPv6") {
		prefix, length = []byte{0x20, 0x01}, 16
	}
	draw := func(name string) netip.AddrPort {
		b := rapid.SliceOfN(rapid.Byte(), length, length).Draw(t, name)
		copy(b, prefix)
		a, _ := netip.AddrFromSlice(b)
		return netip.AddrPortFrom(a, rapid.Uint16Min(1).Draw(t, name+"Port"))
	}
	return endpoints{draw("Caller"), draw("Service")}
}

// referenceKind returns the kind for flags from a table for each direction.
func referenceKind(flags TCPFlags, fromServer bool) bronzeflow.Kind {
	caller := map[TCPFlags]bronzeflow.Kind{
		SYN: bronzeflow.Open, RST: bronzeflow.Reset, RST | ACK: bronzeflow.Reset,
		ACK: bronzeflow.Data, FIN | ACK: bronzeflow.Close,
	}
	server := map[TCPFlags]bronzeflow.Kind{
		SYN | ACK: bronzeflow.Accept, RST: bronzeflow.Refuse, RST | ACK: bronzeflow.Refuse,
		ACK: bronzeflow.Data, FIN | ACK: bronzeflow.Close,
	}
	if fromServer {
		return server[flags&^PSH]
	}
	return caller[flags&^PSH]
}

func TestTCPRoundTrip(t *testing.T) {
	var r Parser
	rapid.Check(t, func(t *rapid.T) {
		e := drawEndpoints(t)
		fromServer := rapid.Bool().Draw(t, "fromServer")
		flags := TCPFlags(rapid.IntRange(0, 31).Draw(t, "flags"))
		seq, ack := rapid.Uint32().Draw(t, "seq"), rapid.Uint32().Draw(t, "ack")
		payload := rapid.SliceOfN(rapid.Byte(), 0, 100).Draw(t, "payload")
		src, to := e.caller, e.service
		if fromServer {
			src, to = to, src
		}
		raw, err := BuildTCP(nil, src, to, flags, seq, ack, payload)
		require.NoError(t, err)
		decode(t, raw)
		// Padding that a lower layer adds after the packet must be ignored.
		padded := slices.Concat(raw, make([]byte, rapid.IntRange(0, 9).Draw(t, "padding")))
		var p bronzeflow.Packet
		err = r.parse(padded, &p, fromServer)
		kind := referenceKind(flags, fromServer)
		if kind == bronzeflow.Invalid {
			require.ErrorIs(t, err, ErrFlags)
			require.Zero(t, p)
			return
		}
		require.NoError(t, err)
		want := bronzeflow.Packet{Key: e.key(bronzeflow.TCP), Kind: kind, Payload: len(payload), Raw: raw}
		if kind == bronzeflow.Accept {
			want.Echo = seq + 1
		} else if flags&ACK != 0 && !fromServer {
			want.Echo = ack
		}
		if !fromServer {
			want.Sequence = seq
		}
		require.Equal(t, want, p)
	})
}

func TestUDPRoundTrip(t *testing.T) {
	var r Parser
	rapid.Check(t, func(t *rapid.T) {
		e := drawEndpoints(t)
		payload := rapid.SliceOfN(rapid.Byte(), 0, 2000).Draw(t, "payload")
		raw := e.datagram(t, payload)
		decode(t, raw)
		want := bronzeflow.Packet{Key: e.key(bronzeflow.UDP), Kind: bronzeflow.Datagram, Payload: len(payload), Raw: raw}
		require.Equal(t, want, r.mustParse(t, raw, false))
		// The refusal of the datagram has the key of the same flow.
		refusal, err := Refusal(nil, raw)
		require.NoError(t, err)
		decode(t, refusal)
		want = bronzeflow.Packet{Key: want.Key, Kind: bronzeflow.Refuse, Raw: refusal}
		require.Equal(t, want, r.mustParse(t, refusal, true))
	})
}

// fixChecksum makes the checksum of raw's IPv4 header valid after a change.
func fixChecksum(raw []byte) {
	clear(raw[10:12])
	sum := gopacket.FoldChecksum(gopacket.ComputeChecksum(raw[:int(raw[0]&15)*4], 0))
	binary.BigEndian.PutUint16(raw[10:], sum)
}

func TestParserErrors(t *testing.T) {
	set := func(i int, bs ...byte) func([]byte) []byte {
		return func(raw []byte) []byte {
			copy(raw[i:], bs)
			return raw
		}
	}
	cut := func(n int) func([]byte) []byte {
		return func(raw []byte) []byte { return raw[:n] }
	}
	extension := func(next byte, bs ...byte) func([]byte) []byte {
		return func(raw []byte) []byte {
			b := slices.Concat(raw[:ipv6HeaderLen], bs, raw[ipv6HeaderLen:])
			b[6] = next
			binary.BigEndian.PutUint16(b[4:], uint16(len(b)-ipv6HeaderLen))
			return b
		}
	}
	udpLength := func(n byte) func([]byte) []byte {
		return func(raw []byte) []byte {
			raw[9], raw[24], raw[25] = byte(bronzeflow.UDP), 0, n
			return raw
		}
	}
	option := func(kind byte) func([]byte) []byte {
		return func(raw []byte) []byte {
			b := slices.Insert(raw, ipv4HeaderLen, kind, 7, 4, 10, 0, 0, 1, 0)
			b[0], b[3] = 0x47, byte(len(b))
			return b
		}
	}
	tests := []struct {
		name      string
		endpoints endpoints
		change    func([]byte) []byte
		err       error
	}{
		{"Empty", endpoints4, cut(0), ErrTruncated},
		{"ShortHeader", endpoints4, cut(19), ErrTruncated},
		{"ShortPacket", endpoints4, cut(43), ErrTruncated},
		{"ShortHeader6", endpoints6, cut(39), ErrTruncated},
		{"ShortPacket6", endpoints6, cut(63), ErrTruncated},
		{"NoRoomForTCP", endpoints4, set(3, 39), ErrTruncated},
		{"Version", endpoints4, set(0, 0x55), ErrVersion},
		{"LengthZero", endpoints4, set(2, 0, 0), ErrHeader},
		{"HeaderLength", endpoints4, set(0, 0x44), ErrHeader},
		{"Jumbogram", endpoints6, set(4, 0, 0), ErrHeader},
		{"DataOffsetSmall", endpoints4, set(32, 0x40), ErrHeader},
		{"DataOffsetLarge", endpoints4, set(32, 0xf0), ErrHeader},
		{"MoreFragments", endpoints4, set(6, 0x20), ErrFragment},
		{"FragmentOffset", endpoints4, set(6, 0, 1), ErrFragment},
		{"Fragment6", endpoints6, extension(44, 6, 0, 0, 0, 0, 0, 0, 0), ErrFragment},
		{"Routing6", endpoints6, extension(43, 6, 0, 0, 0, 0, 0, 0, 0), ErrHeader},
		{"GRE", endpoints4, set(9, 47), ErrProtocol},
		{"ICMPv6InIPv4", endpoints4, set(9, 58), ErrProtocol},
		{"PortZero", endpoints4, set(22, 0, 0), ErrPorts},
		{"Multicast", endpoints4, set(16, 224), ErrAddress},
		{"Broadcast", endpoints4, set(12, 255, 255, 255, 255), ErrAddress},
		{"Mapped", endpoints6, set(24, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff), ErrAddress},
		{"UDPLength", endpoints4, udpLength(200), ErrHeader},
		{"UDPLengthZero", endpoints4, udpLength(0), ErrHeader},
		{"LooseRoute", endpoints4, option(optionLooseRoute), ErrHeader},
		{"StrictRoute", endpoints4, option(optionStrictRoute), ErrHeader},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			raw := test.change(test.endpoints.segment(t, false, ACK, "data"))
			if len(raw) >= ipv4HeaderLen && raw[0]>>4 == 4 {
				fixChecksum(raw)
			}
			var r Parser
			p := bronzeflow.Packet{Payload: 9}
			require.ErrorIs(t, r.FromCaller(raw, &p), test.err)
			require.Zero(t, p)
			require.NotContains(t, []string{"", "Other"}, Reason(test.err))
		})
	}
	raw := endpoints4.segment(t, false, ACK, "data")
	raw[8]--
	require.ErrorIs(t, new(Parser).FromCaller(raw, new(bronzeflow.Packet)), ErrChecksum)
	destination := extension(60, 6, 0, 1, 4, 0, 0, 0, 0)(endpoints6.segment(t, false, ACK, "data"))
	require.Equal(t, 4, new(Parser).mustParse(t, destination, false).Payload)
}

// unreachable returns the ICMP error that a host sends in answer to raw.
func unreachable(t require.TestingT, raw []byte) []byte {
	var r responder
	require.NoError(t, r.parser.FromCaller(raw, &r.packet))
	b, err := r.appendUnreachable(nil)
	require.NoError(t, err)
	return b
}

// The error of a flapping route, or a forged one, must not end an established
// connection, so it is not taken for a refusal. An opening that it concerns is
// refused and may be placed elsewhere. An error that is damaged, or meant for
// another receiver, has no effect.
func TestUnreachable(t *testing.T) {
	var r Parser
	var p bronzeflow.Packet
	for _, e := range []endpoints{endpoints4, endpoints6} {
		raw := unreachable(t, e.segment(t, false, SYN, ""))
		want := bronzeflow.Packet{Key: e.key(bronzeflow.TCP), Kind: bronzeflow.Refuse, Raw: raw}
		require.Equal(t, want, r.mustParse(t, raw, true))
		require.ErrorIs(t, r.FromCaller(raw, &p), ErrUnreachable)
		raw[len(raw)-1]++
		require.ErrorIs(t, r.FromServer(raw, &p), ErrChecksum)
		raw = unreachable(t, e.segment(t, false, ACK, "data"))
		require.ErrorIs(t, r.FromServer(raw, &p), ErrUnreachable)
	}
	changes := []struct {
		endpoints endpoints
		index     int
		value     byte
		err       error
	}{
		{endpoints4, 19, 1, ErrQuote},                                        // the receiver
		{endpoints4, ipv4HeaderLen + icmp4HeaderLen, 0x65, ErrHeader},        // the quote's version
		{endpoints4, ipv4HeaderLen + icmp4HeaderLen + 7, 1, ErrFragment},     // its offset
		{endpoints4, ipv4HeaderLen + icmp4HeaderLen + 9, 47, ErrProtocol},    // its protocol
		{endpoints4, ipv4HeaderLen, layers.ICMPv4TypeEchoReply, ErrProtocol}, // the type
		{endpoints6, ipv6HeaderLen, layers.ICMPv6TypeEchoReply, ErrProtocol}, // the type
		{endpoints6, ipv6HeaderLen + icmp6HeaderLen + 6, 44, ErrFragment},    // the quote's next header
		{endpoints6, ipv6HeaderLen + icmp6HeaderLen, 0x45, ErrHeader},        // its version
	}
	for _, c := range changes {
		raw := unreachable(t, c.endpoints.segment(t, false, SYN, ""))
		raw[c.index] = c.value
		require.ErrorIs(t, r.FromServer(fixChecksums(raw), &p), c.err, c.index)
	}
	raw := unreachable(t, endpoints6.segment(t, false, SYN, ""))
	mappedTo := raw[ipv6HeaderLen+icmp6HeaderLen+24:]
	copy(mappedTo, []byte{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff})
	require.ErrorIs(t, r.FromServer(fixChecksums(raw), &p), ErrAddress)
}

// A router's report that a packet of an established flow is too large for a link
// is not a refusal, so it must not end the flow. It is counted under its own
// name for the operator.
func TestTooBig(t *testing.T) {
	for _, e := range []endpoints{endpoints4, endpoints6} {
		raw := unreachable(t, e.datagram(t, make([]byte, 1200)))
		if e == endpoints4 {
			raw[ipv4HeaderLen+1] = layers.ICMPv4CodeFragmentationNeeded
		} else {
			raw[ipv6HeaderLen], raw[ipv6HeaderLen+1] = layers.ICMPv6TypePacketTooBig, 0
		}
		raw = fixChecksums(raw)
		for _, fromServer := range []bool{false, true} {
			require.ErrorIs(t, new(Parser).parse(raw, new(bronzeflow.Packet), fromServer), ErrTooBig)
		}
	}
}
