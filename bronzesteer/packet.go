package bronzesteer

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzeadmit"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzepool"
	"bronzeusher.example/bronzeusher/bronzeroute"
)

// Packet is the part of a caller's packet that decisions depend on.
type Packet struct {
	Key bronzeflow.Key
	// Open marks an opening. Retransmits counts how often it has been sent before.
	Open        bool
	Retransmits int
	// Accept marks the acceptance of an opening, which callers never send.
	Accept bool
	// Final marks the caller's last byte, Abort that the caller gives the flow up.
	Final bool
	Abort bool
	// Returned marks a packet that a node has sent back.
	Returned bool
	// Delayed marks a packet that waited in this node while it was paused.
	Delayed bool
	// Token is the token that the flow's server last sent, 0 if none.
	Token uint32
	// Sequence is the number of the first of Length payload bytes, Acknowledged the number
	// up to which the caller has the answer.
	Sequence     uint32
	Acknowledged uint32
	Length       int
	// Bytes is the opening as received, for sending it again, or nil if it must not be. It
	// is copied if kept.
	Bytes []byte
}

// Kind is what to do with a packet.
type Kind uint8

const (
	// Drop discards the packet.
	Drop Kind = iota
	// Forward sends the packet to a server with a token.
	Forward
	// End answers the packet with a reset.
	End
	// Wait keeps the packet until there is a view.
	Wait
)

var kindNames = [...]string{"Drop", "Forward", "End", "Wait"}

// String returns the kind's name.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "Unknown"
}

// Reason is the reason of a Decision.
type Reason uint8

// Openings are Placed, Repeated, Retried, Hedged or Corrected if they are forwarded, other
// packets Steered. The remaining reasons are those for which packets are not forwarded.
const (
	// Placed: an opening was placed on a server.
	Placed Reason = iota
	// Repeated: a retransmitted opening was sent to the same server.
	Repeated
	// Retried: a retransmitted opening was sent to another server.
	Retried
	// Hedged: an unanswered opening was sent to a further server before its caller
	// retransmitted it.
	Hedged
	// Corrected: the opening of an open flow was sent again to another server that may have
	// accepted it, with the token of the flow's server.
	Corrected
	// Steered: the packet was sent to the server of its token.
	Steered
	// NoRoute: no route in force has the destination.
	NoRoute
	// RouteWithdrawn: the flow's route is no longer in force.
	RouteWithdrawn
	// NoServer: no server of the route may take the flow.
	NoServer
	// ZoneDrained: the servers of the route that could take the flow are in drained
	// AvailabilityZones.
	ZoneDrained
	// ServersCold: the servers of the route that could take the flow have just started, and
	// their warm-up limit is used up.
	ServersCold
	// NoneAnswers: none of the route's servers answers any caller.
	NoneAnswers
	// Overloaded: the route's servers are too busy to serve another flow in time.
	Overloaded
	// ServerGone: the flow's server no longer exists.
	ServerGone
	// ServerSilent: the flow's server has failed or is unreachable, and answers nobody.
	ServerSilent
	// ServerReborn: the flow's server has restarted since, and doesn't have the flow.
	ServerReborn
	// NoToken: the packet of an established flow has no token.
	NoToken
	// TokenUnknown: no server with the token is known here.
	TokenUnknown
	// NotACaller: the packet comes from a server, or was sent back.
	NotACaller
	// NoView: there is no view yet.
	NoView
	// Delayed: the opening waited while the node was paused, and its caller still retransmits
	// it or has done so by way of another node.
	Delayed
	// Unsure: the records would have the packet refused, but may be out of date.
	Unsure
	// ReasonCount is the number of reasons.
	ReasonCount
)

var reasonNames = [ReasonCount]string{
	"Placed", "Repeated", "Retried", "Hedged", "Corrected", "Steered", "NoRoute", "RouteWithdrawn", "NoServer", "ZoneDrained",
	"ServersCold", "NoneAnswers", "Overloaded", "ServerGone", "ServerSilent", "ServerReborn", "NoToken", "TokenUnknown", "NotACaller", "NoView",
	"Delayed", "Unsure",
}

// String returns the reason's name.
func (r Reason) String() string {
	if r < ReasonCount {
		return reasonNames[r]
	}
	return "Unknown"
}

// Reasons returns all reasons, such as for a counter each.
func Reasons() (all []Reason) {
	for r := range ReasonCount {
		all = append(all, r)
	}
	return all
}

// Decision is what to do with a packet, and why.
type Decision struct {
	Kind   Kind
	Reason Reason
	// Server and Token are set if Kind is Forward.
	Server *bronzeroute.Server
	Token  uint32
	// Tried, if set, is the flow's previous server if Reason is Retried, Hedged, ServerGone
	// or ServerSilent, and its present one if Reason is Corrected. If it is NoneAnswers or
	// Overloaded, Tried is the server that would have been chosen, and if it is ZoneDrained or
	// ServersCold, the one that was sent the opening before.
	Tried *bronzeroute.Server
	// Priority, Load and Verdict are what a first transmission was decided by, set if an
	// opening is refused as Overloaded.
	Priority int
	Load     bronzeadmit.Load
	Verdict  bronzeadmit.Verdict
	// TrackingDenial is why a forwarded flow isn't tracked. It is Admitted if the flow is
	// tracked or nothing is forwarded.
	TrackingDenial bronzepool.Denial
	// HandshakeTime is how long the flow's opening took. It is set with the first packet of
	// an open flow that this node has opened.
	HandshakeTime time.Duration
	// Hedge is set with the same packet to the outcome if further servers were tried.
	Hedge HedgeOutcome
	// Adopted is set with the first packet of an open flow that another node has opened.
	Adopted bool
	// Other is the server whose token the packet has, if that isn't the flow's server.
	Other *bronzeroute.Server
}

// HedgeOutcome is the outcome of an opening that was sent to several servers.
type HedgeOutcome uint8

const (
	// NotHedged means that only one server was tried.
	NotHedged HedgeOutcome = iota
	// HedgeWon means that the caller continues with a further server.
	HedgeWon
	// HedgeLost means that the caller continues with the first server, which took longer
	// than expected.
	HedgeLost
)

// String returns the outcome's name.
func (o HedgeOutcome) String() string {
	switch o {
	case HedgeWon:
		return "HedgeWon"
	case HedgeLost:
		return "HedgeLost"
	default:
		return "NotHedged"
	}
}
