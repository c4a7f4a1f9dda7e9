package bronzesteer

import "time"

// Callers use a source port again, some of them seconds after both ends have closed the flow from
// there (RFC 6191). Each flow begins at a random number at either end, so that the numbers of a
// packet tell whether it belongs to the flow that the node remembers.
const (
	// maxAdvance is by how many bytes either end may be ahead of what this node has seen of a
	// flow, since other nodes may have forwarded it. maxRetreat is by how many a packet may be
	// behind: callers have 16 packets of 1,200 bytes in flight.
	maxAdvance = 1 << 26
	maxRetreat = 1 << 17
)

// contains reports whether a packet that is no opening belongs to the flow. Another flow's packet
// passes once in 4,096 times.
func (f *flow) contains(p *Packet) bool {
	if !f.open {
		return p.Sequence-f.openingSequence <= maxAdvance
	}
	ahead := uint32(maxAdvance)
	if f.final {
		ahead = 1
	}
	return p.Sequence-f.sequence+maxRetreat <= ahead+maxRetreat && p.Acknowledged-f.acknowledged+maxRetreat <= maxAdvance+maxRetreat
}

// isOpening reports whether an opening is that of the flow, and not of a later one from the same
// port. If the node hasn't seen the flow's, it is one only as long as its caller may still
// retransmit it.
func (f *flow) isOpening(p *Packet, at time.Duration) bool {
	if f.sawOpening {
		return p.Sequence == f.openingSequence
	}
	return at-f.openedAt <= openingTimeout && f.sequence-p.Sequence <= maxAdvance
}

// isOver reports whether the caller has sent its last byte and has the answer to all that it sent.
// A later flow may use its port by now.
func (f *flow) isOver() bool {
	return f.final && f.requestAt == 0
}
