package bronzeroute

import "net/netip"

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

// ByName returns a server by its instance name, or nil.
func (v *View) ByName(instance string) *Server {
	return v.byName[instance]
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
