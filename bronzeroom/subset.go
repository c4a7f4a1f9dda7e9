package bronzeroom

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// Subset returns where in its zone's ring of servers a node begins to place, as an index from 0
// to servers-1. nodes are the distinct names of the other nodes of the zone, in any order; it
// makes no difference whether self is among them.
//
// All nodes that know the same names spread their beginnings evenly over the ring: any number of
// consecutive servers holds the beginnings of equally many nodes, plus or minus one. A node that
// joins or leaves moves the beginnings of the others by at most servers/len(nodes) and one.
func Subset(nodes []string, self string, servers int) (first int) {
	if servers <= 0 {
		return 0
	}
	own := xxhash.Sum64String(self)
	index, others := 0, 0
	for _, name := range nodes {
		if name == self {
			continue
		}
		others++
		if cmp.Or(cmp.Compare(xxhash.Sum64String(name), own), cmp.Compare(name, self)) < 0 {
			index++
		}
	}
	return index * servers / (others + 1)
}
