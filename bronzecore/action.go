package bronzecore

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	// Forward sends Packet to the backend server Server.
	Forward ActionKind = iota + 1
	// Reply sends Packet, which came from a backend server, to the caller.
	Reply
	// Relay sends Packet, which came from a caller, to the node Peer.
	Relay
	// RelayReply sends Packet, which came from the backend server Server,
	// to the node Peer.
	RelayReply
	// Drop discards Packet; Reason is counted.
	Drop
	// Refuse tells the caller that the flow was refused and that nothing of
	// it was run; the caller may retry after RetryAfter.
	Refuse
	// Abort ends the caller's flow without a claim about what was run.
	Abort
	// Cancel tells Server that the flow of Packet.Key is given up there.
	Cancel
	// Probe asks Server whether it holds the flow of Packet, with an empty
	// packet that runs nothing. Server answers with Data if it does and
	// Packet.Echo matches its connection (TCP servers check that themselves),
	// otherwise with Refuse. A half-open connection that the caller never
	// confirmed doesn't count as held.
	Probe
	// Send sends Message to the node Peer.
	Send
)

var actionNames = [...]string{
	"None", "Forward", "Reply", "Relay", "RelayReply", "Drop", "Refuse", "Abort", "Cancel", "Probe", "Send",
}

// String returns the kind's name.
func (k ActionKind) String() string {
	if int(k) < len(actionNames) {
		return actionNames[k]
	}
	return "Unknown"
}

// Action is one output of a decision: something for the driver to do. Which
// fields are set depends on Kind.
type Action struct {
	Kind       ActionKind
	Server     bronzeflow.ServerID
	Peer       string
	Packet     bronzeflow.Packet
	Reason     Reason
	RetryAfter time.Duration
	Message    *bronzelink.FlowMessage
}

// Reason is why a packet or flow was dropped, refused, aborted, cancelled or
// retried. Each reason has a counter.
type Reason uint8

// The reasons.
const (
	None Reason = iota
	// InvalidPacket: the packet's kind isn't valid in its direction.
	InvalidPacket
	// NoService: no service in force claims the destination.
	NoService
	// NoServer: no backend server may take a new flow.
	NoServer
	// HalfOpenLimit, OpenLimit, RateLimit: a limit of the service or the node.
	HalfOpenLimit
	OpenLimit
	RateLimit
	// TableFull: the flow table is full and has nothing to evict.
	TableFull
	// RetryBudget: a retry would exceed the service's retry budget.
	RetryBudget
	// OpenDeadline: the flow was not established before its deadline.
	OpenDeadline
	// ServerRefused: a backend server refused the opening.
	ServerRefused
	// ServerSilent: a backend server did not answer the opening.
	ServerSilent
	// ServerGone: the flow's backend server is no longer in force.
	ServerGone
	// LateAnswer: the answer to an opening that was given up.
	LateAnswer
	// ForeignServer: the sending server is not in the pool of the packet's
	// service.
	ForeignServer
	// UnknownFlow: no node and no backend server knows the flow.
	UnknownFlow
	// Recovering: the flow's backend server is being recovered.
	Recovering
	// EchoMismatch: the packet belongs to a connection with another server.
	EchoMismatch
	// RelayLoop: the packet was already relayed MaxHops times.
	RelayLoop
	// Fenced: this node was paused past its lease and is synchronizing with
	// its peers.
	Fenced
	// NotReady: this node has not synchronized with its peers yet.
	NotReady
	// CallerGone: the caller closed or reset the flow.
	CallerGone
	// Draining: this node is leaving and places no new flows.
	Draining
	// ServiceClosed: the service's record closes it to new flows.
	ServiceClosed
	// Shed: the service's record orders to refuse a part of the callers.
	Shed
	// Overloaded: all servers of the service are full, and the service's
	// priority or share leaves no room for the flow.
	Overloaded
	reasonCount
)

var reasonNames = [reasonCount]string{
	"None", "InvalidPacket", "NoService", "NoServer", "HalfOpenLimit", "OpenLimit", "RateLimit",
	"TableFull", "RetryBudget", "OpenDeadline", "ServerRefused", "ServerSilent", "ServerGone",
	"LateAnswer", "ForeignServer", "UnknownFlow", "Recovering", "EchoMismatch", "RelayLoop",
	"Fenced", "NotReady", "CallerGone", "Draining",
	"ServiceClosed", "Shed", "Overloaded",
}

// String returns the reason's name, which is also the name of its counter.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "Unknown"
}

// Reasons returns all reasons, so that a caller can create a counter for each.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount)
	for r := None; r < reasonCount; r++ {
		all = append(all, r)
	}
	return all
}
