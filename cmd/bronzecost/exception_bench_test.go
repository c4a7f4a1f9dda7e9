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
	// serviceFlows is the number of flows of one service at the target size.
	serviceFlows = targetFlows / targetServices
	// Each flow is replaced once in a round. In sharingRounds rounds each owner
	// shares its counts once, and agingRounds further rounds make them outdated.
	sharingRounds = 4
	agingRounds   = 40
)

// placement simulates owners that place the flows of one service.
type placement struct {
	service    *bronzeconf.Service
	owners     []bronzepool.Pool
	flows      [][]bronzeflow.ServerID     // by owner
	total      map[bronzeflow.ServerID]int // flows of all owners, by server
	random     *rand.Rand
	sharesOnce bool // whether owners share their counts once

	placed, exceptions int
	measured           int     // number of measured rounds
	imbalance          float64 // sum over the measured rounds
}

func newPlacement(b *testing.B, owners, flows int) *placement {
	p := &placement{
		service: targetDeployment.store(b).Snapshot().Services[0],
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

// run places all flows, replaces each of them in warm rounds, and then measures
// further rounds of replacements.
func (p *placement) run(warm, measured int) {
	p.measured = measured
	for round := range 1 + warm + measured {
		for j := range p.flows[0] {
			for i := range p.owners {
				p.replace(i, j, round > warm)
			}
		}
		for i := range p.owners {
			if p.sharesOnce && round > 0 && i%sharingRounds == round-1 {
				p.share(i)
			}
		}
		if round > warm {
			p.imbalance += p.busiest()
		}
	}
}

// replace ends flow j of owner i, if there is one, and places a new one.
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

// share passes the counts of owner i to the other owners.
func (p *placement) share(i int) {
	counts := map[bronzeflow.ServerID]uint32{}
	p.owners[i].Owned(counts)
	for k := range p.owners {
		if k != i {
			p.owners[k].SetOwned(fmt.Sprint(i), counts)
		}
	}
}

// busiest returns the flows of the busiest server divided by the mean.
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

// benchPlacement runs a placement for each fleet size. set configures it.
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

// BenchmarkUnheard measures placement by owners that know no counts of other
// owners.
func BenchmarkUnheard(b *testing.B) {
	benchPlacement(b, func(*placement) {})
}

// BenchmarkHeardOnce measures placement by owners that shared their counts once,
// at least agingRounds lifetimes of a flow ago.
func BenchmarkHeardOnce(b *testing.B) {
	benchPlacement(b, func(p *placement) { p.sharesOnce = true })
}

// hashAlone makes the owners place flows by the hash alone, as they do at the
// target size.
func (p *placement) hashAlone() {
	for i := range p.owners {
		p.owners[i].SetCountsShared(false)
	}
}

// BenchmarkHashAlone measures placement by owners that share no counts.
func BenchmarkHashAlone(b *testing.B) {
	benchPlacement(b, (*placement).hashAlone)
}

// BenchmarkHashAloneFlows is BenchmarkHashAlone for several mean numbers of flows
// on a host. Without shared counts the number of owners makes no difference, so
// there is one.
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
