package bronzewire

import (
	"testing"

	"github.com/gopacket/gopacket/layers"
	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// segmentWithTimestamp returns a caller's segment with the options of an
// ordinary TCP stack.
func segmentWithTimestamp(t testing.TB, e endpoints) []byte {
	nop := layers.TCPOption{OptionType: layers.TCPOptionKindNop, OptionLength: 1}
	stamp := layers.TCPOption{OptionType: layers.TCPOptionKindTimestamps, OptionLength: 10, OptionData: []byte("12345678")}
	data := layers.TCP{ACK: true, Options: []layers.TCPOption{nop, nop, stamp}}
	raw, err := appendTCP(nil, e.caller, e.service, &data, make([]byte, 1200))
	require.NoError(t, err)
	return raw
}

type parserInput struct {
	name string
	raw  []byte
}

func parserInputs(t testing.TB) []parserInput {
	return []parserInput{
		{"TCP4", segmentWithTimestamp(t, endpoints4)},
		{"TCP6", segmentWithTimestamp(t, endpoints6)},
		{"UDP4", endpoints4.datagram(t, make([]byte, 1200))},
		{"UDP6", endpoints6.datagram(t, make([]byte, 1200))},
		{"Truncated", endpoints4.datagram(t, make([]byte, 1200))[:40]},
	}
}

func TestParseAllocs(t *testing.T) {
	var r Parser
	var p bronzeflow.Packet
	for _, in := range parserInputs(t) {
		require.Zero(t, testing.AllocsPerRun(100, func() { _ = r.FromCaller(in.raw, &p) }), in.name)
	}
}

func BenchmarkParse(b *testing.B) {
	for _, in := range parserInputs(b) {
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
	for _, in := range parserInputs(b)[:4] {
		b.Run(in.name, func(b *testing.B) {
			b.ReportAllocs()
			var dst []byte
			for b.Loop() {
				dst, _ = Refusal(dst[:0], in.raw)
			}
		})
	}
}
