package bronzeroute

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// naiveServer is what was said of a server, and when it went missing and was
// found gone.
type naiveServer struct {
	server        Server
	missing, gone time.Time
}

// naive looks at all servers each time, and sorts them.
type naive map[string]*naiveServer

func (n naive) unregister(name string, now time.Time) {
	s := n[name]
	switch {
	case s == nil || !s.missing.IsZero() || !s.gone.IsZero():
	case s.server.Draining:
		s.gone = now
	default:
		s.missing = now
	}
}

func (n naive) advance(now time.Time) {
	for name, s := range n {
		if !s.gone.IsZero() && now.Sub(s.gone) > GoneRetention {
			delete(n, name)
		} else if s.gone.IsZero() && !s.missing.IsZero() && now.Sub(s.missing) > MissingTimeout {
			s.gone = now
		}
	}
}

func (n naive) servers() (list []Server) {
	for _, name := range slices.Sorted(maps.Keys(n)) {
		s := n[name].server
		switch {
		case !n[name].gone.IsZero():
			s.Status = Gone
		case !n[name].missing.IsZero():
			s.Status = Missing
		case s.Draining:
			s.Status = Draining
		}
		list = append(list, s)
	}
	return list
}

// copies returns a view's servers by value.
func copies(v *View) (list []Server) {
	for _, s := range v.Servers {
		list = append(list, *s)
	}
	return list
}

// Random sequences of what a directory is told. Each view is as one worked out
// anew, and stays as it was when others follow, though they share what didn't
// change.
func TestViewsAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Directory
		n, now := naive{}, begin
		d.SetTable(table(1, route(live, "a")), now)
		name := rapid.SampledFrom([]string{"s-1", "s-2", "s-3", "s-4", "s-5"})
		first := d.View()
		firstWas := copies(first)
		t.Repeat(map[string]func(*rapid.T){
			"Register": func(t *rapid.T) {
				s := server(name.Draw(t, "Name"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "Pool"))
				s.Draining = rapid.Bool().Draw(t, "Draining")
				d.Register(s)
				n[s.Instance] = &naiveServer{server: s}
			},
			"Unregister": func(t *rapid.T) {
				instance := name.Draw(t, "Name")
				d.Unregister(instance, now)
				n.unregister(instance, now)
			},
			"Advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 90_000).Draw(t, "Milliseconds")) * time.Millisecond)
				d.Advance(now)
				n.advance(now)
			},
			"": func(t *rapid.T) {
				v := d.View()
				got := copies(v)
				require.Equal(t, n.servers(), got)
				for _, s := range v.Servers {
					require.Same(t, s, v.ByName(s.Instance))
					require.Equal(t, s.Status != Gone, slices.Contains(v.Pool(s.Pool), s))
				}
				require.Equal(t, firstWas, copies(first))
				requireTokensOf(t, v, n.servers())
				first, firstWas = v, got
			},
		})
	})
}

// requireTokensOf checks that a view's tokens are those of the servers, as made
// from nothing by a node that has only now heard of all.
func requireTokensOf(t require.TestingT, v *View, servers []Server) {
	var anew Directory
	anew.SetTable(v.Table, begin)
	for _, s := range servers {
		anew.Register(s)
	}
	other := anew.View()
	for _, s := range servers {
		token := v.Token(live, &s)
		require.Equal(t, other.Token(live, &s), token)
		require.Equal(t, s.Instance, v.ByToken(live, token).Instance)
	}
}

// The first packet of an endpoint is handled by a view that a change has just
// overtaken. Flows that are opened by the next view must find the new server all
// the same: its token would be zero otherwise, and all their packets be dropped.
func TestEndpointFirstSeenByAFormerViewKnowsNewServers(t *testing.T) {
	var d Directory
	d.SetTable(table(1, route(live, "a")), begin)
	d.Register(server("s-1", "a"))
	former := d.View()
	d.Register(server("s-2", "a"))
	require.NotZero(t, former.Token(live, former.ByName("s-1")))
	v := d.View()
	token := v.Token(live, v.ByName("s-2"))
	require.NotZero(t, token)
	require.Equal(t, "s-2", v.ByToken(live, token).Instance)
}

// A route moves from a pool to another and back while flows are open at both: each
// finds its server by its token all the time.
func TestTokensFollowARouteThatMoves(t *testing.T) {
	var d Directory
	d.SetTable(table(1, route(live, "a")), begin)
	d.Register(server("s-a", "a"))
	d.Register(server("s-b", "b"))
	v := d.View()
	a := v.Token(live, v.ByName("s-a"))
	for version, pool := range []string{"b", "a", "b"} {
		d.SetTable(table(uint64(version+2), route(live, pool)), begin)
		v = d.View()
		b := v.Token(live, v.ByName("s-b"))
		require.Equal(t, "s-a", v.ByToken(live, a).Instance)
		require.Equal(t, "s-b", v.ByToken(live, b).Instance)
	}
}
