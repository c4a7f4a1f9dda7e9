package bronzesteer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

// For a service of 1,000 servers and 50 openings per second, comparing all servers would
// take a fifth of the time of a node with a tenth of a core, and delay its callers'
// packets. A sample must balance flows nearly as evenly.
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
	// Some flows leave the zone because of maxZoneLead; comparing all servers gives 3.
	mean := float64(perZone*each) / float64(len(byServer))
	require.LessOrEqual(t, float64(most), mean+1.5)
}

// If a sample holds no usable server, all servers must be compared: a caller would
// otherwise be sent to a silent server or refused, though another server answers.
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

// The cached summary of a pool must not hide a surge: new requests count at once, so that
// openings are refused in time.
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

// A sample holds no server twice, and covers all servers over time.
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
