package bronzelink

import "bronzeusher.example/bronzeusher/bronzeflow"

// The versions of the inner protocol that this build speaks. Two nodes use
// the highest version that both speak.
const (
	VersionMin = 1
	VersionMax = 2
)

// Status is a member's state in the eyes of another member.
type Status uint8

// The states of a member, from weakest to strongest claim at one Incarnation.
const (
	Alive Status = iota + 1
	Suspect
	Leaving
	Dead
	Left
)

// Member is one node of the fleet, as news of it spreads.
type Member struct {
	Name             string
	Incarnation      uint64
	Status           Status
	AvailabilityZone string `cbor:",omitempty"`
	Region           string `cbor:",omitempty"`
	ControlAddress   string `cbor:",omitempty"` // host:port of the WebSocket listener
	DataAddress      string `cbor:",omitempty"` // host:port of the UDP socket for relays
	Revision         uint64 `cbor:",omitempty"` // the configuration revision in force there
	// Accuser is the name of the member that found this one Suspect or Dead.
	Accuser string `cbor:",omitempty"`
}

// Hello opens a link. A node that finds no common version, another fleet, or
// its own name with another Incarnation closes the link with a reason.
type Hello struct {
	Versions []uint8
	Fleet    string
	Member   Member
}

// Heartbeat is sent once an interval to each peer that the sender monitors.
// Its Member has no zone, region and addresses: the receiver knows them.
type Heartbeat struct {
	Sequence uint64
	Member   Member
	// Digest is a hash over the sender's member list; when it differs from
	// the receiver's, the two exchange Members.
	Digest uint64
}

// HeartbeatAck answers a Heartbeat.
type HeartbeatAck struct {
	Sequence uint64
	Digest   uint64
	Revision uint64
}

// Members carries news of members: a few, or many in answer to a Sequence.
type Members struct {
	Members []Member `cbor:",omitempty"`
	// Full asks the receiver to answer with its own whole list.
	Full bool `cbor:",omitempty"`
	// Sequence, if not 0, asks the receiver for an answer.
	Sequence uint64 `cbor:",omitempty"`
	// Answer is the Sequence that is answered.
	Answer uint64 `cbor:",omitempty"`
	// Digests are hashes over the parts of the sender's list. The answer has
	// the members of the parts that differ.
	Digests []uint32 `cbor:",omitempty"`
	// Joined, in an answer, tells that the sender is in step with the fleet.
	Joined bool `cbor:",omitempty"`
	// Revision, in an answer, is the sender's configuration revision.
	Revision uint64 `cbor:",omitempty"`
}

// Check asks the receiver to find out whether it reaches the member Target,
// which the sender doesn't.
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

// LoadItem is one server's load as one origin knows it, in compact form.
type LoadItem struct {
	_      struct{} `cbor:",toarray"`
	Server bronzeflow.ServerID
	Count  uint32
}

// Load carries what Origin knows: the open flows that it owns on each server
// (Owned), or what the servers that it polls have reported (Reported).
// Sequence grows with each message of one Origin; older ones are dropped.
type Load struct {
	Origin   string
	Sequence uint64
	Owned    []LoadItem `cbor:",omitempty"`
	Reported []LoadItem `cbor:",omitempty"`
	// Leaving lists servers that Origin knows to be leaving.
	Leaving []bronzeflow.ServerID `cbor:",omitempty"`
}

// RecordVersion names one record as the sender holds it.
type RecordVersion struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Revision uint64
}

// RecordsRequest asks a peer for its configuration; Have says what the
// sender has, so that only the difference is sent.
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

// Records answers a RecordsRequest: the names of all records in force at
// Revision, and the bodies that the asker lacks.
type Records struct {
	Revision uint64
	Present  []RecordVersion
	Bodies   []StoredRecord
}

// Message is the envelope of the control links: exactly one field is set.
// Unknown fields are skipped, so that versions can meet during a rollout.
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

// Mapping tells where a flow is pinned. Hash stands for the key where both
// sides need no more.
type Mapping struct {
	_      struct{} `cbor:",toarray"`
	Key    bronzeflow.Key
	Server bronzeflow.ServerID
	State  bronzeflow.State
	Flags  bronzeflow.Flags
	Echo   uint32
}

// CopyItem is the compact form of an exception: the hash of the flow's key,
// the server, and whether the copy is to be dropped.
type CopyItem struct {
	_      struct{} `cbor:",toarray"`
	Hash   uint64
	Server bronzeflow.ServerID
	Gone   bool
}

// FlowMessage is the envelope of messages about single flows. They travel as
// datagrams between the nodes' data addresses, are idempotent, and may be
// lost; whoever needs an answer asks again.
type FlowMessage struct {
	// Learn tells a balancer that relayed a packet where the flow is pinned.
	Learn *Mapping `cbor:",omitempty"`
	// Query asks what the receiver knows of a flow; Open is set when the
	// asker wants to place it.
	Query *Query `cbor:",omitempty"`
	// Answer answers a Query; Mapping.Server 0 means that nothing is known.
	Answer *Mapping `cbor:",omitempty"`
	// Copies are exceptions for the successor to keep.
	Copies []CopyItem `cbor:",omitempty"`
	// CopyAcks are the hashes whose copies the successor holds.
	CopyAcks []uint64 `cbor:",omitempty"`
	// Forget ends what the receiver learned of a flow.
	Forget *bronzeflow.Key `cbor:",omitempty"`
}

// Query is the question of a balancer that owns a flow but doesn't know it.
type Query struct {
	_    struct{} `cbor:",toarray"`
	Key  bronzeflow.Key
	Open bool
}
