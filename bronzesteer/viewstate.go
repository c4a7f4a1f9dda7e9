package bronzesteer

import (
	"slices"
	"strings"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

// known is a view with what this node has seen of its servers.
type known struct {
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

// newKnown returns a view with what is known of its servers, which is what the
// former view had of them. Where thousands of servers are known and a few change
// several times a second, only these cost more than a comparison.
func (s *Steerer) newKnown(v *bronzeroute.View, former *known) *known {
	if former == nil {
		former = &known{}
	}
	k := &known{view: v, members: make([]member, len(v.Servers)), pools: make(map[string]*pool)}
	at := 0
	for i, server := range v.Servers {
		// Most didn't change: they aren't even read.
		if at < len(former.members) && former.members[at].server == server {
			k.members[i] = former.members[at]
			at++
			continue
		}
		for at < len(former.members) && former.members[at].server.Instance < server.Instance {
			former.members[at].leave()
			at++
		}
		if at < len(former.members) && former.members[at].server.Instance == server.Instance {
			k.members[i] = s.become(former.members[at], server)
			at++
			continue
		}
		k.members[i] = member{server: server, backend: s.newBackend(server)}
		k.members[i].join()
	}
	for ; at < len(former.members); at++ {
		former.members[at].leave()
	}
	s.putTogether(k, former)
	return k
}

// putTogether makes the pools in which something changed, and takes over the
// others.
func (s *Steerer) putTogether(k, former *known) {
	changed := make(map[string]*pool)
	k.view.EachPool(func(name string, servers []*bronzeroute.Server) {
		p := former.pools[name]
		if p == nil || !p.is(servers) {
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
		p.members = append(p.members, p.others...)
		p.others = nil
	}
}

// join counts a new server in its zone.
func (m member) join() {
	if m.server.Status != bronzeroute.Gone {
		m.backend.zone.count(1)
	}
}

// leave takes a server out of its zone that is in no view any more.
func (m member) leave() {
	if m.server.Status != bronzeroute.Gone {
		m.backend.zone.count(-1)
	}
	m.backend.zone.forget(m.backend)
}

// become returns the member as its server now is. What was seen of a server belongs
// to its start: one that has started again is as new.
func (s *Steerer) become(m member, server *bronzeroute.Server) member {
	if !m.server.StartedAt.IsZero() && server.StartedAt.After(m.server.StartedAt) {
		now := member{server: server, backend: s.newBackend(server)}
		m.backend.next.Store(now.backend)
		m.leave()
		now.join()
		return now
	}
	now := member{server: server, backend: m.backend}
	was, is := m.server.Status == bronzeroute.Gone, server.Status == bronzeroute.Gone
	switch {
	case is && !was:
		m.leave()
	case was && !is:
		now.join()
	}
	return now
}

// membersOf returns the servers of a pool.
func (k *known) membersOf(name string) []member {
	if p := k.pools[name]; p != nil {
		return p.members
	}
	return nil
}

// backendOf returns what is known of a server of the view; f is the flow whose
// server it may be, or nil.
func (k *known) backendOf(server *bronzeroute.Server, f *flow) *backend {
	if f != nil && f.backend.instance == server.Instance && f.backend.next.Load() == nil {
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
