package bronzewire

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

func TestFrameRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := Frame{
			Kind:   FrameKind(rapid.IntRange(int(FramePacket), int(FrameFlow)).Draw(t, "Kind")),
			Hops:   rapid.Byte().Draw(t, "Hops"),
			Server: bronzeflow.ServerID(rapid.Uint64().Draw(t, "Server")),
			Body:   rapid.SliceOf(rapid.Byte()).Draw(t, "Body"),
		}
		b := AppendFrame(nil, &f)
		require.Len(t, b, FrameHeaderLen+len(f.Body))
		var got Frame
		require.NoError(t, ParseFrame(b, &got))
		require.Equal(t, f, got)
		var p bronzeflow.Packet
		require.ErrorIs(t, new(Parser).FromCaller(b, &p), ErrVersion)
	})
}

// During a rollout a newer node may send what this build doesn't know, and the
// fabric may send to the wrong port. Each is refused with its own error.
func TestParseFrameErrors(t *testing.T) {
	b := AppendFrame(nil, &Frame{Kind: FrameFlow})
	for i, err := range []error{ErrFrame, ErrFrameVersion, ErrFrameKind} {
		bad := append([]byte(nil), b...)
		bad[i]++
		f := Frame{Hops: 7}
		require.ErrorIs(t, ParseFrame(bad, &f), err)
		require.Equal(t, Frame{Hops: 7}, f)
	}
	require.ErrorIs(t, ParseFrame(b[:FrameHeaderLen-1], new(Frame)), ErrFrame)
	require.ErrorIs(t, ParseFrame(endpoints4.datagram(t, nil), new(Frame)), ErrFrame)
}
