package bronzesteer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzeroute"
)

// A view state is derived from the former one. After any sequence of changes, its servers,
// pools and zone counts must equal those of a new node. The state of a server is kept as
// long as the server is known, and unchanged pools are reused.
func TestViewStateIncremental(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d bronzeroute.Directory
		now := begin
		d.SetTable(&bronzeroute.Table{Version: 1}, now)
		node := &Steerer{AvailabilityZone: "a"}
		node.SetView(d.View())
		seen := map[string]*backend{}
		t.Repeat(map[string]func(*rapid.T){
			"Register": func(t *rapid.T) {
				i := rapid.IntRange(0, 11).Draw(t, "Server")
				d.Register(bronzeroute.Server{
					BackendServer: bronzeconf.BackendServer{
						Instance: fmt.Sprint("s-", i), AvailabilityZone: string(rune('a' + i%3)), Slots: 2,
					},
					Pool: fmt.Sprint("pool-", i%2), Draining: rapid.Bool().Draw(t, "Draining"),
				})
			},
			"Unregister": func(t *rapid.T) {
				d.Unregister(fmt.Sprint("s-", rapid.IntRange(0, 11).Draw(t, "Server")), now)
			},
			"Advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 90_000).Draw(t, "Milliseconds")) * time.Millisecond)
				d.Advance(now)
			},
			"": func(t *rapid.T) {
				former := node.state.Load()
				node.SetView(d.View())
				vs := node.state.Load()
				fresh := &Steerer{AvailabilityZone: "a"}
				fresh.SetView(vs.view)
				requireSameState(t, fresh.state.Load(), vs)
				for name, z := range node.zones {
					require.Equal(t, fresh.zone(name).servers, z.servers, name)
				}
				requireStateKept(t, seen, former, vs)
			},
		})
	})
}

// requireSameState checks that two view states have the same servers and pools.
func requireSameState(t require.TestingT, want, got *viewState) {
	names := func(members []member) (names []string) {
		for _, m := range members {
			require.Equal(t, m.server.Instance, m.backend.instance)
			names = append(names, m.server.Instance)
		}
		return names
	}
	require.Equal(t, names(want.members), names(got.members))
	require.Len(t, got.pools, len(want.pools))
	for name, p := range want.pools {
		require.Equal(t, names(p.members), names(got.pools[name].members))
		require.Equal(t, p.ownZoneCount, got.pools[name].ownZoneCount)
	}
}

// requireStateKept checks that the states of servers and unchanged pools are kept.
func requireStateKept(t require.TestingT, seen map[string]*backend, former, vs *viewState) {
	for name := range seen {
		if vs.view.ByName(name) == nil {
			delete(seen, name)
		}
	}
	for _, m := range vs.members {
		if b := seen[m.server.Instance]; b != nil {
			require.Same(t, b, m.backend)
		}
		seen[m.server.Instance] = m.backend
		require.Same(t, m.backend, vs.backendOf(m.server, nil))
	}
	for name, p := range vs.pools {
		if old := former.pools[name]; old != nil && slices.Equal(old.servers, p.servers) && old.hasServers(p.servers) {
			require.Same(t, old, p)
		}
	}
}
