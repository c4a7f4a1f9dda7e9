package bronzesteer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzeroute"
)

var archive = netip.MustParseAddrPort("198.18.0.2:443")

// newPartitionedSite returns a site whose archive servers are all in zone b, with callers
// of zone a that are served all the time.
func newPartitionedSite(t *testing.T) (s *site, own []*client) {
	s = newSite(t, 4, 4)
	s.directory.SetTable(&bronzeroute.Table{Version: 2, Routes: []bronzeroute.Route{
		{Name: "live", Service: live, Pools: []bronzeroute.WeightedPool{{Pool: "live", Weight: 1}}, Idempotent: true},
		{Name: "archive", Service: archive, Pools: []bronzeroute.WeightedPool{{Pool: "archive", Weight: 1}}, Idempotent: true},
	}}, s.now)
	for _, name := range []string{"x-0", "x-1"} {
		s.directory.Register(bronzeroute.Server{
			BackendServer: bronzeconf.BackendServer{
				ID: bronzeflow.NewServerID("archive", name), Instance: name, AvailabilityZone: "b", Slots: 2,
			},
			Pool: "archive", RegisteredRevision: 100,
		})
	}
	s.node.SetView(s.directory.View())
	return s, s.serveN(8, live)
}

// crowd is callers of the archive that arrive every 10 ms and retransmit their openings.
type crowd struct {
	site     *site
	own      []*client
	openings map[*client]time.Time
	// recovered means that the archive servers accept.
	recovered bool
	// refused and forwarded count the first transmissions.
	refused   int
	forwarded int
}

func newCrowd(t *testing.T) *crowd {
	c := &crowd{openings: make(map[*client]time.Time)}
	c.site, c.own = newPartitionedSite(t)
	return c
}

// run lets time pass while callers of the own zone are answered.
func (c *crowd) run(d time.Duration) {
	s := c.site
	for end := s.now.Add(d); s.now.Before(end); {
		s.exchange(c.own[:1])
		c.retransmit()
		caller, decision := s.open(archive)
		if decision.Kind == Forward {
			c.forwarded++
			c.openings[caller] = s.now
			c.accept()
			continue
		}
		require.Equal(s.t, NoneAnswers, decision.Reason)
		c.refused++
	}
}

// accept has all openings accepted, if recovered is set.
func (c *crowd) accept() {
	if !c.recovered {
		return
	}
	for caller := range c.openings {
		caller.accept()
	}
	clear(c.openings)
}

// retransmit retransmits the openings that are due. None may be refused.
func (c *crowd) retransmit() {
	for caller, at := range c.openings {
		age := c.site.now.Sub(at)
		due := caller.packet.Retransmits == 0 && age >= 200*time.Millisecond || caller.packet.Retransmits == 1 && age >= 600*time.Millisecond
		if due {
			require.Equal(c.site.t, Forward, caller.retransmit().Kind)
		}
		if age >= 1400*time.Millisecond {
			delete(c.openings, caller)
		}
	}
}

// A zone without a server of the archive's pool is cut off. The first callers retransmit
// their openings until they give up after 1.4 s. Later ones must be refused at once, except
// at the exempt rate; when one of these is answered after the partition has healed, all are
// served.
func TestRefuseUnreachablePool(t *testing.T) {
	c := newCrowd(t)
	c.run(5 * time.Second)
	c.refused, c.forwarded = 0, 0
	c.run(4 * time.Second)
	require.Equal(t, 4*exemptRate, c.forwarded)
	require.Equal(t, 400-c.forwarded, c.refused)

	c.recovered = true
	c.run(time.Second / exemptRate)
	c.refused = 0
	c.run(time.Second)
	require.Zero(t, c.refused)
}

// A retransmission may follow an opening that a server has just accepted, via this node or
// another. A reset would end an open flow.
func TestRefuseNotRetransmits(t *testing.T) {
	c := newCrowd(t)
	c.run(3 * time.Second)
	s := c.site
	for range 40 {
		s.port++
		caller := netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), s.port)
		p := Packet{Key: bronzeflow.NewKey(bronzeflow.TCP, caller, archive), Open: true, Retransmits: 1}
		require.Equal(t, Forward, s.node.Decide(&p, s.now).Kind)
	}
}

// A node that gets no answers itself can't tell that the servers are unreachable.
func TestRefuseNotWhenIsolated(t *testing.T) {
	s, _ := newPartitionedSite(t)
	for range 40 {
		_, d := s.open(archive)
		require.Equal(t, Forward, d.Kind)
		s.advance(100 * time.Millisecond)
	}
}
