package bronzesteer

import "time"

// restartMargin is by how much a flow must be older than the present start of its
// server, as the clocks of the server and of this node tell, for it to count as one
// of the earlier start. It covers clocks that differ and the time from the start of a
// server to its first registration. Of flows that are in doubt none is ended: the
// server itself ends those that it doesn't have, at their next packet.
const restartMargin = 2 * time.Second

// uptime returns how long ago the server of b started, as far as clocks tell; it is
// not below 0.
func (b *backend) uptime(now time.Time) time.Duration {
	return max(now.Sub(b.startedAt), 0)
}

// endedByRestart tells what has become of a flow whose server has started again: it was with
// the earlier start, or it is one of the present start's, whose entry the flow then
// has. The caller holds the shard's lock.
func (f *flow) endedByRestart(at time.Duration, now time.Time) (gone bool) {
	next := f.backend.successor.Load()
	if next == nil {
		return false
	}
	if f.openedAt+restartMargin < at-next.uptime(now) {
		return true
	}
	f.moveTo(next)
	return false
}

// moveTo makes another entry the flow's.
func (f *flow) moveTo(to *backend) {
	f.finishRequest()
	f.requestAt = 0
	if f.open {
		f.backend.addFlows(-1)
		to.addFlows(1)
	} else {
		f.backend.addOpenings(-1)
		to.addOpenings(1)
	}
	f.backend = to
}
