package bronzetest

import (
	"sync"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// HashBaseline works out for the same flows what balancers would do that know
// nothing but a rendezvous hash over the pool in force. The zero HashBaseline is
// ready; its methods may be called concurrently.
type HashBaseline struct {
	mu       sync.Mutex
	services map[string]*shadowService
	broken   int
}

type shadowService struct {
	pool  []bronzeflow.ServerID
	flows map[bronzeflow.Key]bronzeflow.ServerID
}

func (s *HashBaseline) service(name string) *shadowService {
	if s.services == nil {
		s.services = make(map[string]*shadowService)
	}
	if s.services[name] == nil {
		s.services[name] = &shadowService{flows: make(map[bronzeflow.Key]bronzeflow.ServerID)}
	}
	return s.services[name]
}

// SetPool changes the servers that take a service's flows. Established flows
// that hash alone would now send elsewhere are counted as broken, and go on
// as flows of the new server.
func (s *HashBaseline) SetPool(service string, pool []bronzeflow.ServerID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc := s.service(service)
	svc.pool = pool
	for key, was := range svc.flows {
		if now := svc.first(key); now != was {
			svc.flows[key] = now
			s.broken++
		}
	}
}

// first returns the first server of the flow's rendezvous order.
func (svc *shadowService) first(key bronzeflow.Key) (id bronzeflow.ServerID) {
	best := uint64(0)
	hash := key.Hash()
	for _, server := range svc.pool {
		if score := bronzeflow.Mix(hash, uint64(server)); id == 0 || score > best {
			id, best = server, score
		}
	}
	return id
}

// Open takes an established flow in.
func (s *HashBaseline) Open(service string, key bronzeflow.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc := s.service(service)
	svc.flows[key] = svc.first(key)
}

// Close takes a flow out.
func (s *HashBaseline) Close(service string, key bronzeflow.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.service(service).flows, key)
}

// Broken returns how many flows hash alone would have broken.
func (s *HashBaseline) Broken() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.broken
}

// Imbalance returns the busiest server's flows over the mean.
func (s *HashBaseline) Imbalance(service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc := s.service(service)
	held := make(map[bronzeflow.ServerID]int)
	for _, id := range svc.flows {
		held[id]++
	}
	counts := make([]int, 0, len(svc.pool))
	for _, id := range svc.pool {
		counts = append(counts, held[id])
	}
	return overMean(counts)
}

// overMean returns the greatest of counts over their mean, 0 without flows.
func overMean(counts []int) float64 {
	total, most := 0, 0
	for _, n := range counts {
		total += n
		most = max(most, n)
	}
	if total == 0 {
		return 0
	}
	return float64(most) * float64(len(counts)) / float64(total)
}
