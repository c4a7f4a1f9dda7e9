package bronzewire

import (
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/ipv4"
	"golang.org/x/net/ipv6"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// FuzzParse checks for any bytes, in both directions, that an accepted packet
// has whole headers, the key of its own addresses as another library reads them,
// and a kind of its direction; that a refused one has a named reason; that what
// is built from a packet is valid itself; and that raw is unchanged.
func FuzzParse(f *testing.F) {
	for _, e := range []endpoints{endpoints4, endpoints6} {
		for _, flags := range []TCPFlags{SYN, SYN | ACK, ACK, FIN | ACK, RST} {
			f.Add(e.segment(f, false, flags, ""), false)
			f.Add(e.segment(f, true, flags, "payload"), true)
		}
		datagram := e.datagram(f, []byte("payload"))
		f.Add(datagram, true)
		for _, quoted := range [][]byte{datagram, e.segment(f, false, SYN, "")} {
			f.Add(unreachable(f, quoted), false)
			f.Add(unreachable(f, quoted), true)
		}
	}
	f.Fuzz(func(t *testing.T, raw []byte, fix bool) {
		if fix {
			raw = fixChecksums(raw)
		}
		before := bytes.Clone(raw)
		for _, fromServer := range []bool{false, true} {
			var r Parser
			var p bronzeflow.Packet
			if err := r.parse(raw, &p, fromServer); err != nil {
				require.Zero(t, p)
				require.NotContains(t, []string{"", "Other"}, Reason(err))
				continue
			}
			checkPacket(t, raw, &p, fromServer, r.icmp)
			checkBuilt(t, raw, fromServer)
		}
		require.Equal(t, before, raw)
	})
}

// fixChecksums makes the checksums of mutated bytes valid.
func fixChecksums(raw []byte) []byte {
	raw = bytes.Clone(raw)
	switch {
	case len(raw) >= 60 && raw[0] == 0x45:
		if raw[9] == byte(layers.IPProtocolICMPv4) {
			setChecksum(raw[ipv4HeaderLen:], 0)
		}
		fixChecksum(raw)
	case len(raw) >= ipv6HeaderLen+icmp6HeaderLen && raw[0]>>4 == 6:
		if raw[6] == byte(layers.IPProtocolICMPv6) {
			message := raw[ipv6HeaderLen:]
			pseudo := uint32(len(message)) + uint32(layers.IPProtocolICMPv6)
			setChecksum(message, gopacket.ComputeChecksum(raw[8:ipv6HeaderLen], pseudo))
		}
	}
	return raw
}

func setChecksum(icmp []byte, sum uint32) {
	clear(icmp[2:4])
	binary.BigEndian.PutUint16(icmp[2:], gopacket.FoldChecksum(gopacket.ComputeChecksum(icmp, sum)))
}

func checkPacket(t *testing.T, raw []byte, p *bronzeflow.Packet, fromServer, icmp bool) {
	kinds := []bronzeflow.Kind{bronzeflow.Data, bronzeflow.Datagram, bronzeflow.Close, bronzeflow.Open, bronzeflow.Reset}
	if fromServer {
		kinds = append(kinds[:3], bronzeflow.Accept, bronzeflow.Refuse)
	}
	require.Contains(t, kinds, p.Kind)
	require.True(t, bytes.HasPrefix(raw, p.Raw))
	require.Less(t, p.Payload, len(p.Raw))
	require.NotZero(t, p.Key.CallerPort)
	require.NotZero(t, p.Key.ServicePort)
	src, to := p.Key.CallerAddrPort().Addr(), p.Key.ServiceAddrPort().Addr()
	if fromServer {
		src, to = to, src
	}
	if raw[0]>>4 == 4 {
		h, err := ipv4.ParseHeader(raw)
		require.NoError(t, err)
		require.Equal(t, h.TotalLen, len(p.Raw))
		require.Equal(t, h.Dst.String(), to.String())
		require.True(t, icmp || h.Src.String() == src.String())
		return
	}
	h, err := ipv6.ParseHeader(raw)
	require.NoError(t, err)
	require.Equal(t, h.PayloadLen+ipv6HeaderLen, len(p.Raw))
	require.Equal(t, h.Dst.String(), to.String())
	require.True(t, icmp || h.Src.String() == src.String())
}

func checkBuilt(t *testing.T, raw []byte, fromServer bool) {
	var r Parser
	if b, err := Cancellation(nil, raw, fromServer); err == nil && b != nil {
		require.Equal(t, bronzeflow.Reset, r.mustParse(t, b, false).Kind)
	}
	if fromServer {
		return
	}
	if b, err := Refusal(nil, raw); err == nil && b != nil {
		require.Equal(t, bronzeflow.Refuse, r.mustParse(t, b, true).Kind)
	}
	if b, err := Probe(nil, raw); err == nil {
		p := r.mustParse(t, b, false)
		require.Equal(t, bronzeflow.Data, p.Kind)
		require.Zero(t, p.Payload)
	}
}

// FuzzFrame checks that any frame that is parsed is encoded back to the same
// bytes.
func FuzzFrame(f *testing.F) {
	f.Add(AppendFrame(nil, &Frame{Kind: FramePacket, Hops: 1, Body: endpoints4.datagram(f, nil)}))
	f.Add(AppendFrame(nil, &Frame{Kind: FrameReply, Server: 7, Body: endpoints6.segment(f, true, SYN|ACK, "")}))
	f.Add(AppendFrame(nil, &Frame{Kind: FrameFlow}))
	f.Fuzz(func(t *testing.T, b []byte) {
		var frame Frame
		if err := ParseFrame(b, &frame); err != nil {
			require.Zero(t, frame)
			require.NotContains(t, []string{"", "Other"}, Reason(err))
			return
		}
		require.Equal(t, b, AppendFrame(nil, &frame))
	})
}
