package bronzeroute

import (
	"net/netip"
	"slices"
	"sync"

	"golang.org/x/time/rate"

	"bronzeusher.example/bronzeusher/bronzetoken"
)

const (
	// maxAllTokens is the total size of the sets of all servers' tokens beyond which no
	// further set is built. Without it, packets with forged tokens would have such a set kept
	// for every endpoint.
	maxAllTokens = 64 << 10
	// searchRate is how many tokens a second may be searched for among all servers where their
	// set isn't kept, and searchBurst how many at once. Callers whose flows are at a former
	// pool of a route retransmit.
	searchRate  = 100
	searchBurst = 20
)

// tokens caches the tokens of the endpoints that have received packets. It is shared by a
// Directory and its views, so that a change of one server updates only that server's tokens.
// Rebuilding those of thousands of servers for each view would delay the next packet.
//
// All methods are safe for concurrent use.
type tokens struct {
	mu        sync.Mutex
	endpoints map[netip.AddrPort]*endpointTokens
	// servers holds all known servers with what their tokens depend on. The servers of a view
	// would not do: if the first packet of an endpoint is handled with an outdated view, the
	// endpoint would lack the tokens of servers added since.
	servers map[string]tokenHolder
	// allCount is the total size of the all sets of the endpoints.
	allCount      int
	searchLimiter *rate.Limiter
}

// tokenHolder holds the properties of a server that its tokens depend on.
type tokenHolder struct {
	pool       string
	registered uint64
}

// endpointTokens holds the tokens of one endpoint.
type endpointTokens struct {
	// pools are the pools that the endpoint's route names, nil without a route.
	pools []string
	// routed holds the tokens of the servers in these pools. all holds those of all servers; it
	// is built when a token is looked up that is not in routed.
	routed *bronzetoken.Set
	all    *bronzetoken.Set
}

// add adds or updates a server.
func (t *tokens) add(s *Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := tokenHolder{pool: s.Pool, registered: s.RegisteredRevision}
	if before, known := t.servers[s.Instance]; known && before == h {
		return
	}
	if t.servers == nil {
		t.servers = make(map[string]tokenHolder)
	}
	t.servers[s.Instance] = h
	holder := bronzetoken.Holder{Name: s.Instance, Since: s.RegisteredRevision}
	for _, e := range t.endpoints {
		e.routed.Remove(s.Instance)
		if slices.Contains(e.pools, s.Pool) {
			e.routed.Add(holder)
		}
		if e.all != nil {
			t.allCount -= e.all.Len()
			e.all.Add(holder)
			t.allCount += e.all.Len()
		}
		if t.allCount > maxAllTokens {
			t.dropAll(e)
		}
	}
}

// dropAll drops the set of all servers' tokens of an endpoint, if there is one. It is built
// again at the next packet that needs it, if there is room. The caller holds the lock.
func (t *tokens) dropAll(e *endpointTokens) {
	if e.all != nil {
		t.allCount -= e.all.Len()
		e.all = nil
	}
}

// remove removes a server.
func (t *tokens) remove(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.servers, instance)
	for _, e := range t.endpoints {
		e.routed.Remove(instance)
		if e.all != nil {
			t.allCount -= e.all.Len()
			e.all.Remove(instance)
			t.allCount += e.all.Len()
		}
	}
}

// token returns the token of a server for an endpoint and its route, 0 if it has none.
func (t *tokens) token(route *Route, service netip.AddrPort, instance string) uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoint(route, service)
	if token := e.routed.Token(instance); token != 0 {
		return token
	}
	if t.ensureAll(e, service) {
		return e.all.Token(instance)
	}
	holder := bronzetoken.Holder{Name: instance, Since: t.servers[instance].registered}
	return bronzetoken.NewSet(service.String(), []bronzetoken.Holder{holder}).Token(instance)
}

// name returns the name of the server that a token identifies.
func (t *tokens) name(route *Route, service netip.AddrPort, token uint32) (name string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoint(route, service)
	if name, ok = e.routed.Name(token); ok {
		return name, ok
	}
	if t.ensureAll(e, service) {
		return e.all.Name(token)
	}
	return t.search(service, token)
}

// endpoint returns the tokens of an endpoint, rebuilt if its route names other pools than
// before. The caller holds the lock.
func (t *tokens) endpoint(route *Route, service netip.AddrPort) *endpointTokens {
	e := t.endpoints[service]
	if e != nil && route.hasPools(e.pools) {
		return e
	}
	if e != nil {
		t.dropAll(e)
	}
	e = &endpointTokens{pools: route.poolNames()}
	e.routed = t.set(service, func(h tokenHolder) bool { return slices.Contains(e.pools, h.pool) })
	if t.endpoints == nil {
		t.endpoints = make(map[netip.AddrPort]*endpointTokens)
	}
	t.endpoints[service] = e
	return e
}

// retain drops the endpoints that have no route in the table.
func (t *tokens) retain(routes *Table) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := make(map[netip.AddrPort]*endpointTokens, len(t.endpoints))
	t.allCount = 0
	for i := range routes.Routes {
		e := t.endpoints[routes.Routes[i].Service]
		if e == nil {
			continue
		}
		kept[routes.Routes[i].Service] = e
		if e.all != nil {
			t.allCount += e.all.Len()
		}
	}
	t.endpoints = kept
}

// ensureAll builds the set of all servers' tokens for an endpoint unless it exists or would
// exceed maxAllTokens. It reports whether the set exists. The caller holds the lock.
func (t *tokens) ensureAll(e *endpointTokens, service netip.AddrPort) bool {
	if e.all != nil {
		return true
	}
	if t.allCount+len(t.servers) > maxAllTokens {
		return false
	}
	e.all = t.set(service, func(tokenHolder) bool { return true })
	t.allCount += e.all.Len()
	return true
}

// search looks for a token among all servers, within the rate limit. The caller holds the lock.
func (t *tokens) search(service netip.AddrPort, token uint32) (name string, ok bool) {
	if t.searchLimiter == nil {
		t.searchLimiter = rate.NewLimiter(searchRate, searchBurst)
	}
	if !t.searchLimiter.Allow() {
		return "", false
	}
	endpoint := service.String()
	var found []bronzetoken.Holder
	for name, h := range t.servers {
		if bronzetoken.MayMatch(endpoint, name, token) {
			found = append(found, bronzetoken.Holder{Name: name, Since: h.registered})
		}
	}
	return bronzetoken.NewSet(endpoint, found).Name(token)
}

// set returns the tokens of the servers that include selects. The caller holds the lock.
func (t *tokens) set(service netip.AddrPort, include func(tokenHolder) bool) *bronzetoken.Set {
	var holders []bronzetoken.Holder
	for name, h := range t.servers {
		if include(h) {
			holders = append(holders, bronzetoken.Holder{Name: name, Since: h.registered})
		}
	}
	return bronzetoken.NewSet(service.String(), holders)
}

// poolNames returns the names of the route's pools, nil for a nil route.
func (r *Route) poolNames() (names []string) {
	if r == nil {
		return nil
	}
	for i := range r.Pools {
		names = append(names, r.Pools[i].Pool)
	}
	return names
}

// hasPools reports whether the route names exactly the given pools, in this order.
func (r *Route) hasPools(pools []string) bool {
	if r == nil {
		return len(pools) == 0
	}
	return slices.EqualFunc(r.Pools, pools, func(s WeightedPool, name string) bool { return s.Pool == name })
}
