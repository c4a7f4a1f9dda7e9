// Package bronzetoken gives each BackendServer a number of 32 bits for each
// endpoint that it serves, which packets can carry in place of a memory of
// their flow.
//
// A node that places a flow writes the token into the opening; the ends send
// it back in every later packet, and any node finds the server by it. A token
// must therefore mean the same server on every node, though nodes hear of
// servers at different times. It is a hash of the server's name and the
// endpoint. Where two names have one hash, the server that registered later
// uses its next hash, so a server that keeps its flows keeps its token. The first
// two hashes of a server are understood as long as no other server uses them,
// which covers nodes that have not heard of the earlier server, or have
// forgotten it.
//
// Servers' names are known to nodes alone. So who sends a token for an
// endpoint has it from a flow that some node placed: the token of another
// endpoint is no token here, and nobody can make one up.
//
// Zero is never a token: openings carry it.
//
// # Usage
//
//	set := bronzetoken.NewSet("198.18.0.1:443", []bronzetoken.Holder{{Name: "host-1", Since: 7}})
//	token := set.Token("host-1")
//	name, ok := set.Name(token)
package bronzetoken

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// tries is how many hashes a name has, and spares how many of them are
// understood where the name uses another. Of 5,100 servers two share their first
// with a chance of 0.3%; that one of them finds its second taken too is a
// matter of one in 250 million.
const (
	tries  = 4
	spares = 2
)

// Holder is a server that has a token.
type Holder struct {
	Name string
	// Since orders holders by age: who came first keeps a contested token.
	Since uint64
}

// Set is the tokens of a set of servers for one endpoint. It is not safe for
// concurrent use.
type Set struct {
	tokens map[string]uint32
	names  map[uint32]string
	// Collisions is how many holders don't have the first hash of their name.
	Collisions int

	endpoint string
	hash     func(endpoint, name string, try int) uint32
	// since is when each holder came, and contested says that two of them have a
	// hash in common, or one has a hash of zero, so that who has which token
	// depends on all.
	since     map[string]uint64
	contested bool
}

// NewSet returns the tokens of the holders. It depends on nothing else, so
// nodes that know the same holders have the same tokens, in whatever order
// they heard of them.
func NewSet(endpoint string, holders []Holder) *Set {
	return newSet(endpoint, holders, hash)
}

func newSet(endpoint string, holders []Holder, hash func(string, string, int) uint32) *Set {
	s := &Set{endpoint: endpoint, hash: hash, since: make(map[string]uint64, len(holders))}
	for _, h := range holders {
		s.since[h.Name] = h.Since
	}
	s.rebuild()
	return s
}

// Add adds a holder, or takes in that it came at another time. The tokens are
// then those of a set made anew: of thousands of holders one takes a microsecond,
// and all of them take a millisecond, for which packets would wait at each change.
func (s *Set) Add(h Holder) {
	if since, known := s.since[h.Name]; known {
		if since == h.Since {
			return
		}
		s.Remove(h.Name)
	}
	s.since[h.Name] = h.Since
	if s.contested || s.contests(h.Name) {
		s.rebuild()
		return
	}
	s.assign(h.Name)
	s.addSpares(h.Name)
}

// Remove removes a holder.
func (s *Set) Remove(name string) {
	if _, known := s.since[name]; !known {
		return
	}
	delete(s.since, name)
	if s.contested {
		s.rebuild()
		return
	}
	delete(s.tokens, name)
	for try := range spares {
		delete(s.names, s.hash(s.endpoint, name, try))
	}
}

// contests reports whether a name's hashes are those of other holders, or zero.
// Where none is, no other holder's token depends on it, nor its own on theirs.
func (s *Set) contests(name string) bool {
	for try := range spares {
		token := s.hash(s.endpoint, name, try)
		if _, taken := s.names[token]; taken || token == 0 {
			return true
		}
		if try > 0 && token == s.hash(s.endpoint, name, 0) {
			return true
		}
	}
	return false
}

// rebuild makes the tokens of all holders.
func (s *Set) rebuild() {
	s.tokens = make(map[string]uint32, len(s.since))
	s.names = make(map[uint32]string, spares*len(s.since))
	s.Collisions, s.contested = 0, false
	sorted := make([]Holder, 0, len(s.since))
	for name, since := range s.since {
		sorted = append(sorted, Holder{Name: name, Since: since})
	}
	slices.SortFunc(sorted, func(a, b Holder) int {
		return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.Name, b.Name))
	})
	for _, h := range sorted {
		s.contested = s.contested || s.contests(h.Name)
		s.assign(h.Name)
	}
	for _, h := range sorted {
		s.addSpares(h.Name)
	}
	s.contested = s.contested || len(s.names) != spares*len(sorted)
}

// assign gives name its first free hash.
func (s *Set) assign(name string) {
	for try := range tries {
		token := s.hash(s.endpoint, name, try)
		if _, taken := s.names[token]; taken || token == 0 {
			continue
		}
		s.names[token] = name
		s.tokens[name] = token
		if try > 0 {
			s.Collisions++
		}
		return
	}
	s.Collisions++
}

// addSpares makes the first two hashes of name mean it where they are free:
// those that a node may use for it that knows fewer servers.
func (s *Set) addSpares(name string) {
	for try := range spares {
		token := s.hash(s.endpoint, name, try)
		if _, taken := s.names[token]; !taken && token != 0 {
			s.names[token] = name
		}
	}
}

// Len returns how many holders there are.
func (s *Set) Len() int { return len(s.since) }

// MayMatch reports whether a token is one of the first two hashes of a name, of
// which it then has one or, where both are contested, neither.
func MayMatch(endpoint, name string, token uint32) bool {
	for try := range spares {
		if hash(endpoint, name, try) == token {
			return token != 0
		}
	}
	return false
}

// Token returns the token of name, 0 if it has none.
func (s *Set) Token(name string) uint32 {
	return s.tokens[name]
}

// Name returns the name that a token stands for.
func (s *Set) Name(token uint32) (name string, ok bool) {
	name, ok = s.names[token]
	return name, ok
}

// hash returns the try-th hash of a name, the same in every process and
// release.
func hash(endpoint, name string, try int) uint32 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(try))
	_, _ = d.WriteString(name)
	_, _ = d.WriteString(separator)
	_, _ = d.WriteString(endpoint)
	sum := d.Sum64()
	return uint32(sum>>32) ^ uint32(sum)
}

// separator keeps a name that ends like an endpoint begins from another's hash.
const separator = "\x00"
