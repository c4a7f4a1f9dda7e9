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
		if !s.gone.IsZero() && now.Sub(s.gone) > RememberFor {
			delete(n, name)
		} else if s.gone.IsZero() && !s.missing.IsZero() && now.Sub(s.missing) > MissingFor {
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
				first, firstWas = v, got
			},
		})
	})
}
