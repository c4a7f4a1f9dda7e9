package bronzeconf

import (
	"net/netip"
	"time"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// Service is the configuration of one service, independent of the schema version
// of its record. It is immutable once it is in a Snapshot.
type Service struct {
	Customer string
	Brand    string
	Name     string
	// SchemaVersion is the schema version of the record.
	SchemaVersion int
	Addresses     []netip.Addr
	Rules         []Rule
	Pool          []BackendServer
	Policy        Policy
	Limits        Limits
	Retry         Retry
	// OpenDeadline limits the time from a flow's first Open until it is
	// established or refused.
	OpenDeadline time.Duration
	// IdleTimeout is the time without packets after which a flow ends.
	IdleTimeout time.Duration
	// Priority orders services when not all can be served, from 0, the most
	// urgent, to MaxPriority. Objective is the target for the time of a
	// request, 0 if there is none.
	Priority  int
	Objective time.Duration
	Share     Share
	// Closed means that the service takes no new flows.
	Closed bool
	Shed   Shed
}

// Share bounds what the service's Customer gets of what a balancer admits while
// not all can be served, as fractions. Highest is 0 if there is no upper bound.
type Share struct {
	Guaranteed float64
	Highest    float64
}

// Shed orders to refuse a fraction of the callers' new flows until a time. A
// Fraction of 0 orders nothing.
type Shed struct {
	Fraction float64
	Until    time.Time
}

// Rule is a protocol and port that the service accepts on each of its addresses.
type Rule struct {
	Protocol bronzeflow.Protocol
	Port     uint16
}

// ServerStatus is the status of a BackendServer in a record.
type ServerStatus string

// The values of ServerStatus.
const (
	Serving  ServerStatus = "Serving"
	Draining ServerStatus = "Draining"
)

// BackendServer is one instance in a service's pool.
type BackendServer struct {
	// ID is derived from the Customer and the Instance.
	ID       bronzeflow.ServerID `json:"-"`
	Instance string
	// Address is the UDP address of its tunnel endpoint.
	Address          netip.AddrPort
	AvailabilityZone string
	// Slots is the number of requests that it runs at once, and Connections
	// the number of flows that it can hold. Both are hard limits; 0 means no
	// limit.
	Slots       int
	Connections int
	Status      ServerStatus
	// Report is the URL of its health and load endpoint, or empty.
	Report string
}

// Policy controls the trade-off between broken flows and imbalance.
type Policy struct {
	// ImbalanceBound is the ratio of a server's load to its fair share above
	// which a flow is not placed on its first candidate: 1.05 means 5% over.
	ImbalanceBound float64
	// ColdStart is how long the share of a new server is ramped up.
	ColdStart time.Duration
}

// Limits are the maximum numbers of half-open flows, of all flows, and of new
// flows per second of one service on one balancer. 0 means no limit.
type Limits struct {
	HalfOpen     int
	Open         int
	NewPerSecond int
}

// Retry limits further attempts to open a flow.
type Retry struct {
	// Budget is the number of retries allowed for each first attempt, 0 to 1.
	Budget float64
	// Attempts is the maximum number of servers on which a flow is tried.
	Attempts int
	// Idempotent means that requests may run twice, so that an Open whose
	// payload was already forwarded may be retried on another server.
	Idempotent bool
}

// Match returns the service that claims the destination of key, or nil.
func (s *Snapshot) Match(key *bronzeflow.Key) *Service {
	if s == nil {
		return nil
	}
	return s.match[matchKey{key.Service, key.ServicePort, key.Protocol}]
}

// Server returns the BackendServer with the given ID and the service whose pool
// contains it; ok is false if there is none.
func (s *Snapshot) Server(id bronzeflow.ServerID) (svc *Service, b *BackendServer, ok bool) {
	if s == nil {
		return nil, nil, false
	}
	r, ok := s.servers[id]
	return r.service, r.server, ok
}

// Snapshot is the configuration of one revision. It is immutable and safe for
// concurrent use. The zero Snapshot has no services.
type Snapshot struct {
	// Revision increases with each published change.
	Revision uint64
	Services []*Service
	// Refusals lists the records, or parts of them, that are not in force.
	Refusals []Refusal

	match   map[matchKey]*Service
	servers map[bronzeflow.ServerID]serverRef
}

type matchKey struct {
	address  [16]byte
	port     uint16
	protocol bronzeflow.Protocol
}

type serverRef struct {
	service *Service
	server  *BackendServer
	// claims are the endpoints of the service, shared by all servers of its
	// pool.
	claims *[]matchKey
}

// maxLinearClaims is the number of endpoints up to which they are compared one
// by one, which is faster than hashing the destination.
const maxLinearClaims = 8

// Serves reports whether the server with the given ID is in the pool of the
// service that claims the destination of key. It is called for each packet of a
// flow.
func (s *Snapshot) Serves(id bronzeflow.ServerID, key *bronzeflow.Key) bool {
	if s == nil {
		return false
	}
	r, ok := s.servers[id]
	if !ok {
		return false
	}
	if len(*r.claims) > maxLinearClaims {
		return s.Match(key) == r.service
	}
	for i := range *r.claims {
		c := &(*r.claims)[i]
		if c.port == key.ServicePort && c.protocol == key.Protocol && c.address == key.Service {
			return true
		}
	}
	return false
}

// Refusal is a reason why a record is not in force as published. Field is the
// path of the faulty field, or empty for the record as a whole.
type Refusal struct {
	Record string
	Field  string
	Reason string
}

// Error returns the record, the field if any, and the reason.
func (r Refusal) Error() string {
	if r.Field == "" {
		return r.Record + ": " + r.Reason
	}
	return r.Record + ": " + r.Field + ": " + r.Reason
}

// VM is an entry of the platform's list of live and leaving VMs. The list may be
// out of date, so it is only a hint.
type VM struct {
	Name             string
	AvailabilityZone string
	Region           string
	ControlAddress   string
	Leaving          bool
}
