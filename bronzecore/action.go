package bronzecore

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// ActionKind says what the driver has to do.
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
	// it ran; it may come back after RetryAfter.
	Refuse
	// Abort ends the caller's flow without a claim about what ran.
	Abort
	// Cancel tells Server that the flow of Packet.Key is given up there.
	Cancel
	// Probe asks Server whether it holds the flow of Packet, with an empty
	// packet that runs nothing. Server answers with Data if it does and
	// Packet.Echo fits its connection (TCP servers check that by themselves),
	// otherwise with Refuse: a half-open connection that the caller never
	// took doesn't count.
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

// Action is one output of a decision.
type Action struct {
	Kind       ActionKind
	Server     bronzeflow.ServerID
	Peer       string
	Packet     bronzeflow.Packet
	Reason     Reason
	RetryAfter time.Duration
	Message    *bronzelink.FlowMessage
}

// Reason is why something was dropped, refused, aborted, cancelled or tried
// again. Each has a counter.
type Reason uint8

// The reasons.
const (
	None Reason = iota
	// InvalidPacket: the packet's kind makes no sense in its direction.
	InvalidPacket
	// NoService: no service in force claims the destination.
	NoService
	// NoServer: no backend server may take a new flow.
	NoServer
	// HalfOpenLimit, OpenLimit, RateLimit: the service's limits.
	HalfOpenLimit
	OpenLimit
	RateLimit
	// TableFull: the flow table has no room and nothing to evict.
	TableFull
	// RetryBudget: another attempt would exceed the retry budget.
	RetryBudget
	// OpenDeadline: the flow was not established in time.
	OpenDeadline
	// ServerRefused: a backend server refused the opening.
	ServerRefused
	// ServerSilent: a backend server did not answer the opening.
	ServerSilent
	// ServerGone: the flow's backend server is no longer in force.
	ServerGone
	// LateAnswer: an answer of an attempt that was given up.
	LateAnswer
	// ForeignServer: the sender is not in the pool of the packet's service.
	ForeignServer
	// UnknownFlow: no node and no backend server knows the flow.
	UnknownFlow
	// Recovering: the flow's backend server is being found out.
	Recovering
	// EchoMismatch: the packet belongs to another server's connection.
	EchoMismatch
	// RelayLoop: the packet was relayed too often.
	RelayLoop
	// Fenced: this node slept past its lease and is checking its beliefs.
	Fenced
	// NotReady: this node doesn't know the configuration or its peers yet.
	NotReady
	// CallerGone: the caller closed or reset the flow.
	CallerGone
	// Draining: this node is leaving and places nothing new.
	Draining
	reasonCount
)

var reasonNames = [reasonCount]string{
	"None", "InvalidPacket", "NoService", "NoServer", "HalfOpenLimit", "OpenLimit", "RateLimit",
	"TableFull", "RetryBudget", "OpenDeadline", "ServerRefused", "ServerSilent", "ServerGone",
	"LateAnswer", "ForeignServer", "UnknownFlow", "Recovering", "EchoMismatch", "RelayLoop",
	"Fenced", "NotReady", "CallerGone", "Draining",
}

// String returns the reason's name, which is also its counter's.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "Unknown"
}

// Reasons returns all reasons, for those who make a counter of each.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount)
	for r := None; r < reasonCount; r++ {
		all = append(all, r)
	}
	return all
}
