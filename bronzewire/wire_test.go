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

// ends are the endpoints of one flow.
type ends struct {
	caller, service netip.AddrPort
}

var (
	ends4 = ends{netip.MustParseAddrPort("198.51.100.7:40000"), netip.MustParseAddrPort("192.0.2.10:443")}
	ends6 = ends{netip.MustParseAddrPort("[2001:db8:1::7]:40000"), netip.MustParseAddrPort("[2001:db8:2::10]:443")}
)

func (e ends) key(p bronzeflow.Protocol) bronzeflow.Key {
	return bronzeflow.NewKey(p, e.caller, e.service)
}

// tcp returns a segment from the caller, or from the server.
func (e ends) tcp(t require.TestingT, fromServer bool, flags TCPFlags, payload string) []byte {
	src, to := e.caller, e.service
	if fromServer {
		src, to = to, src
	}
	raw, err := BuildTCP(nil, src, to, flags, 1000, 2000, []byte(payload))
	require.NoError(t, err)
	return raw
}

func (e ends) udp(t require.TestingT, payload []byte) []byte {
	raw, err := BuildUDP(nil, e.caller, e.service, payload)
	require.NoError(t, err)
	return raw
}

func (r *Parser) mustParse(t require.TestingT, raw []byte, fromServer bool) bronzeflow.Packet {
	var p bronzeflow.Packet
	require.NoError(t, r.parse(raw, &p, fromServer))
	return p
}

// decode reads raw with gopacket's whole decoder and checks every checksum.
func decode(t require.TestingT, raw []byte) gopacket.Packet {
	first := layers.LayerTypeIPv4
	if raw[0]>>4 == 6 {
		first = layers.LayerTypeIPv6
	}
	packet := gopacket.NewPacket(raw, first, gopacket.Default)
	require.Nil(t, packet.ErrorLayer())
	for _, l := range packet.Layers() {
		switch l := l.(type) {
		case *layers.TCP:
			require.NoError(t, l.SetNetworkLayerForChecksum(packet.NetworkLayer()))
		case *layers.UDP:
			require.NoError(t, l.SetNetworkLayerForChecksum(packet.NetworkLayer()))
		case *layers.ICMPv6:
			require.NoError(t, l.SetNetworkLayerForChecksum(packet.NetworkLayer()))
		}
	}
	err, wrong := packet.VerifyChecksums()
	require.NoError(t, err)
	require.Empty(t, wrong)
	return packet
}

func decodeTCP(t require.TestingT, raw []byte) *layers.TCP {
	l := decode(t, raw).Layer(layers.LayerTypeTCP)
	require.NotNil(t, l)
	return l.(*layers.TCP)
}

func drawEnds(t *rapid.T) ends {
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
	return ends{draw("Caller"), draw("Service")}
}

// naiveKind is the table of flags of the two directions, row by row.
func naiveKind(flags TCPFlags, fromServer bool) bronzeflow.Kind {
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
		e := drawEnds(t)
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
		// Padding of a lower layer behind the packet belongs to nobody.
		padded := slices.Concat(raw, make([]byte, rapid.IntRange(0, 9).Draw(t, "padding")))
		var p bronzeflow.Packet
		err = r.parse(padded, &p, fromServer)
		kind := naiveKind(flags, fromServer)
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
		require.Equal(t, want, p)
	})
}

func TestUDPRoundTrip(t *testing.T) {
	var r Parser
	rapid.Check(t, func(t *rapid.T) {
		e := drawEnds(t)
		payload := rapid.SliceOfN(rapid.Byte(), 0, 2000).Draw(t, "payload")
		raw := e.udp(t, payload)
		decode(t, raw)
		want := bronzeflow.Packet{Key: e.key(bronzeflow.UDP), Kind: bronzeflow.Datagram, Payload: len(payload), Raw: raw}
		require.Equal(t, want, r.mustParse(t, raw, false))
		// The server's answer to a refused datagram names the same flow.
		refusal, err := Refusal(nil, raw)
		require.NoError(t, err)
		decode(t, refusal)
		want = bronzeflow.Packet{Key: want.Key, Kind: bronzeflow.Refuse, Raw: refusal}
		require.Equal(t, want, r.mustParse(t, refusal, true))
	})
}

// fixChecksum makes up for a change in raw's IPv4 header.
func fixChecksum(raw []byte) {
	clear(raw[10:12])
	sum := gopacket.FoldChecksum(gopacket.ComputeChecksum(raw[:int(raw[0]&15)*4], 0))
	binary.BigEndian.PutUint16(raw[10:], sum)
}

func TestParserRefuses(t *testing.T) {
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
	tests := []struct {
		name   string
		ends   ends
		change func([]byte) []byte
		err    error
	}{
		{"Empty", ends4, cut(0), ErrTruncated},
		{"ShortHeader", ends4, cut(19), ErrTruncated},
		{"ShortPacket", ends4, cut(43), ErrTruncated},
		{"ShortHeader6", ends6, cut(39), ErrTruncated},
		{"ShortPacket6", ends6, cut(63), ErrTruncated},
		{"NoRoomForTCP", ends4, set(3, 39), ErrTruncated},
		{"Version", ends4, set(0, 0x55), ErrVersion},
		{"LengthZero", ends4, set(2, 0, 0), ErrHeader},
		{"HeaderLength", ends4, set(0, 0x44), ErrHeader},
		{"Jumbogram", ends6, set(4, 0, 0), ErrHeader},
		{"DataOffsetSmall", ends4, set(32, 0x40), ErrHeader},
		{"DataOffsetLarge", ends4, set(32, 0xf0), ErrHeader},
		{"MoreFragments", ends4, set(6, 0x20), ErrFragment},
		{"FragmentOffset", ends4, set(6, 0, 1), ErrFragment},
		{"Fragment6", ends6, extension(44, 6, 0, 0, 0, 0, 0, 0, 0), ErrFragment},
		{"Routing6", ends6, extension(43, 6, 0, 0, 0, 0, 0, 0, 0), ErrHeader},
		{"GRE", ends4, set(9, 47), ErrProtocol},
		{"ICMPv6InIPv4", ends4, set(9, 58), ErrProtocol},
		{"PortZero", ends4, set(22, 0, 0), ErrPorts},
		{"Multicast", ends4, set(16, 224), ErrAddress},
		{"Broadcast", ends4, set(12, 255, 255, 255, 255), ErrAddress},
		{"Mapped", ends6, set(24, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff), ErrAddress},
		{"UDPLength", ends4, func(raw []byte) []byte {
			raw[9], raw[24], raw[25] = 17, 0, 200
			return raw
		}, ErrHeader},
		{"SourceRoute", ends4, func(raw []byte) []byte {
			b := slices.Insert(raw, ipv4HeaderLen, optionLooseRoute, 7, 4, 10, 0, 0, 1, 0)
			b[0], b[3] = 0x47, byte(len(b))
			return b
		}, ErrHeader},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			raw := test.change(test.ends.tcp(t, false, ACK, "data"))
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
	raw := ends4.tcp(t, false, ACK, "data")
	raw[8]--
	require.ErrorIs(t, new(Parser).FromCaller(raw, new(bronzeflow.Packet)), ErrChecksum)
	destination := extension(60, 6, 0, 1, 4, 0, 0, 0, 0)(ends6.tcp(t, false, ACK, "data"))
	require.Equal(t, 4, new(Parser).mustParse(t, destination, false).Payload)
}

// A router on the way to the server can't carry a large packet and says so.
// The message must go on to the end that sent the packet, in both directions,
// and must not look like a refusal; one whose quote was sent by another than
// its receiver, or that was damaged, must do nothing.
func TestPacketTooBig(t *testing.T) {
	for _, e := range []ends{ends4, ends6} {
		quote := e.udp(t, make([]byte, 1200))
		raw, err := Refusal(nil, quote)
		require.NoError(t, err)
		icmp, sum := raw[ipv4HeaderLen:], 0
		code := byte(layers.ICMPv4CodeFragmentationNeeded)
		if e == ends6 {
			// Type 2, code 0 in place of type 1, code 4.
			icmp, code, sum = raw[ipv6HeaderLen:], 0, 0x0104-0x0200
			icmp[0] = layers.ICMPv6TypePacketTooBig
		} else {
			sum = int(icmp[1]) - int(code)
		}
		icmp[1] = code
		sum += int(binary.BigEndian.Uint16(icmp[2:]))
		binary.BigEndian.PutUint16(icmp[2:], uint16((sum+0xffff)%0xffff))
		p := new(Parser).mustParse(t, raw, true)
		require.Equal(t, bronzeflow.Packet{Key: e.key(bronzeflow.UDP), Kind: bronzeflow.Data, Raw: raw}, p)
		// Seen from a caller's side, the quoted packet is the service's.
		reverse := bronzeflow.NewKey(bronzeflow.UDP, e.service, e.caller)
		require.Equal(t, reverse, new(Parser).mustParse(t, raw, false).Key)
		icmp[7]++
		require.ErrorIs(t, new(Parser).FromServer(raw, &p), ErrChecksum)
	}
	raw, err := Refusal(nil, ends4.udp(t, nil))
	require.NoError(t, err)
	require.ErrorIs(t, new(Parser).FromCaller(raw, new(bronzeflow.Packet)), ErrProtocol)
	raw[19]++
	fixChecksum(raw)
	require.ErrorIs(t, new(Parser).FromServer(raw, new(bronzeflow.Packet)), ErrQuote)
}
