package bronzecore

import (
	"slices"
	"sync"
	"time"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// phase is the state of an attempt: what it waits for.
type phase uint8

const (
	// querying: other nodes were asked whether they know the flow.
	querying phase = iota + 1
	// opening: the opening was sent to the server of the entry.
	opening
	// probing: servers were asked whether they know the flow.
	probing
)

// attempt is the state of a flow that is being opened or recovered. It belongs
// to a shard and is guarded by the shard's lock.
type attempt struct {
	key   bronzeflow.Key
	hash  uint64
	phase phase
	// held is the latest packet that waits for the outcome; its Raw is a
	// copy. If it is an opening, it is what the next server is tried with.
	held bronzeflow.Packet
	// tried are the servers that were sent the opening, the current one last,
	// or the servers that were probed.
	tried []bronzeflow.ServerID
	// denied are the probed servers that answered that they don't know the
	// flow.
	denied []bronzeflow.ServerID
	// lastProbed is when servers were last probed.
	lastProbed time.Time
	// outstanding are the queried nodes that have not answered.
	outstanding map[string]struct{}
	// widened is set once nodes other than the former owners are queried.
	widened bool
	// stale is the flow's entry from before a pause. It is used if no other
	// node knows the flow.
	stale bronzeflow.Entry
	// committed is set once payload was forwarded.
	committed bool
	// partitioned is set if the fleet was partitioned when the attempt began
	// or placed its flow: the other side may know the flow.
	partitioned bool
	started     time.Time
	// phaseDeadline is when the phase times out, deadline when the attempt is
	// given up.
	phaseDeadline time.Time
	deadline      time.Time
}

func (a *attempt) server() bronzeflow.ServerID {
	if len(a.tried) == 0 {
		return 0
	}
	return a.tried[len(a.tried)-1]
}

// soleUnanswered returns the probed server that has not answered, if there is
// exactly one, and 0 otherwise.
func (a *attempt) soleUnanswered() (id bronzeflow.ServerID) {
	if len(a.denied) != len(a.tried)-1 {
		return 0
	}
	for _, t := range a.tried {
		if !slices.Contains(a.denied, t) {
			return t
		}
	}
	return 0
}

func (a *attempt) wasTried(id bronzeflow.ServerID) bool {
	return slices.Contains(a.tried, id)
}

// isOpen reports whether the attempt is to place a new flow rather than to
// recover an existing one.
func (a *attempt) isOpen() bool {
	return a.held.Kind == bronzeflow.Open || a.held.Kind == bronzeflow.Datagram
}

// hold keeps a copy of p as the packet that waits. It allocates a new buffer,
// since a driver may still be sending the earlier copy.
func (a *attempt) hold(p *bronzeflow.Packet) {
	a.held = *p
	a.held.Raw = slices.Clone(p.Raw)
}

const (
	// attemptShards is the number of shards that attempts are divided into. A
	// decision that involves an attempt holds its shard's lock throughout, so
	// such decisions are atomic for each flow.
	attemptShards = 64
	// maxAttempts is the maximum number of attempts in a shard. It bounds the
	// memory that a flood of packets of unknown flows can take. An opening
	// beyond it is refused; other packets are dropped and counted, and their
	// senders retransmit.
	maxAttempts = 512
)

type attemptShard struct {
	mu       sync.Mutex
	attempts map[bronzeflow.Key]*attempt
}

// add starts an attempt for a packet. It returns nil if the shard is full.
func (s *attemptShard) add(p *bronzeflow.Packet, hash uint64, now time.Time) *attempt {
	if len(s.attempts) >= maxAttempts {
		return nil
	}
	if s.attempts == nil {
		s.attempts = make(map[bronzeflow.Key]*attempt)
	}
	a := &attempt{key: p.Key, hash: hash, started: now}
	a.hold(p)
	s.attempts[p.Key] = a
	return a
}

func (s *attemptShard) remove(a *attempt) {
	delete(s.attempts, a.key)
}
