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

// An operator drains a zone and takes it back. Its servers keep their flows meanwhile, and
// so do those that register while it is drained.
func TestDrainedZoneTakesNothingUntilItsReturn(t *testing.T) {
	var d Directory
	d.SetTable(table(1, route(live, "a")), begin)
	d.Register(serverIn("x", "x-1"))
	d.Register(serverIn("y", "y-1"))
	require.Nil(t, d.View().DrainedZones)

	require.True(t, d.DrainZone("x"))
	require.False(t, d.DrainZone("x"), "it is drained already")
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
	require.False(t, d.UndrainZone("x", begin), "it is none that is drained")
	require.Equal(t, Serving, d.View().ByName("x-1").Status)
	require.Nil(t, d.View().DrainedZones)
}

// The store is down and registrations lapse. Servers that seem missing take new flows where
// no other can; one of a drained zone must not, and its flows must not be ended either.
func TestMissingServerOfADrainedZoneTakesNothing(t *testing.T) {
	var d Directory
	d.SetTable(table(1, route(live, "a")), begin)
	d.Register(serverIn("x", "x-1"))
	d.DrainZone("x")
	d.Unregister("x-1", begin)
	require.Equal(t, Draining, d.View().ByName("x-1").Status)
	require.True(t, d.Advance(begin.Add(MissingTimeout+1)))
	require.Equal(t, Gone, d.View().ByName("x-1").Status)
}

// A zone's servers start again just before the zone is taken back. Their registrations that
// say so come a moment after its return: believed warm meanwhile, they would get all their
// callers at once.
func TestServersAreColdAfterTheirZonesReturn(t *testing.T) {
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

// What a pool's servers bear changes with the table, for servers that are known already.
func TestWarmupsChangeWithTheTable(t *testing.T) {
	var d Directory
	d.SetTable(table(1, route(live, "a")), begin)
	d.Register(serverIn("x", "x-1"))
	require.Zero(t, d.View().ByName("x-1").Warmup)
	next := table(2, route(live, "a"))
	next.Warmups = map[string]Warmup{"a": {Duration: time.Second, RequestsPerSecond: 3}}
	d.SetTable(next, begin)
	require.Equal(t, next.Warmups["a"], d.View().ByName("x-1").Warmup)
}

// Names of zones come from outside. Those that are taken back are not kept for ever.
func TestReturnsAreForgotten(t *testing.T) {
	var d Directory
	d.DrainZone("x")
	d.UndrainZone("x", begin)
	d.Advance(begin.Add(undrainRetention + 1))
	require.Empty(t, d.zones.undrainedAt)
}
