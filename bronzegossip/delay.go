package bronzegossip

import (
	"math"
	"time"
)

const (
	// offsetWindow is the time of which the fastest message from a peer is remembered, at
	// least. The clocks of two nodes diverge by a few milliseconds meanwhile.
	offsetWindow = 30 * time.Second
	// maxDelay bounds the measured delay of a message. A node that was paused drops what
	// waited for it, so longer ones are due to a clock.
	maxDelay = 1500 * time.Millisecond
)

// clockOffset is how far the clock of a peer is behind this node's, plus the delay of the
// fastest message from it. What other messages take beyond that is their delay: they waited on
// the way, or at either end. The zero value knows nothing.
type clockOffset struct {
	incarnation uint64
	// current and previous are the least offsets in the window that began at since, and in the
	// one before.
	current, previous time.Duration
	since             time.Time
}

// delay returns by how much a message was slower than the fastest one, if its sender told the
// given time when it sent it.
func (o *clockOffset) delay(incarnation uint64, sent, received time.Duration, now time.Time) time.Duration {
	offset := received - sent
	if o.since.IsZero() || o.incarnation != incarnation {
		*o = clockOffset{incarnation: incarnation, current: offset, previous: offset, since: now}
	}
	if passed := now.Sub(o.since); passed >= offsetWindow {
		o.previous, o.current, o.since = o.current, offset, now
		if passed >= 2*offsetWindow {
			o.previous = offset
		}
	}
	o.current = min(o.current, offset)
	return min(offset-min(o.current, o.previous), maxDelay)
}

// clock returns the time since the clock was first read, including that for which the node
// was suspended.
func (g *Gossip) clock(now time.Time) time.Duration {
	if g.clockBegin.IsZero() {
		g.clockBegin = now
	}
	return now.Sub(g.clockBegin) + g.suspendedFor
}

// sentMS returns the time at which a message is sent, for its receivers.
func (g *Gossip) sentMS(now time.Time) uint64 { return uint64(max(g.clock(now).Milliseconds(), 0)) }

// correctAges adds the delay of a message to the ages in it, and takes it for the age of the
// sender's sign of life. The caller holds the lock.
func (g *Gossip) correctAges(m *Message, now time.Time) {
	m.From.HeardMS = 0
	known := g.peers[m.From.Name]
	if known == nil || m.From.SentMS == 0 {
		return
	}
	sent := time.Duration(min(m.From.SentMS, math.MaxInt64/uint64(time.Millisecond))) * time.Millisecond
	delay := milliseconds(known.offset.delay(m.From.Incarnation, sent, g.clock(now), now))
	m.From.HeardMS = delay
	if m.ContactMS < neverConfirmedMS {
		m.ContactMS += delay
	}
	if m.LoadingMS != 0 {
		m.LoadingMS = addAge(m.LoadingMS, delay)
	}
	for i := range m.Peers {
		m.Peers[i].HeardMS = addAge(m.Peers[i].HeardMS, delay)
	}
	for i := range m.Reports {
		m.Reports[i].FirstMS = addAge(m.Reports[i].FirstMS, delay)
		m.Reports[i].LastMS = addAge(m.Reports[i].LastMS, delay)
	}
}

// addAge adds two ages in milliseconds. What doesn't fit is the highest age.
func addAge(a, b uint32) uint32 {
	if a > math.MaxUint32-b {
		return math.MaxUint32
	}
	return a + b
}
