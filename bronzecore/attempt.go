package bronzecore

import (
	"slices"
	"sync"
	"time"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// phase is what an attempt waits for.
type phase uint8

const (
	// querying: other nodes are asked whether they know the flow.
	querying phase = iota + 1
	// opening: the server of the entry was sent the opening.
	opening
	// probing: servers are asked whether they know the flow.
	probing
)

// attempt is what the owner keeps of a flow that is not established yet or
// that it has to find again. It lives in a shard, under the shard's lock.
type attempt struct {
	key   bronzeflow.Key
	hash  uint64
	phase phase
	// held is the latest packet that waits for the outcome; its Raw is a
	// copy. For an opening it is the packet to try the next server with.
	held bronzeflow.Packet
	// tried are the servers that were sent the opening, the last one being
	// the current; or the servers that were probed.
	tried []bronzeflow.ServerID
	// denied are the probed servers that don't know the flow.
	denied []bronzeflow.ServerID
	// lastProbed is when servers were last probed.
	lastProbed time.Time
	// outstanding are the nodes whose answer is outstanding.
	outstanding map[string]struct{}
	// widened is set once more nodes than the former owners are asked.
	widened bool
	// stale is an entry from before a pause, used if nobody knows better.
	stale bronzeflow.Entry
	// committed is set once payload was forwarded.
	committed bool
	// partitioned is set if the fleet was split when the attempt began or placed
	// its flow: the other side may know the flow.
	partitioned bool
	started     time.Time
	// phaseDeadline is when the phase times out; deadline when the attempt gives up.
	phaseDeadline time.Time
	deadline      time.Time
}

func (a *attempt) server() bronzeflow.ServerID {
	if len(a.tried) == 0 {
		return 0
	}
	return a.tried[len(a.tried)-1]
}

// soleUnanswered returns the probed server that has not answered, if there is one
// only. Otherwise it returns 0.
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

// isOpen reports whether the attempt is to place a new flow, not to find one.
func (a *attempt) isOpen() bool {
	return a.held.Kind == bronzeflow.Open || a.held.Kind == bronzeflow.Datagram
}

// hold keeps a copy of the packet that waits. An earlier copy is not written
// over: a driver may still be sending it.
func (a *attempt) hold(p *bronzeflow.Packet) {
	a.held = *p
	a.held.Raw = slices.Clone(p.Raw)
}

const (
	// attemptShards divides the attempts; one shard's lock is held for a
	// whole slow decision of a flow, which makes those atomic for each flow.
	attemptShards = 64
	// maxAttempts bounds one shard's attempts, so that a flood of packets of
	// unknown flows costs a bounded amount of memory. Packets beyond it are
	// dropped and counted; their senders retransmit.
	maxAttempts = 512
)

type attemptShard struct {
	mu       sync.Mutex
	attempts map[bronzeflow.Key]*attempt
}

// add starts an attempt for a packet, or returns nil if there is no room.
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
