package bronzewire

import (
	"testing"

	"github.com/gopacket/gopacket/layers"
	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// stamped returns a caller's segment with the options of an ordinary stack.
func stamped(t testing.TB, e ends) []byte {
	nop := layers.TCPOption{OptionType: layers.TCPOptionKindNop, OptionLength: 1}
	stamp := layers.TCPOption{OptionType: layers.TCPOptionKindTimestamps, OptionLength: 10, OptionData: []byte("12345678")}
	data := layers.TCP{ACK: true, Options: []layers.TCPOption{nop, nop, stamp}}
	raw, err := appendTCP(nil, e.caller, e.service, &data, make([]byte, 1200))
	require.NoError(t, err)
	return raw
}

type input struct {
	name string
	raw  []byte
}

func inputs(t testing.TB) []input {
	return []input{
		{"TCP4", stamped(t, ends4)},
		{"TCP6", stamped(t, ends6)},
		{"UDP4", ends4.udp(t, make([]byte, 1200))},
		{"UDP6", ends6.udp(t, make([]byte, 1200))},
		{"Truncated", ends4.udp(t, make([]byte, 1200))[:40]},
	}
}

func TestParseAllocatesNothing(t *testing.T) {
	var r Parser
	var p bronzeflow.Packet
	for _, in := range inputs(t) {
		require.Zero(t, testing.AllocsPerRun(100, func() { _ = r.FromCaller(in.raw, &p) }), in.name)
	}
}

func BenchmarkParse(b *testing.B) {
	for _, in := range inputs(b) {
		b.Run(in.name, func(b *testing.B) {
			b.ReportAllocs()
			var r Parser
			var p bronzeflow.Packet
			for b.Loop() {
				_ = r.FromCaller(in.raw, &p)
			}
		})
	}
}

func BenchmarkRefusal(b *testing.B) {
	for _, in := range inputs(b)[:4] {
		b.Run(in.name, func(b *testing.B) {
			b.ReportAllocs()
			var dst []byte
			for b.Loop() {
				dst, _ = Refusal(dst[:0], in.raw)
			}
		})
	}
}
