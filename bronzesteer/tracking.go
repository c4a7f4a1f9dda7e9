package bronzesteer

import (
	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzepool"
	"bronzeusher.example/bronzeusher/bronzeroute"
)

const (
	// maxFlows bounds the tracked flows, and halfOpenFraction is the fraction of them that
	// may be half-open, which bounds the memory used by a flood of openings. Flows beyond
	// the limits are still forwarded, but don't contribute to failure detection. Each
	// Customer has a fair share of both limits, so that a flood to one doesn't blind the
	// node for others.
	maxFlows         = 400_000
	halfOpenFraction = 0.125
	// flowMemoryFraction is the fraction of the node's memory that flows may use, flowBytes
	// the size of one. A node that runs out of memory is killed, with all its flows.
	flowMemoryFraction = 0.35
	flowBytes          = 256
)

// flowLimit returns how many flows a node with the given memory in bytes tracks. The memory
// is 0 if unknown.
func flowLimit(memory int64) int {
	if memory <= 0 {
		return maxFlows
	}
	return int(min(flowMemoryFraction*float64(memory)/flowBytes, maxFlows))
}

// account counts the tracked flows of one endpoint.
type account struct {
	service bronzeconf.Service
	use     *bronzepool.Account
}

// account returns the account of a route's endpoint.
func (s *Steerer) account(route *bronzeroute.Route) *bronzepool.Account {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[route.Service]
	if a != nil && a.service.Customer == route.Customer {
		return a.use
	}
	if a != nil {
		s.admission.RemoveService(&a.service)
	}
	a = &account{service: bronzeconf.Service{Customer: route.Customer, Name: route.Service.String()}}
	a.use = s.admission.SetService(&a.service)
	s.accounts[route.Service] = a
	return a.use
}

// removeAccounts removes the accounts of endpoints without a route. The caller holds the
// lock.
func (s *Steerer) removeAccounts(v *bronzeroute.View) {
	for endpoint, a := range s.accounts {
		if v.Route(endpoint) == nil {
			s.admission.RemoveService(&a.service)
			delete(s.accounts, endpoint)
		}
	}
}
