package bronzeroute

import (
	"net/netip"
	"slices"
	"strings"
)

// View is the state that the packet path reads. It is immutable to its users and safe for
// concurrent use.
type View struct {
	Table *Table
	// DrainedZones are the AvailabilityZones that take no new flows, sorted.
	DrainedZones []string
	// Servers holds all known servers, including gone ones, sorted by instance name.
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

// Withdrawn reports whether the address and port had a route in an earlier table and have none
// in the one in force.
func (v *View) Withdrawn(service netip.AddrPort) bool {
	_, ok := v.withdrawn[service]
	return ok
}

// Pool returns the servers of a pool that aren't gone, sorted by instance name. The caller must
// not modify the slice.
func (v *View) Pool(name string) []*Server {
	return v.pools[name]
}

// EachPool calls do with each pool that has servers and with these servers, sorted by instance
// name. Views share the slices of unchanged pools. The caller must not modify them.
func (v *View) EachPool(do func(name string, servers []*Server)) {
	for name, servers := range v.pools {
		do(name, servers)
	}
}

// ByName returns the server with the given instance name, or nil.
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

// ByToken returns the server that a token identifies in flows to an address and port, or nil.
// The server's pool may no longer be named by the route: flows opened under an earlier table
// stay where they are.
func (v *View) ByToken(service netip.AddrPort, token uint32) *Server {
	name, ok := v.tokens.name(v.routes[service], service, token)
	if !ok {
		return nil
	}
	return v.ByName(name)
}
