package bronzepool

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzeflow"
)

// Pool chooses backend servers for one service. The zero value is empty and
// ready. All methods may be called concurrently.
type Pool struct{}

// SetService puts a service's pool and policy in force. Counts of servers
// that stay are kept; now starts the ramp of servers that are new, except on
// the first call.
func (p *Pool) SetService(svc *bronzeconf.Service) {}

// SetOwners tells how many nodes place flows on the pool, at least 1.
func (p *Pool) SetOwners(n int) {}

// Candidates appends to dst up to n servers for the flow hash in rendezvous
// order over the whole pool, those that are leaving included: the order in
// which to look for an existing flow.
func (p *Pool) Candidates(hash uint64, n int, dst []bronzeflow.ServerID) []bronzeflow.ServerID {
	return dst
}

// Choose picks the server for a new flow, never one of tried. first is true
// when it is the flow's first candidate in the order of Candidates, so that
// other nodes can derive it. With plain set it takes the first candidate that
// may have work whatever its load (but for hard limits), so that both sides
// of a partition choose alike. ok is false if no server may take it.
func (p *Pool) Choose(hash uint64, tried []bronzeflow.ServerID, plain bool) (id bronzeflow.ServerID, first, ok bool) {
	return 0, false, false
}

// Opened counts a flow that this node owns on server id.
func (p *Pool) Opened(id bronzeflow.ServerID) {}

// Ended takes a flow of Opened back.
func (p *Pool) Ended(id bronzeflow.ServerID) {}

// Accepted notes that server id established a flow after the given time.
func (p *Pool) Accepted(id bronzeflow.ServerID, after time.Duration) {}

// Refused notes that server id refused an opening or let it time out.
func (p *Pool) Refused(id bronzeflow.ServerID, silent bool) {}

// SetOwned replaces what the node origin says of the flows that it owns.
// A nil map forgets origin.
func (p *Pool) SetOwned(origin string, counts map[bronzeflow.ServerID]uint32) {}

// Owned appends the counts of this node's own flows, to be shared.
func (p *Pool) Owned(dst map[bronzeflow.ServerID]uint32) {}

// Report is what a server's own endpoint, or a peer that polled it, says.
type Report struct {
	Server      bronzeflow.ServerID
	Connections int
	Leaving     bool
	At          time.Time
}

// Observe takes a report in.
func (p *Pool) Observe(r Report) {}

// SetLeaving marks server id as leaving, from whatever source; it is cleared
// after hold unless a source says so again.
func (p *Pool) SetLeaving(id bronzeflow.ServerID, hold time.Duration) {}

// ServerLoad is one server's state for operators.
type ServerLoad struct {
	Server   bronzeflow.ServerID
	Instance string
	Own      int
	Total    float64
	Reported int
	Trust    float64
	Leaving  bool
}

// Loads returns the state of every server.
func (p *Pool) Loads() []ServerLoad { return nil }
