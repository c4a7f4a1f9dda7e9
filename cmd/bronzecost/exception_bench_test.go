package main

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzepool"
)

const (
	// serviceFlows is how many flows of one service the fleet holds at the
	// target.
	serviceFlows = targetFlows / targetServices
	// sharingRounds are those in which each owner shares its counts once, and
	// the counts are old after agingRounds more. In a round each flow is
	// replaced.
	sharingRounds = 4
	agingRounds   = 40
)

// placement is a service whose flows all owners place.
type placement struct {
	service *bronzeconf.Service
	owners  []bronzepool.Pool
	flows   [][]bronzeflow.ServerID // by owner
	total   map[bronzeflow.ServerID]int
	random  *rand.Rand
	shares  bool // owners share their counts once

	placed, exceptions int
	measured           int     // rounds
	imbalance          float64 // their sum
}

func newPlacement(b *testing.B, owners, flows int) *placement {
	p := &placement{
		service: largest.store(b).Snapshot().Services[0],
		owners:  make([]bronzepool.Pool, owners),
		total:   map[bronzeflow.ServerID]int{},
		random:  rand.New(rand.NewPCG(1, 2)),
	}
	for i := range p.owners {
		p.owners[i].SetService(p.service)
		p.owners[i].SetOwners(owners)
		p.flows = append(p.flows, make([]bronzeflow.ServerID, flows/owners))
	}
	return p
}

// run places all flows, replaces each of them in as many rounds as warm tells,
// and measures as many rounds more.
func (p *placement) run(warm, measured int) {
	p.measured = measured
	for round := range 1 + warm + measured {
		for j := range p.flows[0] {
			for i := range p.owners {
				p.replace(i, j, round > warm)
			}
		}
		for i := range p.owners {
			if p.shares && round > 0 && i%sharingRounds == round-1 {
				p.share(i)
			}
		}
		if round > warm {
			p.imbalance += p.busiest()
		}
	}
}

// replace ends flow j of owner i, if there is one, and places another.
func (p *placement) replace(i, j int, measured bool) {
	owner, flow := &p.owners[i], &p.flows[i][j]
	if *flow != 0 {
		owner.Ended(*flow)
		p.total[*flow]--
	}
	id, first, _ := owner.Choose(p.random.Uint64(), nil, false)
	owner.Opened(id)
	p.total[id]++
	*flow = id
	if !measured {
		return
	}
	p.placed++
	if !first {
		p.exceptions++
	}
}

// share tells the counts of owner i to the others.
func (p *placement) share(i int) {
	counts := map[bronzeflow.ServerID]uint32{}
	p.owners[i].Owned(counts)
	for k := range p.owners {
		if k != i {
			p.owners[k].SetOwned(fmt.Sprint(i), counts)
		}
	}
}

// busiest returns the flows of the busiest server over the mean.
func (p *placement) busiest() float64 {
	most, sum := 0, 0
	for _, n := range p.total {
		most = max(most, n)
		sum += n
	}
	return float64(most*len(p.service.Pool)) / float64(sum)
}

// report reports the share of exceptions and the mean imbalance.
func (p *placement) report(b *testing.B) {
	b.ReportMetric(100*float64(p.exceptions)/float64(p.placed), "%")
	b.ReportMetric(p.imbalance/float64(p.measured), "max/mean")
}

// benchPlacement runs a placement at each size of the fleet.
func benchPlacement(b *testing.B, set func(*placement)) {
	for _, n := range fleets {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			var p *placement
			for b.Loop() {
				p = newPlacement(b, n, serviceFlows)
				set(p)
				p.run(sharingRounds+agingRounds, 10)
			}
			p.report(b)
		})
	}
}

// BenchmarkUnheard places flows at owners that have heard nothing of what the
// others have placed.
func BenchmarkUnheard(b *testing.B) {
	benchPlacement(b, func(*placement) {})
}

// BenchmarkHeardOnce places flows at owners that have heard of each other
// once, several lifetimes of a flow ago.
func BenchmarkHeardOnce(b *testing.B) {
	benchPlacement(b, func(p *placement) { p.shares = true })
}

// hashAlone makes the owners place by the hash, as they do at the target.
func (p *placement) hashAlone() {
	for i := range p.owners {
		p.owners[i].SetCountsShared(false)
	}
}

// BenchmarkHashAlone places flows at owners that share no counts.
func BenchmarkHashAlone(b *testing.B) {
	benchPlacement(b, (*placement).hashAlone)
}

// BenchmarkHashAloneFlows is BenchmarkHashAlone by the mean number of flows on
// a host. The number of owners changes nothing then, so there is one.
func BenchmarkHashAloneFlows(b *testing.B) {
	for _, n := range []int{50, 100, 300, targetFlows / targetHosts} {
		b.Run(fmt.Sprintf("flows=%d", n), func(b *testing.B) {
			var p *placement
			for b.Loop() {
				p = newPlacement(b, 1, 0)
				p.flows[0] = make([]bronzeflow.ServerID, n*len(p.service.Pool))
				p.hashAlone()
				p.run(0, 100)
			}
			p.report(b)
		})
	}
}
