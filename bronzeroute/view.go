package bronzeroute

import (
	"net/netip"
	"slices"

	"bronzeusher.example/bronzeusher/bronzetoken"
)

// View is what the packet path looks things up in: immutable, safe for
// concurrent use.
type View struct {
	Table *Table
	// Servers are all that are known, those that are gone too, by name.
	Servers []*Server

	routes    map[netip.AddrPort]*Route
	withdrawn map[netip.AddrPort]struct{}
	allowed   map[netip.AddrPort][]string
	pools     map[string][]*Server
	byName    map[string]*Server
	tokens    *bronzetoken.Set
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

// Allows reports whether the one in force or any earlier table named the pool
// for the address and port. Packets go to no other pool, whatever their token.
func (v *View) Allows(service netip.AddrPort, pool string) bool {
	return slices.Contains(v.allowed[service], pool)
}

// Pool returns the servers of a pool that aren't gone, by name. The caller
// must not change the slice.
func (v *View) Pool(name string) []*Server {
	return v.pools[name]
}

// ByToken returns the server that a token stands for, or nil.
func (v *View) ByToken(token uint32) *Server {
	name, ok := v.tokens.Name(token)
	if !ok {
		return nil
	}
	return v.byName[name]
}

// ByName returns a server by its instance name, or nil.
func (v *View) ByName(instance string) *Server {
	return v.byName[instance]
}
