package bronzeroute

import (
	"net/netip"
	"slices"
	"strings"
)

// View is what the packet path looks things up in: immutable to its users,
// safe for concurrent use.
type View struct {
	Table *Table
	// DrainedZones are the AvailabilityZones that take no new flows, by name.
	DrainedZones []string
	// Servers are all that are known, those that are gone too, by name.
	Servers []*Server

	routes    map[netip.AddrPort]*Route
	withdrawn map[netip.AddrPort]struct{}
	pools     map[string][]*Server

	tokens *tokens
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

// EachPool calls do with each pool that has servers, and with them by name. Views
// share the slice of a pool in which nothing changed. The caller must not change it.
func (v *View) EachPool(do func(name string, servers []*Server)) {
	for name, servers := range v.pools {
		do(name, servers)
	}
}

// ByName returns a server by its instance name, or nil.
func (v *View) ByName(instance string) *Server {
	i, found := slices.BinarySearchFunc(v.Servers, instance, func(s *Server, name string) int { return strings.Compare(s.Instance, name) })
	if !found {
		return nil
	}
	return v.Servers[i]
}

// Token returns the token of a server for flows to an address and port.
func (v *View) Token(service netip.AddrPort, s *Server) uint32 {
	return v.tokens.token(v.routes[service], service, s.Instance)
}

// ByToken returns the server that a token stands for in flows to an address
// and port, or nil. It may be in a pool that the route no longer names: the
// flow was opened under an earlier table, and stays where it is.
func (v *View) ByToken(service netip.AddrPort, token uint32) *Server {
	name, ok := v.tokens.name(v.routes[service], service, token)
	if !ok {
		return nil
	}
	return v.ByName(name)
}
