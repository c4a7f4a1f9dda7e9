package bronzesteer

import (
	"slices"
	"strings"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

// viewState is a view with the state of its servers.
type viewState struct {
	view *bronzeroute.View
	// members holds all servers of the view, sorted by name.
	members []member
	pools   map[string]*pool
}

// member is a server of the view with its state.
type member struct {
	server  *bronzeroute.Server
	backend *backend
}

// newViewState returns a view with the state of its servers, taken over from the former
// view. With thousands of servers of which a few change several times per second, the
// others cost no more than a comparison.
func (s *Steerer) newViewState(v *bronzeroute.View, former *viewState) *viewState {
	if former == nil {
		former = &viewState{}
	}
	vs := &viewState{view: v, members: make([]member, len(v.Servers)), pools: make(map[string]*pool)}
	at := 0
	for i, server := range v.Servers {
		// Most servers are unchanged, and aren't even read.
		if at < len(former.members) && former.members[at].server == server {
			vs.members[i] = former.members[at]
			at++
			continue
		}
		for at < len(former.members) && former.members[at].server.Instance < server.Instance {
			former.members[at].removeFromZone()
			at++
		}
		if at < len(former.members) && former.members[at].server.Instance == server.Instance {
			vs.members[i] = s.updateMember(former.members[at], server)
			at++
			continue
		}
		vs.members[i] = member{server: server, backend: s.newBackend(server)}
		vs.members[i].addToZone()
	}
	for ; at < len(former.members); at++ {
		former.members[at].removeFromZone()
	}
	s.buildPools(vs, former)
	return vs
}

// buildPools builds the pools that have changed, and reuses the others.
func (s *Steerer) buildPools(vs, former *viewState) {
	changed := make(map[string]*pool)
	vs.view.EachPool(func(name string, servers []*bronzeroute.Server) {
		p := former.pools[name]
		if p == nil || !p.hasServers(servers) {
			p = &pool{servers: servers, members: make([]member, 0, len(servers))}
			changed[name] = p
		}
		vs.pools[name] = p
	})
	if len(changed) == 0 {
		return
	}
	for _, m := range vs.members {
		if p := changed[m.server.Pool]; p != nil && m.server.Status != bronzeroute.Gone {
			p.add(m, m.server.AvailabilityZone == s.AvailabilityZone)
		}
	}
	for _, p := range changed {
		p.members = append(p.members, p.otherZones...)
		p.otherZones = nil
		p.zones = make(map[string][]member)
		for _, m := range p.members {
			p.zones[m.server.AvailabilityZone] = append(p.zones[m.server.AvailabilityZone], m)
		}
	}
}

// addToZone counts a new server in its zone.
func (m member) addToZone() {
	if m.server.Status != bronzeroute.Gone {
		m.backend.zone.addServers(1)
	}
}

// removeFromZone removes from its zone a server that is gone or no longer in the view.
func (m member) removeFromZone() {
	if m.server.Status != bronzeroute.Gone {
		m.backend.zone.addServers(-1)
	}
	m.backend.zone.remove(m.backend)
}

// updateMember returns the member with the new server record. State belongs to one start of
// a server: a restarted server begins without any.
func (s *Steerer) updateMember(m member, server *bronzeroute.Server) member {
	if !m.server.StartedAt.IsZero() && server.StartedAt.After(m.server.StartedAt) {
		now := member{server: server, backend: s.newBackend(server)}
		m.backend.successor.Store(now.backend)
		m.removeFromZone()
		now.addToZone()
		return now
	}
	now := member{server: server, backend: m.backend}
	was, is := m.server.Status == bronzeroute.Gone, server.Status == bronzeroute.Gone
	switch {
	case is && !was:
		m.removeFromZone()
	case was && !is:
		now.addToZone()
	}
	return now
}

// membersOf returns the servers of a pool.
func (vs *viewState) membersOf(name string) []member {
	if p := vs.pools[name]; p != nil {
		return p.members
	}
	return nil
}

// backendOf returns the state of a server of the view. f is the flow that may have it
// already, or nil.
func (vs *viewState) backendOf(server *bronzeroute.Server, f *flow) *backend {
	if f != nil && f.backend.instance == server.Instance && f.backend.successor.Load() == nil {
		return f.backend
	}
	i, found := slices.BinarySearchFunc(vs.members, server.Instance, func(m member, name string) int {
		return strings.Compare(m.server.Instance, name)
	})
	if !found {
		return nil
	}
	return vs.members[i].backend
}
