package bronzelink_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

func TestDecodeSkipsUnknownFields(t *testing.T) {
	b, err := cbor.Marshal(map[string]any{
		"Heartbeat": map[string]any{"Sequence": 7, "Later": []int{1, 2}},
		"Newer":     map[string]any{"A": 1},
	})
	require.NoError(t, err)
	m, err := bronzelink.Decode(b)
	require.NoError(t, err)
	require.Equal(t, &bronzelink.Message{Heartbeat: &bronzelink.Heartbeat{Sequence: 7}}, m)
}

func TestFlowMessageRoundTrip(t *testing.T) {
	want := &bronzelink.FlowMessage{
		Learn:  &bronzelink.Mapping{Key: bronzeflow.Key{CallerPort: 9}, Server: 3, State: bronzeflow.Established},
		Copies: []bronzelink.CopyItem{{Hash: 1, Server: 2, Gone: true}},
	}
	b, err := bronzelink.EncodeFlow(want)
	require.NoError(t, err)
	got, err := bronzelink.DecodeFlow(b)
	require.NoError(t, err)
	require.Equal(t, want, got)
}
