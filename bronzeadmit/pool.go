package bronzeadmit

import "time"

// Request is what admission depends on of an opening.
type Request struct {
	// Priority is that of the route, 0 for the most urgent.
	Priority int
	Customer string
	// Caller is a hash of the caller's address without its port.
	Caller uint64
}

// Load is the state of a pool.
type Load struct {
	// Waiting is the number of requests per slot that wait at the pool's servers, of all nodes.
	Waiting float64
	// Limit is the number of waiting requests per slot up to which all openings are admitted, 0
	// if there is none.
	Limit float64
}

// Reason is why an opening is admitted or refused.
type Reason uint8

// The values of Reason.
const (
	// Admitted: the pool has room.
	Admitted Reason = iota
	// Guaranteed: the opening is one of those of its priority that are admitted at any pressure.
	Guaranteed
	// Priority: the pool has no room for the opening's priority.
	Priority
	// FairShare: the caller asks more often than others.
	FairShare
	// CustomerShare: the Customer has used up its share.
	CustomerShare
	// Closed: an operator has closed the pool.
	Closed
	// Shed: an operator has ordered to refuse a part of the openings.
	Shed
)

// Verdict is the decision on an opening.
type Verdict struct {
	Admit  bool
	Reason Reason
	// Fraction is the part of openings like this one that is refused now.
	Fraction float64
}

// Pool decides who is admitted to one pool on one node. The zero Pool works. All methods may be
// called concurrently.
type Pool struct{}

// SetLevels sets the distinct priorities of the routes of the pool.
func (p *Pool) SetLevels(priorities []int) {}

// SetRules sets what operators have ordered, nil for nothing.
func (p *Pool) SetRules(rules *Rules) {}

// Decide decides on the first transmission of an opening. The time at is relative to the node's
// start; now is only used to choose the epoch and to end rules.
func (p *Pool) Decide(r Request, l Load, at time.Duration, now time.Time) Verdict {
	return Verdict{Admit: true}
}
