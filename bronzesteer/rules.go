package bronzesteer

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"bronzeusher.example/bronzeusher/bronzeadmit"
	"bronzeusher.example/bronzeusher/bronzeroom"
	"bronzeusher.example/bronzeusher/bronzeroute"
)

// Rules are what operators have ordered. The zero Rules and a nil pointer change nothing. Rules
// are immutable once they are passed to SetRules.
type Rules struct {
	// Pools holds the rules of the pools that are named in an order, Default those of all
	// others. Both include the shares, which apply to each pool.
	Pools   map[string]*bronzeadmit.Rules
	Default *bronzeadmit.Rules
	// Priorities replace the priorities of routes by address and port.
	Priorities map[netip.AddrPort]int
}

// Pool returns the rules of a pool, nil if there are none. The result must not be modified.
func (r *Rules) Pool(name string) *bronzeadmit.Rules {
	if r == nil {
		return nil
	}
	if p := r.Pools[name]; p != nil {
		return p
	}
	return r.Default
}

// Priority returns the priority of a route.
func (r *Rules) Priority(route *bronzeroute.Route) int {
	if r == nil {
		return route.Priority
	}
	if p, ok := r.Priorities[route.Service]; ok {
		return p
	}
	return route.Priority
}

// SetRules puts rules in force, nil for none. It doesn't wait for packets in progress.
func (s *Steerer) SetRules(rules *Rules) {
	s.settingAdmission.Lock()
	defer s.settingAdmission.Unlock()
	s.rules.Store(rules)
	if v := s.View(); v != nil {
		s.setAdmission(v, rules)
	}
}

// Rules returns the rules in force, nil if there are none.
func (s *Steerer) Rules() *Rules { return s.rules.Load() }

// PoolStatus is the state of a pool as seen by one node.
type PoolStatus struct {
	Pool string
	// Servers is the number of servers that aren't gone. It is 0 for a pool that is only
	// named in an order.
	Servers int
	// Rules are those in force, without those that have ended, nil if there are none.
	Rules *bronzeadmit.Rules
	// Waiting is the number of requests per slot that wait, Limit that up to which all
	// openings are admitted, Pressure the ratio of both.
	Waiting  float64
	Limit    float64
	Pressure float64
	// Rejected is the number of answers that looked like rejections by a server. Refused
	// counts the openings that the node has refused, by reason.
	Rejected uint64
	Refused  map[string]uint64
}

// Pools returns the state of the pools that have servers or are named in an order, sorted by
// name.
func (s *Steerer) Pools(now time.Time) (list []PoolStatus) {
	rules := s.Rules()
	servers := make(map[string]int)
	if rules != nil {
		for name := range rules.Pools {
			servers[name] = 0
		}
	}
	if vs := s.state.Load(); vs != nil {
		for name, p := range vs.pools {
			servers[name] = len(p.members)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(servers)) {
		p := PoolStatus{Pool: name, Servers: servers[name], Rules: inForce(rules.Pool(name), now)}
		s.mu.Lock()
		ps := s.poolStats[name]
		s.mu.Unlock()
		if ps != nil {
			ps.addStatus(&p, s.sinceStart(now))
		}
		list = append(list, p)
	}
	return list
}

// addStatus adds the load of the pool. The limit is that of a route without an objective.
func (ps *poolStats) addStatus(p *PoolStatus, at time.Duration) {
	p.Waiting = ps.lastWaiting.Load()
	p.Limit = ps.room.Limit(bronzeroom.Bounds{Usual: ps.serviceTime(), At: at})
	p.Pressure = p.Waiting / p.Limit
	p.Rejected = ps.rejected.Load()
	p.Refused = make(map[string]uint64)
	for _, r := range bronzeadmit.Reasons() {
		if n := ps.refused[r].Load(); n > 0 {
			p.Refused[r.String()] = n
		}
	}
}

// isClosed reports whether an operator has closed the pool for new flows.
func (s *Steerer) isClosed(pool string) bool {
	r := s.Rules().Pool(pool)
	return r != nil && r.Closed
}

// inForce returns the rules without those that have ended, nil if nothing is left.
func inForce(r *bronzeadmit.Rules, now time.Time) *bronzeadmit.Rules {
	if r == nil {
		return nil
	}
	left := *r
	left.Shed = slices.DeleteFunc(slices.Clone(r.Shed), func(rule bronzeadmit.ShedRule) bool { return !now.Before(rule.Until) })
	if !left.Closed && len(left.Shed) == 0 && len(left.Shares) == 0 {
		return nil
	}
	return &left
}

// RoutePriority is a route whose priority an operator has replaced.
type RoutePriority struct {
	Service netip.AddrPort
	// Route is the name of the route, empty if there is none for the service.
	Route string
	// Published is the priority of the route as published, Priority the one in force.
	Published int
	Priority  int
}

// Priorities returns the priorities that operators have replaced, sorted by service.
func (s *Steerer) Priorities() (list []RoutePriority) {
	rules := s.Rules()
	if rules == nil {
		return nil
	}
	v := s.View()
	for service, priority := range rules.Priorities {
		p := RoutePriority{Service: service, Priority: priority}
		if v != nil {
			if route := v.Route(service); route != nil {
				p.Route, p.Published = route.Name, route.Priority
			}
		}
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b RoutePriority) int { return strings.Compare(a.Service.String(), b.Service.String()) })
	return list
}
