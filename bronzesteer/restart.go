package bronzesteer

import "time"

// restartMargin is by how much a flow must be older than the present start of its server,
// by the clocks of the server and of this node, to count as one of an earlier start. It
// covers the difference between the clocks and the time from a server's start to its first
// registration. In doubt no flow is ended here: the server itself ends those that it
// doesn't have, at their next packet.
const restartMargin = 2 * time.Second

// uptime returns how long ago the server started, according to the clocks, but at least 0.
func (b *backend) uptime(now time.Time) time.Duration {
	return max(now.Sub(b.startedAt), 0)
}

// endedByRestart reports whether the flow belonged to an earlier start of its server. If it
// belongs to the present one, the flow is moved to that start's entry. The caller holds the
// shard's lock.
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

// moveTo moves the flow to another entry of its server.
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
