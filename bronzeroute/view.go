package bronzeroute

import (
	"net/netip"
	"sync"

	"bronzeusher.example/bronzeusher/bronzetoken"
)

// View is what the packet path looks things up in: immutable to its users,
// safe for concurrent use.
type View struct {
	Table *Table
	// Servers are all that are known, those that are gone too, by name.
	Servers []*Server

	routes    map[netip.AddrPort]*Route
	withdrawn map[netip.AddrPort]struct{}
	pools     map[string][]*Server
	byName    map[string]*Server

	// mu guards the tokens, which are made when they are first asked for.
	mu     sync.Mutex
	tokens map[netip.AddrPort]*endpointTokens
}

// endpointTokens are the tokens of one endpoint.
type endpointTokens struct {
	// served are those of the servers of the route's pools, all those of all
	// servers, made when a token is asked for that isn't among served.
	served *bronzetoken.Set
	all    *bronzetoken.Set
}

// Route returns the route of an address and port, or nil.
func (v *View) Route(service netip.AddrPort) *Route {
	return v.routes[service]
}

// Withdrawn reports whether an earlier table had a route for the address and
// port, and the one in force has none.
func (v *View) Withdrawn(service netip.AddrPort) bool {
	_, ok := v.withdrawn[service]
	return ok
}

// Pool returns the servers of a pool that aren't gone, by name. The caller
// must not change the slice.
func (v *View) Pool(name string) []*Server {
	return v.pools[name]
}

// ByName returns a server by its instance name, or nil.
func (v *View) ByName(instance string) *Server {
	return v.byName[instance]
}

// Token returns the token of a server for flows to an address and port.
func (v *View) Token(service netip.AddrPort, s *Server) uint32 {
	v.mu.Lock()
	defer v.mu.Unlock()
	t := v.endpoint(service)
	if token := t.served.Token(s.Instance); token != 0 {
		return token
	}
	return v.widen(service, t).Token(s.Instance)
}

// ByToken returns the server that a token stands for in flows to an address
// and port, or nil. It may be in a pool that the route no longer names: the
// flow was opened under an earlier table, and stays where it is.
func (v *View) ByToken(service netip.AddrPort, token uint32) *Server {
	v.mu.Lock()
	defer v.mu.Unlock()
	t := v.endpoint(service)
	name, ok := t.served.Name(token)
	if !ok {
		name, ok = v.widen(service, t).Name(token)
	}
	if !ok {
		return nil
	}
	return v.byName[name]
}

// endpoint returns the tokens of an endpoint; the caller holds the lock.
func (v *View) endpoint(service netip.AddrPort) *endpointTokens {
	if t := v.tokens[service]; t != nil {
		return t
	}
	route := v.routes[service]
	t := &endpointTokens{served: v.set(service, func(s *Server) bool { return route != nil && route.Allows(s.Pool) })}
	v.tokens[service] = t
	return t
}

// widen returns the tokens of all servers for an endpoint; the caller holds
// the lock.
func (v *View) widen(service netip.AddrPort, t *endpointTokens) *bronzetoken.Set {
	if t.all == nil {
		t.all = v.set(service, func(*Server) bool { return true })
	}
	return t.all
}

func (v *View) set(service netip.AddrPort, include func(*Server) bool) *bronzetoken.Set {
	var holders []bronzetoken.Holder
	for _, s := range v.Servers {
		if include(s) {
			holders = append(holders, bronzetoken.Holder{Name: s.Instance, Since: s.Registered})
		}
	}
	return bronzetoken.NewSet(service.String(), holders)
}
