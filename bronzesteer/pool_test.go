package bronzesteer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

// The load it answers: a service of 1,000 servers, before which each node has 50
// openings a second and a tenth of a core. When all servers were looked at, that
// took a fifth of what the node has, and its callers' packets waited for it. A
// sample does, if flows are spread nearly as evenly.
func TestLargePoolSampleBalance(t *testing.T) {
	const perZone, each = 400, 8
	s := newSite(t, perZone, perZone, perZone)
	r := rand.New(rand.NewPCG(1, 2))
	s.node.Random = r.IntN
	p := s.node.state.Load().pools["live"]
	require.Equal(t, perZone, p.ownZoneCount)

	byServer := map[string]int{}
	for range perZone * each {
		require.LessOrEqual(t, len(s.node.samplePool(nil, p)), ownZoneSample+otherZonesSample)
		c, _ := s.open(live)
		c.accept()
		c.request()
		s.now = s.now.Add(10 * time.Microsecond)
		byServer[c.server.Instance]++
	}
	most := 0
	for _, n := range byServer {
		most = max(most, n)
	}
	// Flows also leave the zone by zoneLead; looking at all servers gives 3.
	mean := float64(perZone*each) / float64(len(byServer))
	require.LessOrEqual(t, float64(most), mean+1.5)
}

// A sample may hold none of the servers that can take a flow. Its caller would
// be sent to a silent server, or away, though there is one that answers; then
// all are looked at.
func TestLargePoolSampleFallback(t *testing.T) {
	s := newSite(t, 100, 100)
	for i, server := range s.node.View().Servers {
		if i == 77 {
			continue
		}
		left := *server
		left.Draining = true
		s.directory.Register(left)
	}
	s.node.SetView(s.directory.View())
	c, d := s.open(live)
	require.Equal(t, Forward, d.Kind)
	require.Equal(t, bronzeroute.Serving, c.server.Status)
}

// What is kept of a pool as a whole must not hide a surge: requests that came since
// count at once, so that openings are turned away in time.
func TestLargePoolInFlightUpToDate(t *testing.T) {
	s := newSite(t, 100)
	p := s.node.state.Load().pools["live"]
	at := s.node.sinceStart(s.now)
	sum := s.node.summary(p, at, s.now)
	require.Zero(t, sum.inFlight.perSlot())
	for range 50 {
		c, _ := s.open(live)
		c.accept()
		c.request()
	}
	require.InDelta(t, 50.0/200, sum.inFlight.perSlot(), 1e-9)
	sum = s.node.summary(p, at+summaryMaxAge, s.now)
	require.InDelta(t, 50.0/200, sum.inFlight.perSlot(), 1e-9)
}

// A sample has no server twice, and over time each.
func TestLargePoolSampleCoverage(t *testing.T) {
	s := newSite(t, 60, 60)
	r := rand.New(rand.NewPCG(3, 4))
	s.node.Random = r.IntN
	p := s.node.state.Load().pools["live"]
	seen := map[string]bool{}
	for range 200 {
		var names []string
		for _, m := range s.node.samplePool(nil, p) {
			names = append(names, m.server.Instance)
			seen[m.server.Instance] = true
		}
		slices.Sort(names)
		require.Len(t, slices.Compact(names), ownZoneSample+otherZonesSample)
	}
	require.Len(t, seen, 120)
}
