package bronzetoken

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// narrow is a hash with 64 values, so that names collide.
func narrow(endpoint, name string, try int) uint32 { return hash(endpoint, name, try) % 64 }

// constant gives all names the same first hash and different second ones.
func constant(_, name string, try int) uint32 {
	if try == 0 {
		return 5
	}
	return 100 + uint32(name[len(name)-1])
}

// A flow is on host a when host b registers, whose first hash is the same. If b took over the
// token, every node would send a's flow to b, which resets it. The older server must keep the
// token on all nodes, whatever the order in which they learned of the two.
func TestNewSetOlderHolderKeepsToken(t *testing.T) {
	before := newSet("e", []Holder{{"a", 1}}, constant)
	after := newSet("e", []Holder{{"b", 2}, {"a", 1}}, constant)
	require.Equal(t, before.Token("a"), after.Token("a"))
	require.NotEqual(t, after.Token("a"), after.Token("b"))
	require.Equal(t, 1, after.Collisions)
}

// A node that doesn't know the older of two colliding servers, or has forgotten it, must still
// find the younger one by its second hash, which other nodes use as its token.
func TestNameWithoutCollidingHolder(t *testing.T) {
	both := newSet("e", []Holder{{"a", 1}, {"b", 2}}, constant)
	alone := newSet("e", []Holder{{"b", 2}}, constant)
	name, ok := alone.Name(both.Token("b"))
	require.True(t, ok)
	require.Equal(t, "b", name)
}

func TestZeroToken(t *testing.T) {
	zeroFirst := func(_, _ string, try int) uint32 { return uint32(try) }
	s := newSet("e", []Holder{{"a", 1}}, zeroFirst)
	require.NotZero(t, s.Token("a"))
	_, ok := s.Name(0)
	require.False(t, ok)
}

func TestNameOtherEndpoint(t *testing.T) {
	var holders []Holder
	for i := range 5100 {
		holders = append(holders, Holder{Name: fmt.Sprintf("host-%d", i), Since: uint64(i)})
	}
	here := NewSet("198.18.0.1:443", holders)
	there := NewSet("198.18.0.2:443", holders)
	for _, h := range holders {
		name, ok := here.Name(here.Token(h.Name))
		require.True(t, ok)
		require.Equal(t, h.Name, name)
		_, ok = there.Name(here.Token(h.Name))
		require.False(t, ok, "token of another endpoint")
	}
}

// naive gives each holder, oldest first, the first hash that no older one has.
func naive(holders []Holder, hash func(string, string, int) uint32) map[string]uint32 {
	tokens := map[string]uint32{}
	taken := map[uint32]bool{0: true}
	left := append([]Holder(nil), holders...)
	for len(left) > 0 {
		oldest := 0
		for i, h := range left {
			o := left[oldest]
			if h.Since < o.Since || h.Since == o.Since && h.Name < o.Name {
				oldest = i
			}
		}
		for try := range hashCount {
			if token := hash("e", left[oldest].Name, try); !taken[token] {
				taken[token] = true
				tokens[left[oldest].Name] = token
				break
			}
		}
		left = append(left[:oldest], left[oldest+1:]...)
	}
	return tokens
}

func TestNewSetMatchesNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "holders")
		holders := make([]Holder, n)
		for i := range holders {
			holders[i] = Holder{Name: fmt.Sprintf("host-%d", i), Since: rapid.Uint64Range(0, 5).Draw(t, "since")}
		}
		want := naive(holders, narrow)
		r := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "order")))
		r.Shuffle(n, func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
		s := newSet("e", holders, narrow)
		require.Equal(t, want, s.tokens)
		for name, token := range want {
			got, ok := s.Name(token)
			require.True(t, ok)
			require.Equal(t, name, got)
		}
	})
}

// Holders are added and removed one by one. Whatever came before, the tokens must be those of a
// new set of the same holders, since nodes with different histories must agree. Checked with
// hashes that collide often, rarely and as in production.
func TestAddRemoveMatchesNewSet(t *testing.T) {
	wide := func(endpoint, name string, try int) uint32 { return hash(endpoint, name, try) % 4096 }
	hashes := map[string]func(string, string, int) uint32{"narrow": narrow, "wide": wide, "real": hash}
	for kind, hash := range hashes {
		t.Run(kind, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				s := newSet("e", nil, hash)
				holders := map[string]uint64{}
				name := rapid.Custom(func(t *rapid.T) string { return fmt.Sprintf("host-%d", rapid.IntRange(0, 30).Draw(t, "i")) })
				t.Repeat(map[string]func(*rapid.T){
					"Add": func(t *rapid.T) {
						h := Holder{Name: name.Draw(t, "Name"), Since: rapid.Uint64Range(0, 5).Draw(t, "Since")}
						s.Add(h)
						holders[h.Name] = h.Since
					},
					"Remove": func(t *rapid.T) {
						n := name.Draw(t, "Name")
						s.Remove(n)
						delete(holders, n)
					},
					"": func(t *rapid.T) {
						var list []Holder
						for n, since := range holders {
							list = append(list, Holder{Name: n, Since: since})
						}
						fresh := newSet("e", list, hash)
						require.Equal(t, fresh.tokens, s.tokens)
						require.Equal(t, fresh.names, s.names)
						require.Equal(t, fresh.Collisions, s.Collisions)
					},
				})
			})
		})
	}
}

// A search for one token among all names must find those that a set maps it to.
func TestMayMatch(t *testing.T) {
	var holders []Holder
	for i := range 500 {
		holders = append(holders, Holder{Name: fmt.Sprintf("host-%d", i), Since: uint64(i)})
	}
	s := NewSet("e", holders)
	for token, name := range s.names {
		require.True(t, MayMatch("e", name, token))
		require.False(t, MayMatch("other", name, token))
	}
	require.False(t, MayMatch("e", "host-1", 0))
}

func BenchmarkAdd(b *testing.B) {
	var holders []Holder
	for i := range 5100 {
		holders = append(holders, Holder{Name: fmt.Sprintf("host-%d", i), Since: uint64(i)})
	}
	s := NewSet("198.18.0.1:443", holders)
	for b.Loop() {
		s.Add(Holder{Name: "new", Since: 9000})
		s.Remove("new")
	}
}

func BenchmarkNewSet(b *testing.B) {
	for _, n := range []int{18, 150, 5100} {
		var holders []Holder
		for i := range n {
			holders = append(holders, Holder{Name: fmt.Sprintf("host-%d", i), Since: uint64(i)})
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				NewSet("198.18.0.1:443", holders)
			}
		})
	}
}
