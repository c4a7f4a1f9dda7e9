package bronzesteer

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

const (
	// flowWeight is what an open flow counts for beside a request at work: it
	// will bring requests, but has none now.
	flowWeight = 0.2
	// coldShare is the part of its full share that a server gets that has just
	// started and is slow.
	coldShare = 0.5
	// avoidMostShare is the part of a pool that may be avoided. If more seem
	// silent, it is likelier that something else is wrong, and keeping away
	// from them would only press the rest.
	avoidMostShare = 0.75
)

// tier orders servers: of a lower one none is taken while a higher has any.
type tier uint8

const (
	tierNone tier = iota
	tierMissing
	tierAvoided
	tierOtherRegion
	tierOtherZone
	tierOwnZone
)

// place chooses the server for a new flow, not the one tried before; nil if
// there is none. Flows stay in this node's zone where a server of it can take
// them: when zones are cut off from each other they go on, and packets cross
// no zone. The pool is chosen by the route's weights; if it has no server at
// all, the route's other pools are used.
func (s *Steerer) place(v *bronzeroute.View, route *bronzeroute.Route, p *Packet, tried *backend, at time.Duration, now time.Time) *bronzeroute.Server {
	pool, ok := route.Pick(p.Key.Hash())
	if !ok {
		return nil
	}
	if server := s.choose(v.Pool(pool), tried, at, now); server != nil {
		return server
	}
	for i := range route.Shares {
		if route.Shares[i].Weight <= 0 || route.Shares[i].Pool == pool {
			continue
		}
		if server := s.choose(v.Pool(route.Shares[i].Pool), tried, at, now); server != nil {
			return server
		}
	}
	return nil
}

// choose returns the least loaded server of the best tier; among equals one
// at random, so that nodes without knowledge of each other spread.
func (s *Steerer) choose(pool []*bronzeroute.Server, tried *backend, at time.Duration, now time.Time) (best *bronzeroute.Server) {
	mayAvoid := s.mayAvoid(pool, at)
	bestTier, bestLoad, equals := tierNone, 0.0, 0
	for _, server := range pool {
		if tried != nil && tried.instance == server.Instance {
			continue
		}
		b := s.backend(server)
		t := s.tier(server, b, mayAvoid, at)
		if t == tierNone || t < bestTier {
			continue
		}
		load := b.load(server, now)
		switch {
		case t > bestTier || load < bestLoad:
			best, bestTier, bestLoad, equals = server, t, load, 1
		case load == bestLoad:
			equals++
			if s.random(equals) == 0 {
				best = server
			}
		}
	}
	return best
}

// mayAvoid reports whether few enough of the pool's servers are silent to
// keep away from them.
func (s *Steerer) mayAvoid(pool []*bronzeroute.Server, at time.Duration) bool {
	serving, avoided := 0, 0
	for _, server := range pool {
		if server.Status != bronzeroute.Serving {
			continue
		}
		serving++
		if s.avoids(s.backend(server), at) {
			avoided++
		}
	}
	return float64(avoided) <= avoidMostShare*float64(serving)
}

func (s *Steerer) tier(server *bronzeroute.Server, b *backend, mayAvoid bool, at time.Duration) tier {
	switch {
	case server.Status == bronzeroute.Missing:
		return tierMissing
	case server.Status != bronzeroute.Serving:
		return tierNone
	case mayAvoid && s.avoids(b, at):
		return tierAvoided
	case server.AvailabilityZone == s.AvailabilityZone:
		return tierOwnZone
	case s.Regions[server.AvailabilityZone] == s.Region:
		return tierOtherZone
	default:
		return tierOtherRegion
	}
}

// avoids reports whether new flows keep away from the server.
func (s *Steerer) avoids(b *backend, at time.Duration) bool {
	return b.avoided(at) || s.zoneCut(b, at)
}

func (b *backend) avoided(at time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return at < b.avoidUntil
}

// load returns what this node has on the server, with one more flow, for each
// of the requests that it can work on at once.
func (b *backend) load(server *bronzeroute.Server, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	load := float64(b.work+b.opening) + flowWeight*float64(b.flows) + 1
	slots := float64(max(server.Slots, 1))
	if !server.Warm(now) {
		slots *= coldShare
	}
	return load / slots
}
