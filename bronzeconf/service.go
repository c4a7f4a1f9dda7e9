package bronzeconf

import (
	"net/netip"
	"time"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// Service is one service in force, whatever schema version its record has.
// It is immutable once it is in a Snapshot.
type Service struct {
	Customer string
	Brand    string
	Name     string
	// SchemaVersion is the version of the record that it came from.
	SchemaVersion int
	Addresses     []netip.Addr
	Rules         []Rule
	Pool          []BackendServer
	Policy        Policy
	Limits        Limits
	Retry         Retry
	// OpenDeadline bounds the time from a flow's first Open to its
	// establishment or refusal.
	OpenDeadline time.Duration
	// IdleTimeout ends a flow without packets.
	IdleTimeout time.Duration
}

// Rule names traffic that the service takes on each of its addresses.
type Rule struct {
	Protocol bronzeflow.Protocol
	Port     uint16
}

// ServerStatus is what a record says of a BackendServer.
type ServerStatus string

// The statuses of a BackendServer in a record.
const (
	Serving  ServerStatus = "Serving"
	Draining ServerStatus = "Draining"
)

// BackendServer is one instance in a service's pool.
type BackendServer struct {
	// ID is derived from the Customer and Instance.
	ID       bronzeflow.ServerID `json:"-"`
	Instance string
	// Address is where its tunnel endpoint listens (UDP).
	Address          netip.AddrPort
	AvailabilityZone string
	// Slots is how many requests it runs at once; Connections how many
	// flows it can hold. Both are hard limits, 0 means no limit.
	Slots       int
	Connections int
	Status      ServerStatus
	// Report is the URL of its health and load endpoint, or empty.
	Report string
}

// Policy weighs broken flows against imbalance.
type Policy struct {
	// ImbalanceBound is how far a server's load may go over the fair share
	// before a flow is placed off its first candidate: 1.05 is 5% over.
	ImbalanceBound float64
	// ColdStart is how long a new server's share is ramped up.
	ColdStart time.Duration
}

// Limits bound what one service may use of a balancer. 0 means no limit.
type Limits struct {
	HalfOpen     int
	Open         int
	NewPerSecond int
}

// Retry bounds further attempts to open a flow.
type Retry struct {
	// Budget is the share of opens that may be attempted again, 0 to 1.
	Budget float64
	// Attempts is the most servers that one flow is tried on.
	Attempts int
	// Idempotent says that requests may run twice, so that an open whose
	// payload was already forwarded may be tried elsewhere.
	Idempotent bool
}

// Endpoint is one address, protocol and port that a service claims.
type Endpoint struct {
	Address  netip.Addr
	Protocol bronzeflow.Protocol
	Port     uint16
}

// Match returns the service that claims the destination of key, or nil.
func (s *Snapshot) Match(key *bronzeflow.Key) *Service {
	if s == nil {
		return nil
	}
	return s.match[matchKey{key.Service, key.ServicePort, key.Protocol}]
}

// Server returns the BackendServer with the given identifier and the service
// whose pool holds it; ok is false if it is not in force.
func (s *Snapshot) Server(id bronzeflow.ServerID) (svc *Service, b *BackendServer, ok bool) {
	if s == nil {
		return nil, nil, false
	}
	r, ok := s.servers[id]
	return r.service, r.server, ok
}

// Snapshot is a configuration in force: immutable, safe for concurrent use.
// The zero Snapshot has no services.
type Snapshot struct {
	// Revision grows with each published change and never falls.
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
	// claims are the endpoints that the service has, shared by all servers of
	// its pool.
	claims *[]matchKey
}

// fewClaims is up to how many endpoints are compared one by one, which is
// faster than to hash the destination.
const fewClaims = 8

// Serves reports whether the server with the given identifier is in the pool
// of the service that claims the destination of key. It is asked for each
// packet of a flow.
func (s *Snapshot) Serves(id bronzeflow.ServerID, key *bronzeflow.Key) bool {
	if s == nil {
		return false
	}
	r, ok := s.servers[id]
	if !ok {
		return false
	}
	if len(*r.claims) > fewClaims {
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

// Refusal tells why a record is not in force as published. Field is the path
// of what is wrong, or empty for the record as a whole.
type Refusal struct {
	Record string
	Field  string
	Reason string
}

// Error describes the refusal.
func (r Refusal) Error() string {
	if r.Field == "" {
		return r.Record + ": " + r.Reason
	}
	return r.Record + ": " + r.Field + ": " + r.Reason
}

// VM is an entry of the platform's list of live and leaving VMs. The list
// lags, so it is a hint only.
type VM struct {
	Name             string
	AvailabilityZone string
	Region           string
	ControlAddress   string
	Leaving          bool
}
