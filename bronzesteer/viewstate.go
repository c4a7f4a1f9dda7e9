package bronzesteer

import (
	"slices"
	"strings"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

// viewState is a view with what this node has seen of its servers.
type viewState struct {
	view *bronzeroute.View
	// members are all servers of the view, by name.
	members []member
	pools   map[string]*pool
}

// member is a server, and what this node has seen of it.
type member struct {
	server  *bronzeroute.Server
	backend *backend
}

// newViewState returns a view with what is known of its servers, which is what the
// former view had of them. Where thousands of servers are known and a few change
// several times a second, only these cost more than a comparison.
func (s *Steerer) newViewState(v *bronzeroute.View, former *viewState) *viewState {
	if former == nil {
		former = &viewState{}
	}
	k := &viewState{view: v, members: make([]member, len(v.Servers)), pools: make(map[string]*pool)}
	at := 0
	for i, server := range v.Servers {
		// Most didn't change: they aren't even read.
		if at < len(former.members) && former.members[at].server == server {
			k.members[i] = former.members[at]
			at++
			continue
		}
		for at < len(former.members) && former.members[at].server.Instance < server.Instance {
			former.members[at].removeFromZone()
			at++
		}
		if at < len(former.members) && former.members[at].server.Instance == server.Instance {
			k.members[i] = s.updateMember(former.members[at], server)
			at++
			continue
		}
		k.members[i] = member{server: server, backend: s.newBackend(server)}
		k.members[i].addToZone()
	}
	for ; at < len(former.members); at++ {
		former.members[at].removeFromZone()
	}
	s.buildPools(k, former)
	return k
}

// buildPools makes the pools in which something changed, and takes over the
// others.
func (s *Steerer) buildPools(k, former *viewState) {
	changed := make(map[string]*pool)
	k.view.EachPool(func(name string, servers []*bronzeroute.Server) {
		p := former.pools[name]
		if p == nil || !p.hasServers(servers) {
			p = &pool{servers: servers, members: make([]member, 0, len(servers))}
			changed[name] = p
		}
		k.pools[name] = p
	})
	if len(changed) == 0 {
		return
	}
	for _, m := range k.members {
		if p := changed[m.server.Pool]; p != nil && m.server.Status != bronzeroute.Gone {
			p.add(m, m.server.AvailabilityZone == s.AvailabilityZone)
		}
	}
	for _, p := range changed {
		p.members = append(p.members, p.otherZones...)
		p.otherZones = nil
	}
}

// addToZone counts a new server in its zone.
func (m member) addToZone() {
	if m.server.Status != bronzeroute.Gone {
		m.backend.zone.addServers(1)
	}
}

// removeFromZone takes a server out of its zone that is in no view any more.
func (m member) removeFromZone() {
	if m.server.Status != bronzeroute.Gone {
		m.backend.zone.addServers(-1)
	}
	m.backend.zone.remove(m.backend)
}

// updateMember returns the member as its server now is. What was seen of a server belongs
// to its start: one that has started again is as new.
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
func (k *viewState) membersOf(name string) []member {
	if p := k.pools[name]; p != nil {
		return p.members
	}
	return nil
}

// backendOf returns what is known of a server of the view; f is the flow whose
// server it may be, or nil.
func (k *viewState) backendOf(server *bronzeroute.Server, f *flow) *backend {
	if f != nil && f.backend.instance == server.Instance && f.backend.successor.Load() == nil {
		return f.backend
	}
	i, found := slices.BinarySearchFunc(k.members, server.Instance, func(m member, name string) int {
		return strings.Compare(m.server.Instance, name)
	})
	if !found {
		return nil
	}
	return k.members[i].backend
}
