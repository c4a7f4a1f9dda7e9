package bronzesteer

import (
	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzepool"
	"bronzeusher.example/bronzeusher/bronzeroute"
)

const (
	// maxFlows bounds the flows that are followed, and halfOpenPart is the part of them
	// that needn't be open: a flood of openings that nobody goes on with takes no more of
	// the memory. Flows beyond are forwarded all the same; what is lost is their part in
	// judging servers. Each Customer has a fair part of both, so a flood to one doesn't
	// blind the node for others.
	maxFlows         = 400_000
	halfOpenFraction = 0.125
	// flowMemoryFraction is the part of a node's memory that flows may take, and flowBytes what
	// one takes. A node whose memory is full is ended, and all its flows are with it.
	flowMemoryFraction = 0.35
	flowBytes          = 256
)

// flowLimit returns how many flows a node with so many bytes of memory follows; 0 says that
// the memory isn't known.
func flowLimit(memory int64) int {
	if memory <= 0 {
		return maxFlows
	}
	return int(min(flowMemoryFraction*float64(memory)/flowBytes, maxFlows))
}

// account is what the flows of one endpoint use of the node.
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
		s.admission.Remove(&a.service)
	}
	a = &account{service: bronzeconf.Service{Customer: route.Customer, Name: route.Service.String()}}
	a.use = s.admission.Set(&a.service)
	s.accounts[route.Service] = a
	return a.use
}

// removeAccounts drops the accounts of endpoints that have no route; the caller
// holds the lock.
func (s *Steerer) removeAccounts(v *bronzeroute.View) {
	for endpoint, a := range s.accounts {
		if v.Route(endpoint) == nil {
			s.admission.Remove(&a.service)
			delete(s.accounts, endpoint)
		}
	}
}
