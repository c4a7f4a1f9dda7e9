package bronzegossip

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzerecord"
)

// version is that of the messages. Fields may be added; receivers skip what
// they don't know.
const version = 1

// MaxMessageBytes is the longest message that is sent, in bytes: what fits into one
// packet of the usual network.
const MaxMessageBytes = 1400

// ErrVersion says that a message has a version that this build doesn't speak.
var ErrVersion = errors.New("message of an unknown version")

// Peer is a node as news of it spreads.
type Peer struct {
	Name string `cbor:"1,keyasint"`
	// Incarnation is higher for each start of a node.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Address takes datagrams, Records answers requests for records.
	Address          netip.AddrPort `cbor:"3,keyasint"`
	Records          netip.AddrPort `cbor:"4,keyasint"`
	AvailabilityZone string         `cbor:"5,keyasint"`
	Leaving          bool           `cbor:"6,keyasint,omitempty"`
	// HeardMS is how long ago the node itself was heard, in milliseconds.
	HeardMS uint32 `cbor:"7,keyasint,omitempty"`
}

// Message is what a node tells another.
type Message struct {
	Version uint8 `cbor:"1,keyasint"`
	From    Peer  `cbor:"2,keyasint"`
	// Revision is that of the sender's records, and ContactMS how long ago the
	// store itself said to some node that there is none higher.
	Revision  uint64 `cbor:"3,keyasint"`
	ContactMS uint32 `cbor:"4,keyasint"`
	// Peers are some of the nodes that the sender knows.
	Peers []Peer `cbor:"5,keyasint,omitempty"`
	// Delta leads to Revision, if it is small.
	Delta *bronzerecord.Delta `cbor:"6,keyasint,omitempty"`
	// Answer asks the receiver to tell the sender what it has.
	Answer bool `cbor:"7,keyasint,omitempty"`
	// Loads are the sender's loads on servers.
	Loads []Load `cbor:"8,keyasint,omitempty"`
	// Latencies are those of the servers of Loads, in the same order, in milliseconds and
	// 0 where none is known.
	Latencies []uint32 `cbor:"10,keyasint,omitempty"`
	// Reports are what nodes have found of servers that don't answer.
	Reports []Report `cbor:"9,keyasint,omitempty"`
	// Epoch is that of Revision.
	Epoch uint64 `cbor:"11,keyasint,omitempty"`
	// FormerEpoch and FormerRevision are up to where the sender knows earlier epochs, if
	// it remembers any of what the store has lost.
	FormerEpoch    uint64 `cbor:"12,keyasint,omitempty"`
	FormerRevision uint64 `cbor:"13,keyasint,omitempty"`
}

// position returns how far the sender's records are.
func (m *Message) position() bronzerecord.Position {
	return bronzerecord.Position{Epoch: m.Epoch, Revision: m.Revision}
}

// former returns up to where the sender remembers earlier epochs.
func (m *Message) former() bronzerecord.Position {
	return bronzerecord.Position{Epoch: m.FormerEpoch, Revision: m.FormerRevision}
}

// Report is what one node has found of one server; it is passed on from node to node.
type Report struct {
	_ struct{} `cbor:",toarray"`
	// Server stands for the server and Node for the node that found it, in whatever
	// way nodes agree on.
	Server uint32
	Node   uint32
	// Flags are ReportNear and ReportAnswered.
	Flags uint8
	// Openings and Requests are how many it left unanswered.
	Openings uint16
	Requests uint16
	// FirstMS and LastMS are how long ago the first of them was sent and the last was
	// found unanswered, in milliseconds.
	FirstMS uint32
	LastMS  uint32
}

// The flags of a Report: that the node is in the server's zone, and that the server has
// answered it, LastMS ago.
const (
	ReportNear     = 1
	ReportAnswered = 2
)

// Load is what one node has on one server.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Server stands for the server in whatever way nodes agree on.
	Server uint32
	// Rate is what the node sends to it, in requests in ten seconds.
	Rate uint32
}

// encode returns the bytes of m.
func encode(m *Message) (b []byte, err error) {
	m.Version = version
	return cbor.Marshal(m)
}

// decode reads a message.
func decode(b []byte) (m Message, err error) {
	defer func() { err = errors.Wrap(err, "gossip message") }()
	if err = cbor.Unmarshal(b, &m); err != nil {
		return m, err
	}
	if m.Version != version {
		return m, ErrVersion
	}
	if m.From.Name == "" || !m.From.Address.IsValid() {
		return m, errors.New("has no sender")
	}
	return m, nil
}
