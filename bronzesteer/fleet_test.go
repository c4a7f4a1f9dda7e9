package bronzesteer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fleet is several nodes that exchange reports, each with callers of its own.
type fleet struct {
	sites []*site
	// flows holds the callers' open flows of each node, at all servers.
	flows  [][]*client
	random *rand.Rand
	// faulty is the number of nodes, the last ones, that send arbitrary reports.
	faulty int
}

// newFleet returns a fleet whose nodes all have idle flows at all servers.
func newFleet(t *testing.T, nodes, faulty, servers int, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), faulty: faulty}
	for i := range nodes {
		s := newSite(t, servers)
		s.node.Node = uint32(i + 1)
		s.node.Random = f.random.IntN
		s.node.SetPeerCount(nodes - 1)
		f.flows = append(f.flows, s.serveN(3*servers, outline))
		f.sites = append(f.sites, s)
	}
	for _, s := range f.sites {
		s.now = f.sites[0].now
	}
	return f
}

// correct returns the nodes that report what they observe.
func (f *fleet) correct() []*site { return f.sites[:len(f.sites)-f.faulty] }

// step lets some time pass in which each node serves a new flow and an existing one, and
// sends new reports to three others.
func (f *fleet) step(faultyReports func() []Report) {
	for i, s := range f.sites {
		s.serve(live)
		s.exchange(f.flows[i][f.random.IntN(len(f.flows[i])):][:1])
		reports := s.node.Reports(false, s.now)
		if i >= len(f.sites)-f.faulty {
			reports = faultyReports()
		}
		for range gossipFanout {
			to := f.sites[f.random.IntN(len(f.sites))]
			to.node.MergeReports(reports, to.now)
		}
		s.advance(50 * time.Millisecond)
	}
}

// Whatever a minority of nodes reports, for however long and to whomever, no other node's
// flow is ended at a server that answers the others' callers. New flows may avoid the
// server.
func TestFaultyMinorityKeepsFlows(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		nodes := rapid.IntRange(smallFleetPeers+2, 24).Draw(r, "Nodes")
		faulty := rapid.IntRange(1, (nodes-1)/2).Draw(r, "Faulty")
		servers := rapid.IntRange(2, 4).Draw(r, "Servers")
		f := newFleet(t, nodes, faulty, servers, rapid.Uint64().Draw(r, "Seed"))
		faultyReports := func() (reports []Report) {
			for range f.random.IntN(maxReports) {
				server := f.sites[0].node.state.Load().members[f.random.IntN(servers)].backend.shortID
				first := time.Duration(f.random.IntN(4000)) * time.Millisecond
				reports = append(reports, Report{
					Server: server, Node: uint32(nodes - f.random.IntN(faulty)), SameZone: true, Openings: 1 + f.random.IntN(9),
					Requests: f.random.IntN(9), First: first, Last: time.Duration(f.random.Int64N(int64(first) + 1)),
				})
			}
			return reports
		}
		for range 40 {
			f.step(faultyReports)
		}
		for _, s := range f.correct() {
			require.Empty(r, s.endedFlows)
		}
	})
}
