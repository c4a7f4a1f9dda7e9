package bronzerecord

import "cmp"

// Position is a place in the history of a store. A store that comes back from a
// copy has lost what it acknowledged after the copy was made, and gives those
// revisions out again: its history is another one from there on, and its epoch one
// higher. A store that tells no epoch has epoch 0.
type Position struct {
	Epoch    uint64
	Revision uint64
}

// Before reports whether p comes before q: in an earlier epoch, or in the same one
// at a lower revision.
func (p Position) Before(q Position) bool { return p.compare(q) < 0 }

func (p Position) compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, q.Epoch), cmp.Compare(p.Revision, q.Revision))
}

// IsZero reports whether p is that of a copy that has nothing yet.
func (p Position) IsZero() bool { return p.Revision == 0 }
