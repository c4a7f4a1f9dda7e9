package bronzenode

import (
	"net/netip"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzewire"
)

// A stripped opening equals, byte for byte, the one that its caller would have
// sent without payload.
func TestStripPayload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := caller, service
		if rapid.Bool().Draw(t, "IPv6") {
			from = netip.MustParseAddrPort("[2001:db8::7]:4001")
			to = netip.MustParseAddrPort("[2001:db8:1::1]:443")
		}
		from = netip.AddrPortFrom(from.Addr(), rapid.Uint16Min(1).Draw(t, "Port"))
		seq := rapid.Uint32().Draw(t, "Seq")
		payload := rapid.SliceOfN(rapid.Byte(), 1, 1400).Draw(t, "Payload")
		raw, err := bronzewire.BuildTCP(nil, from, to, bronzewire.SYN, seq, 0, payload)
		require.NoError(t, err)
		bare, err := bronzewire.BuildTCP(nil, from, to, bronzewire.SYN, seq, 0, nil)
		require.NoError(t, err)
		var w worker
		require.NoError(t, w.parser.FromCaller(raw, &w.packet))
		w.stripPayload()
		require.Equal(t, bare, w.packet.Raw)
		require.Zero(t, w.packet.Payload)
		require.Equal(t, uint64(1), w.eventCounts[payloadStripped])
	})
}

// The caller's options, such as its maximum segment size, reach the server.
func TestStripPayloadKeepsOptions(t *testing.T) {
	ip := &layers.IPv4{
		Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP,
		SrcIP: caller.Addr().AsSlice(), DstIP: service.Addr().AsSlice(),
	}
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(caller.Port()), DstPort: layers.TCPPort(service.Port()), SYN: true, Seq: callerSeq,
		Options: []layers.TCPOption{{OptionType: layers.TCPOptionKindMSS, OptionLength: 4, OptionData: []byte{5, 0xb4}}},
	}
	require.NoError(t, tcp.SetNetworkLayerForChecksum(ip))
	serialize := func(payload string) []byte {
		b := gopacket.NewSerializeBuffer()
		options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
		require.NoError(t, gopacket.SerializeLayers(b, options, ip, tcp, gopacket.Payload(payload)))
		return b.Bytes()
	}
	var w worker
	require.NoError(t, w.parser.FromCaller(serialize("odd"), &w.packet))
	w.stripPayload()
	require.Equal(t, serialize(""), w.packet.Raw)
}

// If a server got the request in an opening, went silent, and a second server
// was tried, the request would run twice. No server may get the request before
// it has accepted.
func TestOpeningForwardedWithoutPayload(t *testing.T) {
	env := newTestEnv(t, 2)
	a := env.start("a")
	early := opening
	early.payload = "outline"
	env.waitFor(func() { env.sendFromCaller(a, early) }, false, bronzeflow.Open, 0)
	require.NotZero(t, a.Counters()["PayloadsLeft"])
}
