package main

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzepool"
)

// serviceFlows is how many flows of one service the fleet holds at the target.
const serviceFlows = targetFlows / targetServices

// BenchmarkExceptions reports the share of exceptions among the flows that
// one owner places on a pool of the target's size, when it has not heard what
// the other owners have placed.
func BenchmarkExceptions(b *testing.B) {
	for _, n := range fleets {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			share := 0.0
			for b.Loop() {
				share = exceptions(b, n)
			}
			b.ReportMetric(100*share, "%")
		})
	}
}

// exceptions returns the share of exceptions while one of n owners holds its
// part of the service's flows and replaces each of them ten times.
func exceptions(b *testing.B, n int) float64 {
	var p bronzepool.Pool
	p.SetService(largest.store(b).Snapshot().Services[0])
	p.SetOwners(n)
	random := rand.New(rand.NewPCG(1, 2))
	flows := make([]bronzeflow.ServerID, serviceFlows/n)
	count := 0
	for round := range 11 {
		for i := range flows {
			if round > 0 {
				p.Ended(flows[i])
			}
			id, first, _ := p.Choose(random.Uint64(), nil, false)
			p.Opened(id)
			flows[i] = id
			if round > 0 && !first {
				count++
			}
		}
	}
	return float64(count) / float64(10*len(flows))
}
