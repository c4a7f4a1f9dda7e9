package bronzeroute

import (
	"net/netip"
	"slices"
	"sync"

	"golang.org/x/time/rate"

	"bronzeusher.example/bronzeusher/bronzetoken"
)

const (
	// maxWide bounds the tokens that are kept of servers that an endpoint's route
	// doesn't name, of all endpoints together: packets with made-up tokens would have those
	// of all servers kept for each endpoint otherwise.
	maxWide = 64 << 10
	// searchRate is how many tokens a second are looked for among all servers where
	// they aren't kept, and searchBurst how many at
	// once. Callers whose flows are at a former pool of a route repeat themselves.
	searchRate  = 100
	searchBurst = 20
)

// tokens are the tokens of the endpoints that packets came for. A Directory and
// its views share them, so that a change of one server costs what that server
// does: made anew for each view, those of thousands would have the next packet wait.
//
// All methods may be called concurrently.
type tokens struct {
	mu        sync.Mutex
	endpoints map[netip.AddrPort]*endpointTokens
	// servers are all that are known, with what tokens depend on. A view's own
	// won't do: a packet that is handled by a former view may be the first of its
	// endpoint, whose tokens would lack the servers that came since.
	servers map[string]tokenHolder
	// wide is how many tokens there are in endpoints' all.
	wide     int
	searches *rate.Limiter
}

// tokenHolder is what of a server its tokens depend on.
type tokenHolder struct {
	pool  string
	since uint64
}

// endpointTokens are the tokens of one endpoint.
type endpointTokens struct {
	// pools are those that the endpoint's route names, nil without a route.
	pools []string
	// served are the tokens of the servers of these pools, all those of all
	// servers, made when a token is asked for that isn't among served.
	served *bronzetoken.Set
	all    *bronzetoken.Set
}

// add takes in a server, or what it now is.
func (t *tokens) add(s *Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := tokenHolder{pool: s.Pool, since: s.RegisteredRevision}
	if before, known := t.servers[s.Instance]; known && before == h {
		return
	}
	if t.servers == nil {
		t.servers = make(map[string]tokenHolder)
	}
	t.servers[s.Instance] = h
	holder := bronzetoken.Holder{Name: s.Instance, Since: s.RegisteredRevision}
	for _, e := range t.endpoints {
		e.served.Remove(s.Instance)
		if slices.Contains(e.pools, s.Pool) {
			e.served.Add(holder)
		}
		if e.all != nil {
			t.wide -= e.all.Len()
			e.all.Add(holder)
			t.wide += e.all.Len()
		}
	}
}

// remove forgets a server.
func (t *tokens) remove(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.servers, instance)
	for _, e := range t.endpoints {
		e.served.Remove(instance)
		if e.all != nil {
			t.wide -= e.all.Len()
			e.all.Remove(instance)
			t.wide += e.all.Len()
		}
	}
}

// token returns the token of a server for an endpoint and its route, nil if it has
// none.
func (t *tokens) token(route *Route, service netip.AddrPort, instance string) uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoint(route, service)
	if token := e.served.Token(instance); token != 0 {
		return token
	}
	if t.widen(e, service) {
		return e.all.Token(instance)
	}
	holder := bronzetoken.Holder{Name: instance, Since: t.servers[instance].since}
	return bronzetoken.NewSet(service.String(), []bronzetoken.Holder{holder}).Token(instance)
}

// name returns the name of the server that a token stands for.
func (t *tokens) name(route *Route, service netip.AddrPort, token uint32) (name string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoint(route, service)
	if name, ok = e.served.Name(token); ok {
		return name, ok
	}
	if t.widen(e, service) {
		return e.all.Name(token)
	}
	return t.search(service, token)
}

// endpoint returns the tokens of an endpoint, made anew if its route names other
// pools than before; the caller holds the lock.
func (t *tokens) endpoint(route *Route, service netip.AddrPort) *endpointTokens {
	e := t.endpoints[service]
	if e != nil && route.namesAll(e.pools) {
		return e
	}
	if e != nil && e.all != nil {
		t.wide -= e.all.Len()
	}
	e = &endpointTokens{pools: route.pools()}
	e.served = t.set(service, func(h tokenHolder) bool { return slices.Contains(e.pools, h.pool) })
	if t.endpoints == nil {
		t.endpoints = make(map[netip.AddrPort]*endpointTokens)
	}
	t.endpoints[service] = e
	return e
}

// retain forgets the endpoints that a table has no route for.
func (t *tokens) retain(routes *Table) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := make(map[netip.AddrPort]*endpointTokens, len(t.endpoints))
	t.wide = 0
	for i := range routes.Routes {
		e := t.endpoints[routes.Routes[i].Service]
		if e == nil {
			continue
		}
		kept[routes.Routes[i].Service] = e
		if e.all != nil {
			t.wide += e.all.Len()
		}
	}
	t.endpoints = kept
}

// widen makes the tokens of all servers for an endpoint, and reports whether they are
// kept; the caller holds the lock.
func (t *tokens) widen(e *endpointTokens, service netip.AddrPort) bool {
	if e.all != nil {
		return true
	}
	if t.wide+len(t.servers) > maxWide {
		return false
	}
	e.all = t.set(service, func(tokenHolder) bool { return true })
	t.wide += e.all.Len()
	return true
}

// search looks for a token among all servers; the caller holds the lock.
func (t *tokens) search(service netip.AddrPort, token uint32) (name string, ok bool) {
	if t.searches == nil {
		t.searches = rate.NewLimiter(searchRate, searchBurst)
	}
	if !t.searches.Allow() {
		return "", false
	}
	endpoint := service.String()
	var found []bronzetoken.Holder
	for name, h := range t.servers {
		if bronzetoken.MayMatch(endpoint, name, token) {
			found = append(found, bronzetoken.Holder{Name: name, Since: h.since})
		}
	}
	return bronzetoken.NewSet(endpoint, found).Name(token)
}

// set returns the tokens of those servers that are included; the caller holds the
// lock.
func (t *tokens) set(service netip.AddrPort, include func(tokenHolder) bool) *bronzetoken.Set {
	var holders []bronzetoken.Holder
	for name, h := range t.servers {
		if include(h) {
			holders = append(holders, bronzetoken.Holder{Name: name, Since: h.since})
		}
	}
	return bronzetoken.NewSet(service.String(), holders)
}

// pools returns the names of the route's pools; a nil route has none.
func (r *Route) pools() (names []string) {
	if r == nil {
		return nil
	}
	for i := range r.Pools {
		names = append(names, r.Pools[i].Pool)
	}
	return names
}

// namesAll reports whether the route's pools are the given ones, in this order.
func (r *Route) namesAll(pools []string) bool {
	if r == nil {
		return len(pools) == 0
	}
	return slices.EqualFunc(r.Pools, pools, func(s WeightedPool, name string) bool { return s.Pool == name })
}
