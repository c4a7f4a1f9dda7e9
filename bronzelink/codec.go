package bronzelink

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// The limits of one encoded message. A whole list of members at 490 nodes
// takes under 100 KB, and the platform's values are at most a megabyte.
const (
	MaxMessageBytes     = 4 << 20
	MaxFlowMessageBytes = 64 << 10
	maxNesting          = 16
	maxElements         = 1 << 17
)

// ErrTooLarge means that an encoded message exceeds its limit.
var ErrTooLarge = errors.New("message too large")

var (
	encMode = must(cbor.EncOptions{}.EncMode())
	decMode = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode())
)

// must returns mode and panics if err is set. The options are constants, so any
// test would reveal an error.
func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the CBOR form of m, or ErrTooLarge.
func Encode(m *Message) (b []byte, err error) { return encode(m, MaxMessageBytes) }

// Decode returns the message encoded in b. Fields that this build doesn't know
// are skipped. The result shares no memory with b.
func Decode(b []byte) (m *Message, err error) { return decode[Message](b, MaxMessageBytes) }

// EncodeFlow returns the CBOR form of m, or ErrTooLarge.
func EncodeFlow(m *FlowMessage) (b []byte, err error) { return encode(m, MaxFlowMessageBytes) }

// DecodeFlow returns the message encoded in b. Fields that this build doesn't
// know are skipped. The result shares no memory with b.
func DecodeFlow(b []byte) (m *FlowMessage, err error) {
	return decode[FlowMessage](b, MaxFlowMessageBytes)
}

func encode[T any](m *T, limit int) (b []byte, err error) {
	defer annotate(&err, "encoding a message")
	b, err = encMode.Marshal(m)
	if err == nil && len(b) > limit {
		return nil, ErrTooLarge
	}
	return b, err
}

func decode[T any](b []byte, limit int) (m *T, err error) {
	defer annotate(&err, "decoding a message")
	if len(b) > limit {
		return nil, ErrTooLarge
	}
	m = new(T)
	if err = decMode.Unmarshal(b, m); err != nil {
		return nil, err
	}
	return m, nil
}

// annotate wraps a function's named error result with what it was doing.
func annotate(err *error, doing string) {
	if *err != nil {
		*err = errors.Wrap(*err, doing)
	}
}
