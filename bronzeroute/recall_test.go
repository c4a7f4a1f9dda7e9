package bronzeroute

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newDirectory returns a directory in which s has registered.
func newDirectory(s Server) (d *Directory) {
	d = &Directory{}
	d.SetTable(table(1, route(live, "a")), begin)
	d.Register(s)
	return d
}

// registration returns the server s-1 with the given state and sequence number.
func registration(draining bool, sequence uint64) Server {
	s := server("s-1", "a")
	s.Draining, s.Sequence = draining, sequence
	return s
}

// Guards against new flows on a draining server whose record in the backup is ready.
func TestRecallServerDraining(t *testing.T) {
	d := newDirectory(registration(false, 1))
	until := begin.Add(time.Second)
	require.True(t, d.RecallServer(registration(true, 2), false, begin, until))
	require.Equal(t, Draining, d.View().ByName("s-1").Status)
	require.False(t, d.Advance(until.Add(-1)))
	require.True(t, d.Advance(until))
	require.Equal(t, Serving, d.View().ByName("s-1").Status)

	require.True(t, d.RecallServer(registration(true, 2), false, begin, until))
	d.Register(registration(false, 3))
	require.Equal(t, Serving, d.View().ByName("s-1").Status)
	require.False(t, d.RecallServer(registration(true, 2), false, begin, until), "the server registered after the recalled record")

	d.Register(registration(false, 1))
	require.True(t, d.RecallServer(registration(true, 2), false, begin, until))
	d.Unregister("s-1", begin)
	require.Equal(t, Gone, d.View().ByName("s-1").Status, "the recalled record was draining")
}

// Guards against ending flows of servers that registered after the backup was made.
func TestRecallServerAbsent(t *testing.T) {
	for _, draining := range []bool{false, true} {
		d := newDirectory(server("other", "a"))
		require.True(t, d.RecallServer(registration(draining, 2), true, begin, begin.Add(time.Second)))
		want := Missing
		if draining {
			want = Draining
		}
		require.Equal(t, want, d.View().ByName("s-1").Status)
		require.True(t, d.Advance(begin.Add(MissingTimeout+1)))
		require.Equal(t, Gone, d.View().ByName("s-1").Status)
		require.False(t, d.RecallServer(registration(draining, 2), true, begin.Add(MissingTimeout+2), begin.Add(time.Hour)), "the server was gone before the recall")
	}
}

// Guards against new flows on a server whose removed registration is back in the backup, and
// against ending its open flows.
func TestRecallRemoved(t *testing.T) {
	d := newDirectory(registration(false, 1))
	require.True(t, d.RecallRemoved("s-1", begin.Add(time.Minute)))
	require.Equal(t, Draining, d.View().ByName("s-1").Status)
	d.Unregister("s-1", begin)
	require.Equal(t, Draining, d.View().ByName("s-1").Status)
	d.Advance(begin.Add(MissingTimeout + 1))
	require.Equal(t, Gone, d.View().ByName("s-1").Status)
	require.False(t, d.RecallRemoved("s-1", begin.Add(time.Second)))
	require.False(t, d.RecallRemoved("unknown", begin.Add(time.Second)))
}

// Guards against new flows in a drained zone whose drain record is not in the backup.
func TestRecallZone(t *testing.T) {
	until := begin.Add(time.Second)
	d := newDirectory(serverIn("x", "x-1"))
	require.True(t, d.RecallZone("x", until))
	require.False(t, d.RecallZone("x", until))
	require.Equal(t, Draining, d.View().ByName("x-1").Status)
	require.True(t, d.Advance(until))
	require.Equal(t, Serving, d.View().ByName("x-1").Status)

	require.True(t, d.RecallZone("x", until))
	require.False(t, d.DrainZone("x"), "already drained")
	d.Advance(until)
	require.Equal(t, []string{"x"}, d.View().DrainedZones, "drained again without an expiry")
	require.True(t, d.RecallZone("x", until.Add(time.Second)))
	require.True(t, d.UndrainZone("x", begin))
	require.Empty(t, d.View().DrainedZones)
}
