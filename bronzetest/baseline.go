package bronzetest

import (
	"sync"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// HashBaseline computes what balancers would do with the same flows if they
// knew nothing but a rendezvous hash over the pool in force. The zero
// HashBaseline is ready to use. Its methods may be called concurrently.
type HashBaseline struct {
	mu       sync.Mutex
	services map[string]*baselineService
	broken   int
}

type baselineService struct {
	pool  []bronzeflow.ServerID
	flows map[bronzeflow.Key]bronzeflow.ServerID
}

func (b *HashBaseline) service(name string) *baselineService {
	if b.services == nil {
		b.services = make(map[string]*baselineService)
	}
	if b.services[name] == nil {
		b.services[name] = &baselineService{flows: make(map[bronzeflow.Key]bronzeflow.ServerID)}
	}
	return b.services[name]
}

// SetPool sets the servers of a service. Established flows that the hash now
// assigns to another server are counted as broken and assigned to that server.
func (b *HashBaseline) SetPool(service string, pool []bronzeflow.ServerID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	svc := b.service(service)
	svc.pool = pool
	for key, old := range svc.flows {
		if current := svc.first(key); current != old {
			svc.flows[key] = current
			b.broken++
		}
	}
}

// first returns the server with the highest rendezvous score for the flow, or 0
// if the pool is empty.
func (svc *baselineService) first(key bronzeflow.Key) (id bronzeflow.ServerID) {
	best := uint64(0)
	hash := key.Hash()
	for _, server := range svc.pool {
		if score := bronzeflow.Mix(hash, uint64(server)); id == 0 || score > best {
			id, best = server, score
		}
	}
	return id
}

// Open adds an established flow.
func (b *HashBaseline) Open(service string, key bronzeflow.Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	svc := b.service(service)
	svc.flows[key] = svc.first(key)
}

// Close removes a flow.
func (b *HashBaseline) Close(service string, key bronzeflow.Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.service(service).flows, key)
}

// Broken returns the number of flows that the hash alone would have broken.
func (b *HashBaseline) Broken() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.broken
}

// Imbalance returns the flows of the busiest server over the mean.
func (b *HashBaseline) Imbalance(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	svc := b.service(service)
	held := make(map[bronzeflow.ServerID]int)
	for _, id := range svc.flows {
		held[id]++
	}
	counts := make([]int, 0, len(svc.pool))
	for _, id := range svc.pool {
		counts = append(counts, held[id])
	}
	return maxOverMean(counts)
}

// maxOverMean returns the greatest of counts over their mean, or 0 if all are
// zero.
func maxOverMean(counts []int) float64 {
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
