package bronzenode

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// isSelected reports whether self is among the first n of names in the
// rendezvous order for key. Every node computes the same order from the same
// names, so tasks are assigned without coordination. With an outdated view one
// node too many may do a task, which costs an extra read only.
func isSelected(names []string, self string, key uint64, n int) bool {
	own := rankScore(self, key)
	before := 0
	for _, name := range names {
		if name == self {
			continue
		}
		if compareRank(rankScore(name, key), name, own, self) < 0 {
			before++
		}
	}
	return before < n
}

// compareRank orders the node with the higher score first, and nodes with equal
// scores by name.
func compareRank(scoreA uint64, a string, scoreB uint64, b string) int {
	if c := cmp.Compare(scoreB, scoreA); c != 0 {
		return c
	}
	return cmp.Compare(a, b)
}

func rankScore(name string, key uint64) uint64 {
	return bronzeflow.Mix(key, xxhash.Sum64String(name))
}

// sortedNames returns the keys of m in order.
func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
