// Package bronzetoken gives each BackendServer a 32-bit token for each endpoint that it serves.
// Packets carry the token, so that nodes need not remember which server a flow is on.
//
// The node that places a flow writes the token into the opening; both ends return it in every
// later packet, and any node finds the server by it. A token must therefore identify the same
// server on every node, although nodes learn of servers at different times. It is a hash of the
// server's name and the endpoint. If two names have the same hash, the server that registered
// later uses its next hash, so that a server that keeps its flows keeps its token. The first
// two hashes of a server identify it as long as no other server uses them. This covers nodes
// that do not know the earlier server yet, or have forgotten it.
//
// Only nodes know the servers' names. Whoever sends a token for an endpoint therefore has it
// from a flow that a node placed: a token of another endpoint is not valid, and clients cannot
// compute one.
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

// hashCount is how many hashes a name has. The first aliasCount of them identify it even if its
// token is another one. Of 5,100 servers, two share their first hash with a probability of
// 0.3%; that the second hash of one of them is taken as well has a probability of one in 250
// million.
const (
	hashCount  = 4
	aliasCount = 2
)

// Holder is a server that has a token.
type Holder struct {
	Name string
	// Since orders holders by age: of holders with the same hash, the oldest uses it.
	Since uint64
}

// Set holds the tokens of a set of servers for one endpoint. It is not safe for concurrent use.
type Set struct {
	tokens map[string]uint32
	names  map[uint32]string
	// Collisions is the number of holders whose token isn't the first hash of their name.
	Collisions int

	endpoint string
	hash     func(endpoint, name string, try int) uint32
	// since holds the Since of each holder. hasConflict reports that two holders have a hash in
	// common or that a hash is zero, so that a token may depend on all holders.
	since       map[string]uint64
	hasConflict bool
}

// NewSet returns the tokens of the holders. They depend on nothing else, so nodes that know the
// same holders have the same tokens, whatever the order in which they learned of them.
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

// Add adds a holder, or updates its Since. The result is the same as that of NewSet with all
// holders. Adding one to thousands takes a microsecond without a conflict; rebuilding takes a
// millisecond, which would delay packets on each change.
func (s *Set) Add(h Holder) {
	if since, known := s.since[h.Name]; known {
		if since == h.Since {
			return
		}
		s.Remove(h.Name)
	}
	s.since[h.Name] = h.Since
	if s.hasConflict || s.conflicts(h.Name) {
		s.rebuild()
		return
	}
	s.assign(h.Name)
	s.addAliases(h.Name)
}

// Remove removes a holder.
func (s *Set) Remove(name string) {
	if _, known := s.since[name]; !known {
		return
	}
	delete(s.since, name)
	if s.hasConflict {
		s.rebuild()
		return
	}
	delete(s.tokens, name)
	for try := range aliasCount {
		delete(s.names, s.hash(s.endpoint, name, try))
	}
}

// conflicts reports whether one of a name's aliases is taken, zero, or a duplicate of the
// other. If none is, the tokens of the other holders don't depend on this one, nor its own on
// theirs.
func (s *Set) conflicts(name string) bool {
	for try := range aliasCount {
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

// rebuild computes the tokens of all holders.
func (s *Set) rebuild() {
	s.tokens = make(map[string]uint32, len(s.since))
	s.names = make(map[uint32]string, aliasCount*len(s.since))
	s.Collisions, s.hasConflict = 0, false
	sorted := make([]Holder, 0, len(s.since))
	for name, since := range s.since {
		sorted = append(sorted, Holder{Name: name, Since: since})
	}
	slices.SortFunc(sorted, func(a, b Holder) int {
		return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.Name, b.Name))
	})
	for _, h := range sorted {
		s.hasConflict = s.hasConflict || s.conflicts(h.Name)
		s.assign(h.Name)
	}
	for _, h := range sorted {
		s.addAliases(h.Name)
	}
	s.hasConflict = s.hasConflict || len(s.names) != aliasCount*len(sorted)
}

// assign gives name its first free hash.
func (s *Set) assign(name string) {
	for try := range hashCount {
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

// addAliases maps the first hashes of name to it where they are free. A node that knows fewer
// servers may use one of them as the token.
func (s *Set) addAliases(name string) {
	for try := range aliasCount {
		token := s.hash(s.endpoint, name, try)
		if _, taken := s.names[token]; !taken && token != 0 {
			s.names[token] = name
		}
	}
}

// Len returns the number of holders.
func (s *Set) Len() int { return len(s.since) }

// MayMatch reports whether a token is not 0 and one of the first two hashes of a name. Such a
// token may still identify another holder with the same hash.
func MayMatch(endpoint, name string, token uint32) bool {
	for try := range aliasCount {
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

// Name returns the name that a token identifies.
func (s *Set) Name(token uint32) (name string, ok bool) {
	name, ok = s.names[token]
	return name, ok
}

// hash returns the try-th hash of a name. It must be the same in every process and release.
func hash(endpoint, name string, try int) uint32 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(try))
	_, _ = d.WriteString(name)
	_, _ = d.WriteString(separator)
	_, _ = d.WriteString(endpoint)
	sum := d.Sum64()
	return uint32(sum>>32) ^ uint32(sum)
}

// separator keeps different pairs of a name and an endpoint from having the same concatenation.
const separator = "\x00"
