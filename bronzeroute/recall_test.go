package bronzeroute

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// recalled returns a directory with a server that registered with what the copy has of it.
func recalled(s Server) (d *Directory) {
	d = &Directory{}
	d.SetTable(table(1, route(live, "a")), begin)
	d.Register(s)
	return d
}

// said returns the server s-1 as it registered with a sequence.
func said(draining bool, sequence uint64) Server {
	s := server("s-1", "a")
	s.Draining, s.Sequence = draining, sequence
	return s
}

// Guards against new flows at a leaving server that the copy has as ready.
func TestServerThatLeavesIsNotBroughtBackByACopy(t *testing.T) {
	d := recalled(said(false, 1))
	until := begin.Add(time.Second)
	require.True(t, d.RecallServer(said(true, 2), false, begin, until))
	require.Equal(t, Draining, d.View().ByName("s-1").Status)
	require.False(t, d.Advance(until.Add(-1)))
	require.True(t, d.Advance(until))
	require.Equal(t, Serving, d.View().ByName("s-1").Status)

	require.True(t, d.RecallServer(said(true, 2), false, begin, until))
	d.Register(said(false, 3))
	require.Equal(t, Serving, d.View().ByName("s-1").Status)
	require.False(t, d.RecallServer(said(true, 2), false, begin, until), "it wrote later than what is recalled")

	d.Register(said(false, 1))
	require.True(t, d.RecallServer(said(true, 2), false, begin, until))
	d.Unregister("s-1", begin)
	require.Equal(t, Gone, d.View().ByName("s-1").Status, "it had said that it leaves")
}

// Guards against ending flows of servers that registered after the copy was made.
func TestServerThatTheCopyLacksIsMissing(t *testing.T) {
	for _, draining := range []bool{false, true} {
		d := recalled(server("other", "a"))
		require.True(t, d.RecallServer(said(draining, 2), true, begin, begin.Add(time.Second)))
		want := Missing
		if draining {
			want = Draining
		}
		require.Equal(t, want, d.View().ByName("s-1").Status)
		require.True(t, d.Advance(begin.Add(MissingTimeout+1)))
		require.Equal(t, Gone, d.View().ByName("s-1").Status)
		require.False(t, d.RecallServer(said(draining, 2), true, begin.Add(MissingTimeout+2), begin.Add(time.Hour)), "it is gone since before")
	}
}

// Guards against new flows at a server whose removed registration is back, and against ending its open ones.
func TestServerThatEndedIsNotBroughtBackByACopy(t *testing.T) {
	d := recalled(said(false, 1))
	require.True(t, d.RecallRemoved("s-1", begin.Add(time.Minute)))
	require.Equal(t, Draining, d.View().ByName("s-1").Status)
	d.Unregister("s-1", begin)
	require.Equal(t, Draining, d.View().ByName("s-1").Status)
	d.Advance(begin.Add(MissingTimeout + 1))
	require.Equal(t, Gone, d.View().ByName("s-1").Status)
	require.False(t, d.RecallRemoved("s-1", begin.Add(time.Second)))
	require.False(t, d.RecallRemoved("unknown", begin.Add(time.Second)))
}

// Guards against new flows in a drained zone whose drain the copy lacks.
func TestDrainIsNotEndedByACopy(t *testing.T) {
	until := begin.Add(time.Second)
	d := recalled(serverIn("x", "x-1"))
	require.True(t, d.RecallZone("x", until))
	require.False(t, d.RecallZone("x", until))
	require.Equal(t, Draining, d.View().ByName("x-1").Status)
	require.True(t, d.Advance(until))
	require.Equal(t, Serving, d.View().ByName("x-1").Status)

	require.True(t, d.RecallZone("x", until))
	require.False(t, d.DrainZone("x"), "it is drained already")
	d.Advance(until)
	require.Equal(t, []string{"x"}, d.View().DrainedZones, "the operator has said so again")
	require.True(t, d.RecallZone("x", until.Add(time.Second)))
	require.True(t, d.UndrainZone("x", begin))
	require.Empty(t, d.View().DrainedZones)
}
