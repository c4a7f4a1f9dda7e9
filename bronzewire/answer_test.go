package bronzewire

import (
	"testing"

	"github.com/gopacket/gopacket/layers"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// A caller that is refused must get what a closed port answers (RFC 9293,
// section 3.10.7.1). It would ignore a reset with other numbers and wait for its
// own timeout.
func TestRefusalTCP(t *testing.T) {
	tests := []struct {
		flags         TCPFlags
		payload       string
		ack           bool
		seq, answered uint32
	}{
		{SYN, "", true, 0, 1001},
		{SYN, "early", true, 0, 1006},
		{ACK | PSH, "data", false, 2000, 0},
		{FIN | ACK, "data", false, 2000, 0},
	}
	for _, e := range []endpoints{endpoints4, endpoints6} {
		for _, test := range tests {
			raw, err := Refusal([]byte("kept"), e.segment(t, false, test.flags, test.payload))
			require.NoError(t, err)
			require.Equal(t, "kept", string(raw[:4]))
			got := decodeTCP(t, raw[4:])
			require.True(t, got.RST)
			require.Equal(t, test.ack, got.ACK)
			require.Equal(t, test.seq, got.Seq)
			require.Equal(t, test.answered, got.Ack)
			p := new(Parser).mustParse(t, raw[4:], true)
			require.Equal(t, bronzeflow.Refuse, p.Kind)
			require.Equal(t, e.key(bronzeflow.TCP), p.Key)
		}
		raw, err := Refusal(nil, e.segment(t, false, RST, ""))
		require.NoError(t, err)
		require.Nil(t, raw)
	}
}

// When an attempt to open is given up, its server, which may have accepted
// already, must drop the connection and run nothing. A server accepts a reset
// only with the sequence number that it expects next.
func TestCancellation(t *testing.T) {
	tests := []struct {
		name       string
		fromServer bool
		flags      TCPFlags
		seq        uint32
	}{
		{"Open", false, SYN, 1001},
		{"Data", false, ACK, 1000},
		{"Accept", true, SYN | ACK, 2000},
		{"Answer", true, ACK, 2000},
	}
	for _, e := range []endpoints{endpoints4, endpoints6} {
		for _, test := range tests {
			raw, err := Cancellation(nil, e.segment(t, test.fromServer, test.flags, ""), test.fromServer)
			require.NoError(t, err, test.name)
			got := decodeTCP(t, raw)
			require.Equal(t, test.seq, got.Seq, test.name)
			p := new(Parser).mustParse(t, raw, false)
			require.Equal(t, bronzeflow.Reset, p.Kind, test.name)
			require.Equal(t, e.key(bronzeflow.TCP), p.Key, test.name)
		}
		raw, err := Cancellation(nil, e.datagram(t, nil), false)
		require.NoError(t, err)
		require.Nil(t, raw)
		raw, err = Cancellation(nil, e.segment(t, true, RST, ""), true)
		require.NoError(t, err)
		require.Nil(t, raw)
	}
}

// If a flow's owner died and its placement is lost, the next owner probes the
// candidate servers. A probe must hold nothing that a server could run. It must
// carry the timestamps option, or a server that has the connection silently
// drops it, and the flow is lost though its server lives.
func TestProbe(t *testing.T) {
	for _, e := range []endpoints{endpoints4, endpoints6} {
		stamp := layers.TCPOption{OptionType: layers.TCPOptionKindTimestamps, OptionLength: 10, OptionData: []byte("12345678")}
		nop := layers.TCPOption{OptionType: layers.TCPOptionKindNop, OptionLength: 1}
		sack := layers.TCPOption{OptionType: layers.TCPOptionKindSACK, OptionLength: 10, OptionData: []byte("87654321")}
		data := layers.TCP{ACK: true, PSH: true, Seq: 0, Ack: 2000, Options: []layers.TCPOption{nop, sack, nop, stamp}}
		raw, err := appendTCP(nil, e.caller, e.service, &data, []byte("save the outline"))
		require.NoError(t, err)
		probe, err := Probe(nil, raw)
		require.NoError(t, err)
		got := decodeTCP(t, probe)
		require.Equal(t, ^uint32(0), got.Seq)
		require.Equal(t, uint32(2000), got.Ack)
		require.Empty(t, got.Payload)
		require.Equal(t, stamp, got.Options[0])
		p := new(Parser).mustParse(t, probe, false)
		require.Equal(t, bronzeflow.Data, p.Kind)
		require.Equal(t, e.key(bronzeflow.TCP), p.Key)
		_, err = Probe(nil, e.segment(t, false, SYN, ""))
		require.ErrorIs(t, err, ErrFlags)
		_, err = Probe(nil, e.datagram(t, nil))
		require.ErrorIs(t, err, ErrProtocol)
	}
}

func TestBuildErrors(t *testing.T) {
	_, err := BuildTCP(nil, endpoints4.caller, endpoints6.service, SYN, 0, 0, nil)
	require.ErrorIs(t, err, ErrAddress)
	_, err = BuildUDP(nil, endpoints4.caller, endpoints4.service, make([]byte, maxPacketLen))
	require.ErrorIs(t, err, ErrSize)
	require.Equal(t, "Size", Reason(err))
	require.Empty(t, Reason(nil))
	require.Equal(t, "Other", Reason(assert.AnError))
}
