package bronzelink

import "bronzeusher.example/bronzeusher/bronzeflow"

// The range of protocol versions that this build supports. Two nodes use the
// highest version that both support.
const (
	VersionMin = 1
	VersionMax = 2
)

// Status is a member's state as another member knows it.
type Status uint8

// The states of a member. At one Incarnation, a later one overrides the earlier.
const (
	Alive Status = iota + 1
	Suspect
	Leaving
	Dead
	Left
)

// Member is the state of one node of the fleet, as it is spread by gossip.
type Member struct {
	Name             string
	Incarnation      uint64
	Status           Status
	AvailabilityZone string `cbor:",omitempty"`
	Region           string `cbor:",omitempty"`
	ControlAddress   string `cbor:",omitempty"` // host:port of the WebSocket listener
	DataAddress      string `cbor:",omitempty"` // host:port of the UDP socket for relays
	Revision         uint64 `cbor:",omitempty"` // the configuration revision in force there
	// Accuser is the name of the member that declared this one Suspect or Dead.
	Accuser string `cbor:",omitempty"`
}

// Hello is the first message of each side of a link. A node refuses the link if
// there is no common version, or if the peer belongs to another fleet or uses
// this node's name. The listening side then closes it with a reason.
type Hello struct {
	Versions []uint8
	Fleet    string
	Member   Member
}

// Heartbeat is sent once per interval to each peer that the sender monitors.
// Its Member has no zone, region or addresses: the receiver knows them.
type Heartbeat struct {
	Sequence uint64
	Member   Member
	// Digest is a hash over the sender's member list. If it keeps differing
	// from the receiver's, the two exchange Members.
	Digest uint64
}

// HeartbeatAck answers a Heartbeat.
type HeartbeatAck struct {
	Sequence uint64
	Digest   uint64
	Revision uint64
}

// Members carries the states of members: updates about a few, or the answer to
// a request, which may be the whole list.
type Members struct {
	Members []Member `cbor:",omitempty"`
	// Full asks the receiver to answer with its own whole list.
	Full bool `cbor:",omitempty"`
	// Sequence, if not 0, asks the receiver for an answer.
	Sequence uint64 `cbor:",omitempty"`
	// Answer, if not 0, is the Sequence of the request that this answers.
	Answer uint64 `cbor:",omitempty"`
	// Digests are hashes over the parts of the sender's list. The answer
	// contains the members of the parts that differ.
	Digests []uint32 `cbor:",omitempty"`
	// Joined, in an answer, is true if the sender has joined the fleet and is
	// not fenced.
	Joined bool `cbor:",omitempty"`
	// Revision, in an answer, is the sender's configuration revision.
	Revision uint64 `cbor:",omitempty"`
}

// Check asks the receiver to check whether it reaches the member Target, which
// doesn't answer the sender (an indirect probe).
type Check struct {
	Sequence uint64
	Target   string
}

// CheckAck answers a Check.
type CheckAck struct {
	Sequence uint64
	Target   string
	Reached  bool
}

// LoadItem is one server's load as one origin knows it.
type LoadItem struct {
	_      struct{} `cbor:",toarray"`
	Server bronzeflow.ServerID
	Count  uint32
}

// Load carries the load of servers as Origin knows it: the open flows that it
// owns on each server (Owned), and what the servers that it polls have reported
// (Reported). Sequence increases with each message of one Origin; older messages
// are dropped.
type Load struct {
	Origin   string
	Sequence uint64
	Owned    []LoadItem `cbor:",omitempty"`
	Reported []LoadItem `cbor:",omitempty"`
	// Leaving lists servers that Origin knows to be leaving.
	Leaving []bronzeflow.ServerID `cbor:",omitempty"`
}

// RecordVersion identifies one record and its revision at the sender.
type RecordVersion struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Revision uint64
}

// RecordsRequest asks a peer for its configuration. Have lists the records that
// the sender has, so that only the difference is sent.
type RecordsRequest struct {
	Revision uint64
	Have     []RecordVersion
}

// StoredRecord is a record's last good body and the revision of that body.
type StoredRecord struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Revision uint64
	Body     []byte
}

// Records answers a RecordsRequest with the versions of all records in force at
// Revision, and the bodies that the requester lacks.
type Records struct {
	Revision uint64
	Present  []RecordVersion
	Bodies   []StoredRecord
}

// Message is the envelope of the control links: exactly one field is set.
// Unknown fields are skipped, so that releases can interoperate during a
// rollout.
type Message struct {
	Hello          *Hello          `cbor:",omitempty"`
	Heartbeat      *Heartbeat      `cbor:",omitempty"`
	HeartbeatAck   *HeartbeatAck   `cbor:",omitempty"`
	Members        *Members        `cbor:",omitempty"`
	Check          *Check          `cbor:",omitempty"`
	CheckAck       *CheckAck       `cbor:",omitempty"`
	Load           *Load           `cbor:",omitempty"`
	RecordsRequest *RecordsRequest `cbor:",omitempty"`
	Records        *Records        `cbor:",omitempty"`
}

// Mapping is the server that a flow is pinned to, with the flow's state.
type Mapping struct {
	_      struct{} `cbor:",toarray"`
	Key    bronzeflow.Key
	Server bronzeflow.ServerID
	State  bronzeflow.State
	Flags  bronzeflow.Flags
	Echo   uint32
}

// CopyItem is the copy of an exception: the hash of the flow's key, the server,
// and whether the copy is to be dropped (Gone).
type CopyItem struct {
	_      struct{} `cbor:",toarray"`
	Hash   uint64
	Server bronzeflow.ServerID
	Gone   bool
}

// FlowMessage is the envelope of messages about single flows. They are sent as
// datagrams between the nodes' data addresses, are idempotent, and may be lost:
// a sender that needs an answer repeats its request.
type FlowMessage struct {
	// Learn tells a balancer that relayed a packet which server its flow is
	// pinned to.
	Learn *Mapping `cbor:",omitempty"`
	// Query asks for the receiver's mapping of a flow. Open is set if the
	// sender wants to place the flow.
	Query *Query `cbor:",omitempty"`
	// Answer answers a Query. Server is 0 if the flow is unknown.
	Answer *Mapping `cbor:",omitempty"`
	// Copies are copies of exceptions for the successor to store.
	Copies []CopyItem `cbor:",omitempty"`
	// CopyAcks are the hashes of the copies that the successor has stored.
	CopyAcks []uint64 `cbor:",omitempty"`
	// Forget tells the receiver to delete the mapping that it learned.
	Forget *bronzeflow.Key `cbor:",omitempty"`
}

// Query asks for the mapping of a flow that the sender owns but doesn't know.
type Query struct {
	_    struct{} `cbor:",toarray"`
	Key  bronzeflow.Key
	Open bool
}
