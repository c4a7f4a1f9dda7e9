package bronzerecord

import "cmp"

// Position identifies a state of a store. A store that was restored from a backup has
// lost the writes that it acknowledged after the backup was made, and uses their
// revisions again for other writes. Its history is a different one from there on, with an
// epoch that is one higher. A store that reports no epoch has epoch 0.
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

// IsZero reports whether p is the position of an empty copy.
func (p Position) IsZero() bool { return p.Revision == 0 }
