package bronzecore

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// Balancer makes the decisions of one node. Its fields are set before the
// first call and not changed afterwards; the zero value works alone, without
// peers. All methods may be called concurrently. Methods append what the
// driver has to do to out and return it.
type Balancer struct {
	// Name is this node's name in the fleet.
	Name string
	// Capacity bounds the flow table, 0 means DefaultCapacity.
	Capacity int
	// Settings of time; zero values mean the defaults.
	Timing Timing
}

// Timing holds the durations that a Balancer works with.
type Timing struct {
	// Attempt is how long a server may take to answer an opening.
	Attempt time.Duration
	// Query is how long peers may take to answer a query.
	Query time.Duration
	// Recover is how long a flow may stay unknown before a definite end.
	Recover time.Duration
	// Learned is how long a learned mapping may be idle before it is
	// checked with the flow's owner again.
	Learned time.Duration
	// Closed is how long a closed flow is remembered.
	Closed time.Duration
	// Unsettled is for how long after a change of ownership the previous
	// owners are asked before a flow is placed.
	Unsettled time.Duration
}

// SetSnapshot puts a configuration in force. Older revisions are ignored.
func (b *Balancer) SetSnapshot(s *bronzeconf.Snapshot) {}

// SetView puts a view of the fleet in force.
func (b *Balancer) SetView(v *bronzefleet.View) {}

// FromCaller decides on a packet that the fabric handed over.
func (b *Balancer) FromCaller(p *bronzeflow.Packet, out []Action) []Action { return out }

// FromServer decides on a packet that came from the backend server whose
// tunnel endpoint has one of the given identifiers (one address may serve
// several services).
func (b *Balancer) FromServer(p *bronzeflow.Packet, ids []bronzeflow.ServerID, out []Action) []Action {
	return out
}

// FromPeer decides on a caller's packet that the node peer relayed.
func (b *Balancer) FromPeer(p *bronzeflow.Packet, peer string, out []Action) []Action { return out }

// ReplyFromPeer decides on a packet of server id that the node peer relayed.
func (b *Balancer) ReplyFromPeer(p *bronzeflow.Packet, id bronzeflow.ServerID, peer string, out []Action) []Action {
	return out
}

// Message handles a message about a flow from the node peer.
func (b *Balancer) Message(m *bronzelink.FlowMessage, peer string, out []Action) []Action { return out }

// Tick does what is due: deadlines, retries, copies, expiry. The driver
// calls it every TickInterval.
func (b *Balancer) Tick(out []Action) []Action { return out }

// TickInterval is how often the driver calls Tick.
const TickInterval = 10 * time.Millisecond
