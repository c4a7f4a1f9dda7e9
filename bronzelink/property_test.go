package bronzelink_test

import (
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bronzeusher.example/bronzeusher/bronzelink"
)

func TestMessageRoundTrip(t *testing.T) {
	messages := rapid.Make[bronzelink.Message]()
	rapid.Check(t, func(t *rapid.T) {
		want := messages.Draw(t, "message")
		b, err := bronzelink.Encode(&want)
		require.NoError(t, err)
		got, err := bronzelink.Decode(b)
		require.NoError(t, err)
		again, err := bronzelink.Encode(got)
		require.NoError(t, err)
		require.Equal(t, b, again)
		require.Equal(t, want.Heartbeat, got.Heartbeat)
		require.Equal(t, want.Check, got.Check)
	})
}

// A later release adds fields to the envelope and to the message in it. This
// release decodes the fields that it knows and skips the others.
func TestUnknownFieldsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.Make[bronzelink.Members]().Draw(t, "members")
		name := rapid.StringMatching("Later[A-Z][a-z]+").Draw(t, "name")
		value := rapid.OneOf(
			rapid.Just[any](1), rapid.Just[any]("text"), rapid.Just[any]([]int{1, 2}), rapid.Just[any](map[string]int{"A": 1}),
		).Draw(t, "value")
		plain, err := bronzelink.Encode(&bronzelink.Message{Members: &want})
		require.NoError(t, err)
		later := map[string]any{name: value, "Members": withField(t, &want, name, value)}
		b, err := cbor.Marshal(later)
		require.NoError(t, err)
		got, err := bronzelink.Decode(b)
		require.NoError(t, err)
		again, err := bronzelink.Encode(got)
		require.NoError(t, err)
		require.Equal(t, plain, again)
	})
}

// withField returns v as a map with one further field.
func withField(t *rapid.T, v any, name string, value any) map[string]any {
	b, err := cbor.Marshal(v)
	require.NoError(t, err)
	m := map[string]any{}
	require.NoError(t, cbor.Unmarshal(b, &m))
	m[name] = value
	return m
}

// fuzz adds the encoded seeds and checks that a message that can be decoded is
// the same after it is encoded and decoded again.
func fuzz[T any](f *testing.F, encode func(*T) ([]byte, error), decode func([]byte) (*T, error), seeds ...*T) {
	for _, seed := range seeds {
		b, err := encode(seed)
		require.NoError(f, err)
		f.Add(b)
		f.Add(b[:len(b)/2])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decode(b)
		if err != nil {
			return
		}
		encoded, err := encode(m)
		require.NoError(t, err)
		again, err := decode(encoded)
		require.NoError(t, err)
		require.True(t, reflect.DeepEqual(m, again) || sameBytes(t, encode, m, again))
	})
}

// sameBytes reports whether a and b have the same encoding. They may still differ
// in empty and nil slices.
func sameBytes[T any](t *testing.T, encode func(*T) ([]byte, error), a, b *T) bool {
	x, err := encode(a)
	require.NoError(t, err)
	y, err := encode(b)
	require.NoError(t, err)
	return reflect.DeepEqual(x, y)
}

func FuzzDecode(f *testing.F) {
	member := bronzelink.Member{Name: "riga-a-1", Incarnation: 1, Status: bronzelink.Alive}
	fuzz(f, bronzelink.Encode, bronzelink.Decode,
		&bronzelink.Message{Hello: &bronzelink.Hello{Versions: []uint8{1, 2}, Fleet: "riga", Member: member}},
		&bronzelink.Message{Members: &bronzelink.Members{Members: []bronzelink.Member{member}, Digests: []uint32{1, 2}}},
		&bronzelink.Message{Load: &bronzelink.Load{Origin: "a", Owned: []bronzelink.LoadItem{{Server: 1, Count: 2}}}},
		&bronzelink.Message{Records: &bronzelink.Records{Bodies: []bronzelink.StoredRecord{{Name: "a", Body: []byte("b")}}}},
	)
}

func FuzzDecodeFlow(f *testing.F) {
	fuzz(f, bronzelink.EncodeFlow, bronzelink.DecodeFlow,
		&bronzelink.FlowMessage{Learn: &bronzelink.Mapping{Server: 1, Echo: 2}},
		&bronzelink.FlowMessage{Copies: []bronzelink.CopyItem{{Hash: 1, Server: 2}}, CopyAcks: []uint64{3}},
		&bronzelink.FlowMessage{Query: &bronzelink.Query{Open: true}},
	)
}
