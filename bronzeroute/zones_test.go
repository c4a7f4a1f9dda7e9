package bronzeroute

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeconf"
)

func serverIn(zone, instance string) Server {
	return Server{BackendServer: bronzeconf.BackendServer{Instance: instance, AvailabilityZone: zone}, Pool: "a"}
}

// An operator drains and undrains a zone. Its servers, including those that register during the
// drain, keep their flows and take no new ones.
func TestDrainZone(t *testing.T) {
	var d Directory
	d.SetTable(table(1, route(live, "a")), begin)
	d.Register(serverIn("x", "x-1"))
	d.Register(serverIn("y", "y-1"))
	require.Nil(t, d.View().DrainedZones)

	require.True(t, d.DrainZone("x"))
	require.False(t, d.DrainZone("x"), "already drained")
	d.Register(serverIn("x", "x-2"))
	v := d.View()
	require.Equal(t, []string{"x"}, v.DrainedZones)
	for _, name := range []string{"x-1", "x-2"} {
		require.Equal(t, Draining, v.ByName(name).Status)
		require.True(t, v.ByName(name).ZoneDrained)
	}
	require.Equal(t, Serving, v.ByName("y-1").Status)
	require.Len(t, v.Pool("a"), 3)

	require.True(t, d.UndrainZone("x", begin))
	require.False(t, d.UndrainZone("x", begin), "not drained")
	require.Equal(t, Serving, d.View().ByName("x-1").Status)
	require.Nil(t, d.View().DrainedZones)
}

// The store is down and registrations lapse. Missing servers take new flows as a last resort,
// but those of a drained zone must not, and their flows must not be ended either.
func TestDrainZoneMissingServer(t *testing.T) {
	var d Directory
	d.SetTable(table(1, route(live, "a")), begin)
	d.Register(serverIn("x", "x-1"))
	d.DrainZone("x")
	d.Unregister("x-1", begin)
	require.Equal(t, Draining, d.View().ByName("x-1").Status)
	require.True(t, d.Advance(begin.Add(MissingTimeout+1)))
	require.Equal(t, Gone, d.View().ByName("x-1").Status)
}

// The servers of a drained zone restart just before it is undrained, and the registrations that
// say so arrive just after. If the servers were considered warm in between, they would get all
// their callers at once.
func TestWarmAfterUndrainZone(t *testing.T) {
	var d Directory
	first := table(1, route(live, "a"))
	first.Warmups = map[string]Warmup{"a": {Duration: 2 * time.Second, RequestsPerSecond: 10}}
	d.SetTable(first, begin)
	d.Register(serverIn("x", "x-1"))
	d.Register(serverIn("y", "y-1"))
	d.DrainZone("x")
	d.UndrainZone("x", begin)
	v := d.View()
	require.False(t, v.ByName("x-1").Warm(begin.Add(1999*time.Millisecond)))
	require.True(t, v.ByName("x-1").Warm(begin.Add(2*time.Second)))
	require.True(t, v.ByName("y-1").Warm(begin))
}

// A new table changes the warm-up of servers that are already registered.
func TestSetTableChangesWarmups(t *testing.T) {
	var d Directory
	d.SetTable(table(1, route(live, "a")), begin)
	d.Register(serverIn("x", "x-1"))
	require.Zero(t, d.View().ByName("x-1").Warmup)
	next := table(2, route(live, "a"))
	next.Warmups = map[string]Warmup{"a": {Duration: time.Second, RequestsPerSecond: 3}}
	d.SetTable(next, begin)
	require.Equal(t, next.Warmups["a"], d.View().ByName("x-1").Warmup)
}

// Zone names come from outside, so the ends of their drains must not be kept forever.
func TestUndrainRetention(t *testing.T) {
	var d Directory
	d.DrainZone("x")
	d.UndrainZone("x", begin)
	d.Advance(begin.Add(undrainRetention + 1))
	require.Empty(t, d.zones.undrainedAt)
}
