package bronzeroute

import (
	"net/netip"
	"time"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// WeightedPool is a pool of a route with its weight relative to the route's other pools.
type WeightedPool struct {
	Pool   string
	Weight int
}

// Route directs the new flows of one service address and port to pools.
type Route struct {
	Name    string
	Service netip.AddrPort
	// Customer is the owner of the service. Its use of a node is bounded so that other
	// Customers have room.
	Customer string
	Pools    []WeightedPool
	// Idempotent reports that callers repeat the requests of these flows after any failure, so
	// that ending a flow early loses nothing.
	Idempotent bool
	// Priority orders routes when not all can be served, 0 first.
	Priority int
	// Timeout is the maximum duration of a request, Objective the target.
	Timeout   time.Duration
	Objective time.Duration
}

// HasPool reports whether the route names the pool, whatever its weight: a weight of 0 keeps
// new flows away but doesn't end open ones.
func (r *Route) HasPool(pool string) bool {
	for i := range r.Pools {
		if r.Pools[i].Pool == pool {
			return true
		}
	}
	return false
}

// Pick returns the pool for a flow with the given hash, in proportion to the weights. All
// retransmissions of an opening have the same hash, so every node picks the same pool for them.
// ok is false if no pool has a weight above 0.
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

// pickSalt must differ from the salts of all other uses of Mix.
const pickSalt = 0x706f6f6c

// Warmup describes the warm-up of a pool's servers after a start.
type Warmup struct {
	// Duration is how long a warm-up takes.
	Duration time.Duration
	// RequestsPerSecond is the request rate that one server may get during it from all nodes
	// together, 0 if no limit is given.
	RequestsPerSecond float64
}

// Table is one published version of the routes.
type Table struct {
	// Version increases with each publication, not necessarily by 1.
	Version uint64
	Routes  []Route
	// Pools are the pools that the table declares, whether or not a route leads to them.
	Pools []string
	// Warmups holds the warm-ups by pool; pools without one are absent.
	Warmups map[string]Warmup
	// IdleTimeout is how long a flow may be idle before it may be forgotten, 0 for no limit.
	IdleTimeout time.Duration
	// Refusals lists the parts of the publication that were left out, one line each that names
	// the field.
	Refusals []string
}

// poolNames returns the names of all pools that the table declares or routes to.
func (t *Table) poolNames() (names map[string]struct{}) {
	names = make(map[string]struct{}, len(t.Pools))
	for _, name := range t.Pools {
		names[name] = struct{}{}
	}
	for i := range t.Routes {
		for _, p := range t.Routes[i].Pools {
			names[p.Pool] = struct{}{}
		}
	}
	return names
}
