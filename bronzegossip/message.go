package bronzegossip

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzerecord"
)

// version is the version of the messages. Fields may be added to it, since receivers
// ignore unknown ones.
const version = 1

// MaxMessageBytes is the size of the longest message that is sent, chosen to fit into one
// packet on a usual network.
const MaxMessageBytes = 1400

// ErrVersion is returned for a message of a version that this build doesn't support.
var ErrVersion = errors.New("unknown message version")

// Peer describes a node as it is advertised to others.
type Peer struct {
	Name string `cbor:"1,keyasint"`
	// Incarnation is higher for each start of a node.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Address receives gossip datagrams, Records serves requests for records.
	Address          netip.AddrPort `cbor:"3,keyasint"`
	Records          netip.AddrPort `cbor:"4,keyasint"`
	AvailabilityZone string         `cbor:"5,keyasint"`
	Leaving          bool           `cbor:"6,keyasint,omitempty"`
	// HeardMS is how long ago the node itself was last heard from, in milliseconds.
	HeardMS uint32 `cbor:"7,keyasint,omitempty"`
	// SentMS is the sender's clock when it built the message, in milliseconds since the clock
	// was first read. It is 0 for peers that a message names, and if the sender's version
	// doesn't tell it.
	SentMS uint64 `cbor:"8,keyasint,omitempty"`
}

// Message is the content of a datagram from one node to another.
type Message struct {
	Version uint8 `cbor:"1,keyasint"`
	From    Peer  `cbor:"2,keyasint"`
	// Revision is that of the sender's records. ContactMS is how long ago the store
	// confirmed to any node that there is no higher one, in milliseconds.
	Revision  uint64 `cbor:"3,keyasint"`
	ContactMS uint32 `cbor:"4,keyasint"`
	// Peers are some of the live peers of the sender.
	Peers []Peer `cbor:"5,keyasint,omitempty"`
	// Delta is the change that led to Revision, if it is small.
	Delta *bronzerecord.Delta `cbor:"6,keyasint,omitempty"`
	// Answer asks the receiver to reply with its own state.
	Answer bool `cbor:"7,keyasint,omitempty"`
	// Loads are the sender's loads on servers.
	Loads []Load `cbor:"8,keyasint,omitempty"`
	// Latencies are those of the servers in Loads, in the same order, in milliseconds.
	// Unknown ones are 0.
	Latencies []uint32 `cbor:"10,keyasint,omitempty"`
	// Reports are the findings of nodes on servers that don't answer.
	Reports []Report `cbor:"9,keyasint,omitempty"`
	// Epoch is the epoch of Revision.
	Epoch uint64 `cbor:"11,keyasint,omitempty"`
	// FormerEpoch and FormerRevision are the position up to which the sender knows
	// earlier epochs, if it keeps any records that the store has lost.
	FormerEpoch    uint64 `cbor:"12,keyasint,omitempty"`
	FormerRevision uint64 `cbor:"13,keyasint,omitempty"`
	// LoadingMS is one more than how long ago the store answered a node that reads all
	// records, in milliseconds, or 0 if that was too long ago to matter.
	LoadingMS uint32 `cbor:"14,keyasint,omitempty"`
	// Sums are the sender's own demand for pools, at most maxSums of them.
	Sums []Sum `cbor:"15,keyasint,omitempty"`
	// Confirmation and Loading identify the answers that ContactMS and LoadingMS are the
	// ages of.
	Confirmation AnswerID `cbor:"16,keyasint,omitzero"`
	Loading      AnswerID `cbor:"17,keyasint,omitzero"`
	// Openings have stalled at the sender.
	Openings []Opening `cbor:"18,keyasint,omitempty"`
}

// position returns the position of the sender's records.
func (m *Message) position() bronzerecord.Position {
	return bronzerecord.Position{Epoch: m.Epoch, Revision: m.Revision}
}

// former returns the position up to which the sender knows earlier epochs.
func (m *Message) former() bronzerecord.Position {
	return bronzerecord.Position{Epoch: m.FormerEpoch, Revision: m.FormerRevision}
}

// Report is what one node has observed of one server. Nodes forward it to each other.
type Report struct {
	_ struct{} `cbor:",toarray"`
	// Server identifies the server and Node the node that observed it, by numbers that
	// the nodes agree on.
	Server uint32
	Node   uint32
	// Flags is a combination of ReportNear and ReportAnswered.
	Flags uint8
	// Openings and Requests count the connection openings and the requests that the
	// server left unanswered.
	Openings uint16
	Requests uint16
	// FirstMS is how long ago the first of them was sent, and LastMS how long ago the
	// last of them was found unanswered, in milliseconds.
	FirstMS uint32
	LastMS  uint32
}

// Flags of a Report. ReportNear: the node is in the server's zone. ReportAnswered: the
// server has answered the node, LastMS ago.
const (
	ReportNear     = 1
	ReportAnswered = 2
)

// Load is the load that one node puts on one server.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Server identifies the server by a number that the nodes agree on.
	Server uint32
	// Rate is how many requests the node sends to the server in ten seconds.
	Rate uint32
}

// maxSums is the number of pools in Message.Sums. They take 46 bytes.
const maxSums = 4

// Sum is what the callers of one node ask of one pool.
type Sum struct {
	_ struct{} `cbor:",toarray"`
	// Pool identifies the pool by a number that the nodes agree on.
	Pool uint32
	// Demand is how many requests and refused openings the node sees in ten seconds.
	Demand uint32
}

// Opening is an opening whose caller hasn't continued at the node that sends it.
type Opening struct {
	_ struct{} `cbor:",toarray"`
	// Packet is the opening as received.
	Packet []byte
	// Tokens are those of the servers that it was sent to.
	Tokens []uint32
}

// encode returns the encoding of m and sets its version.
func encode(m *Message) (b []byte, err error) {
	m.Version = version
	return cbor.Marshal(m)
}

// decode parses a message and checks that it has a known version and a sender. Sums beyond
// maxSums are dropped.
func decode(b []byte) (m Message, err error) {
	defer func() { err = errors.Wrap(err, "gossip message") }()
	if err = cbor.Unmarshal(b, &m); err != nil {
		return m, err
	}
	if m.Version != version {
		return m, ErrVersion
	}
	if m.From.Name == "" || !m.From.Address.IsValid() {
		return m, errors.New("missing sender")
	}
	m.Sums = m.Sums[:min(len(m.Sums), maxSums)]
	return m, nil
}
