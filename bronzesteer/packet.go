package bronzesteer

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzepool"
	"bronzeusher.example/bronzeusher/bronzeroute"
)

// Packet is what the decisions read of a caller's packet.
type Packet struct {
	Key bronzeflow.Key
	// Open marks an opening. Retransmits counts its repetitions, 0 for the first.
	Open        bool
	Retransmits int
	// Accept marks the acceptance of an opening, which callers never send.
	Accept bool
	// Final marks the caller's last byte, Abort its giving the flow up.
	Final bool
	Abort bool
	// Returned marks a packet that some node has sent back.
	Returned bool
	// Token is the one that the flow's server last sent, 0 if none.
	Token uint32
	// Sequence numbers the first of Length payload bytes; Acknowledged is up
	// to where the caller has the answer.
	Sequence     uint32
	Acknowledged uint32
	Length       int
	// Bytes is an opening as it came, to be sent again; nil if it isn't to be. It is
	// copied where it is kept.
	Bytes []byte
}

// Kind is what is to be done with a packet.
type Kind uint8

const (
	// Drop discards the packet.
	Drop Kind = iota
	// Forward sends it to a server with a token.
	Forward
	// End answers it with a reset.
	End
	// Wait keeps it until there is a view.
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

// Reason tells why.
type Reason uint8

// The reasons of decisions. Openings are Placed, Repeated, Retried or Hedged, or not
// forwarded for the reasons that follow; other packets are Steered or not.
const (
	// Placed: an opening went to a server that was chosen for it.
	Placed Reason = iota
	// Repeated: a copy of an opening went to the same server.
	Repeated
	// Retried: a copy of an opening went to another server.
	Retried
	// Hedged: an opening without an answer went to a further server before its caller
	// repeated it.
	Hedged
	// Steered: the packet went where its token says.
	Steered
	// NoRoute: no route in force has the destination.
	NoRoute
	// RouteWithdrawn: the flow's route is no longer in force.
	RouteWithdrawn
	// NoServer: no server of the route may take the flow.
	NoServer
	// ZoneDrained: the servers of the route that could take the flow are in
	// AvailabilityZones that are drained.
	ZoneDrained
	// ServersCold: the servers of the route that could take the flow have just started,
	// and have as much to do as they bear.
	ServersCold
	// NoneAnswers: the servers of the route leave all callers without an answer.
	NoneAnswers
	// Overloaded: the route's servers have too much to do to serve another flow
	// in time.
	Overloaded
	// ServerGone: the flow's server is no more.
	ServerGone
	// ServerSilent: the flow's server answers nobody, and the flow's requests
	// may be repeated.
	ServerSilent
	// ServerReborn: the flow's server has started again since, without the flow.
	ServerReborn
	// NoToken: the packet of an established flow has no token.
	NoToken
	// TokenUnknown: no server with the token is known here.
	TokenUnknown
	// NotACaller: the packet comes from a server, or was sent back.
	NotACaller
	// NoView: nothing is known yet.
	NoView
	// Unsure: the records would have the packet refused, but may be out of date.
	Unsure
	// ReasonCount is how many reasons there are.
	ReasonCount
)

var reasonNames = [ReasonCount]string{
	"Placed", "Repeated", "Retried", "Hedged", "Steered", "NoRoute", "RouteWithdrawn", "NoServer", "ZoneDrained",
	"ServersCold", "NoneAnswers", "Overloaded", "ServerGone", "ServerSilent", "ServerReborn", "NoToken", "TokenUnknown", "NotACaller", "NoView",
	"Unsure",
}

// String returns the reason's name.
func (r Reason) String() string {
	if r < ReasonCount {
		return reasonNames[r]
	}
	return "Unknown"
}

// Reasons returns all reasons, for a counter each.
func Reasons() (all []Reason) {
	for r := range ReasonCount {
		all = append(all, r)
	}
	return all
}

// Decision is what is to be done with a packet, and why.
type Decision struct {
	Kind   Kind
	Reason Reason
	// Server and Token are set if Kind is Forward.
	Server *bronzeroute.Server
	Token  uint32
	// Tried is the flow's server where that is why the flow goes elsewhere or
	// ends: where Reason is Retried, Hedged, ServerGone or ServerSilent. Where it is
	// NoneAnswers or Overloaded, it is the server that would have been asked, and where it
	// is ZoneDrained or ServersCold the one that has an earlier copy.
	Tried *bronzeroute.Server
	// ExpectedDelay is how long the requests at work in the pool will take, set where an
	// opening is turned away.
	ExpectedDelay time.Duration
	// TrackingDenial is why the flow isn't followed though it is forwarded, Admitted
	// if it is or if nothing is forwarded.
	TrackingDenial bronzepool.Denial
	// HandshakeTime is how long the flow's opening took, set with the first packet
	// of an open flow that this node has opened.
	HandshakeTime time.Duration
	// Hedge tells with the same packet how it went if further servers were asked.
	Hedge HedgeOutcome
}

// HedgeOutcome is who answered an opening that went to several servers.
type HedgeOutcome uint8

const (
	// NotHedged says that one server was asked.
	NotHedged HedgeOutcome = iota
	// HedgeWon says that the caller goes on with a further server.
	HedgeWon
	// HedgeLost says that the caller goes on with the first, which took longer than
	// expected.
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
