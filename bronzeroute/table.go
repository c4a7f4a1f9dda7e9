package bronzeroute

import (
	"net/netip"
	"time"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// WeightedPool is one pool of a route and its weight among the route's pools.
type WeightedPool struct {
	Pool   string
	Weight int
}

// Route says where new flows to one address and port go.
type Route struct {
	Name    string
	Service netip.AddrPort
	// Customer is whose service it is. What it uses of a node is bounded so that
	// others have room.
	Customer string
	Pools    []WeightedPool
	// Idempotent says that callers repeat the requests in these flows after
	// any failure, so that ending a flow early loses nothing.
	Idempotent bool
	// Priority orders routes when not all can be served, 0 first.
	Priority int
	// Timeout is how long one request may take, Objective how long it should.
	Timeout   time.Duration
	Objective time.Duration
}

// HasPool reports whether the route names the pool, whatever its weight: a
// weight that fell to 0 keeps new flows away but doesn't end open ones.
func (r *Route) HasPool(pool string) bool {
	for i := range r.Pools {
		if r.Pools[i].Pool == pool {
			return true
		}
	}
	return false
}

// Pick returns the pool for a flow with the given hash, in proportion to the
// weights. Copies of one opening have one hash, so they pick one pool on every
// node. ok is false if no pool has a weight.
func (r *Route) Pick(hash uint64) (pool string, ok bool) {
	total := 0
	for i := range r.Pools {
		total += r.Pools[i].Weight
	}
	if total <= 0 {
		return "", false
	}
	// Mix makes the choice independent of other uses of the hash.
	at := int(bronzeflow.Mix(hash, pickSalt) % uint64(total))
	for i := range r.Pools {
		at -= r.Pools[i].Weight
		if at < 0 {
			return r.Pools[i].Pool, true
		}
	}
	return "", false
}

// pickSalt is any number that no other use of Mix has.
const pickSalt = 0x706f6f6c

// Warmup is what the servers of a pool bear after a start.
type Warmup struct {
	// Duration is how long a start takes.
	Duration time.Duration
	// RequestsPerSecond is how many requests a second one server may get meanwhile, of all nodes
	// together; 0 if no limit is told.
	RequestsPerSecond float64
}

// Table is one published version of the routes.
type Table struct {
	// Version grows with each publication, in uneven steps.
	Version uint64
	Routes  []Route
	// Warmups are those of the pools that tell any.
	Warmups map[string]Warmup
	// IdleTimeout is how long a flow may be silent before it may be
	// forgotten, 0 for no limit.
	IdleTimeout time.Duration
	// Refusals are the parts of the publication that are left out, one line
	// each that names the field.
	Refusals []string
}
