package bronzegossip

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzerecord"
)

// StoreConfirmed notes that the store has just confirmed that this node has the newest
// records, and forwards the confirmation if the previous one is old enough.
func (g *Gossip) StoreConfirmed(now time.Time) {
	g.runLocked(now, func() {
		stale := now.Sub(g.confirmedAt) >= minConfirmationAdvance
		g.confirmedAt = now
		if stale {
			g.spread(now, nil)
		}
	})
}

// StoreLoading notes that the store has answered this node, which reads all records and has
// more of them to read, and forwards that if the previous answer is old enough.
func (g *Gossip) StoreLoading(now time.Time) {
	g.runLocked(now, func() {
		stale := now.Sub(g.loadingAt) >= minConfirmationAdvance
		g.loadingAt = now
		if stale {
			g.spread(now, nil)
		}
	})
}

// mergeLoading merges what a peer says of nodes that read all records. forward reports
// whether that is new and recent enough to be forwarded.
func (g *Gossip) mergeLoading(m *Message, now time.Time) (forward bool) {
	if m.LoadingMS == 0 {
		return false
	}
	loadingAt := now.Add(-time.Duration(m.LoadingMS-1) * time.Millisecond)
	if !loadingAt.After(g.loadingAt) {
		return false
	}
	forward = loadingAt.Sub(g.loadingAt) >= minConfirmationAdvance
	g.loadingAt = loadingAt
	return forward && now.Sub(loadingAt) < confirmationTimeout
}

// loadingAgeMS returns the age of the store's last answer to a node that reads all records,
// as it is sent to peers.
func (g *Gossip) loadingAgeMS(now time.Time) uint32 {
	if age := now.Sub(g.loadingAt); age < maxLoadTime {
		return milliseconds(age) + 1
	}
	return 0
}

// noteLatest notes that a peer has records up to p.
func (g *Gossip) noteLatest(p bronzerecord.Position, now time.Time) {
	if g.latest.Before(p) {
		g.latest = p
	}
	g.updateBehind(now)
}

// updateBehind starts to wait for the latest known position once the awaited one is
// reached. While servers are replaced there is a new position several times a second: a
// node that reaches each a moment later always misses the newest one, but isn't behind.
func (g *Gossip) updateBehind(now time.Time) {
	own := g.Records.Position()
	switch {
	case !own.Before(g.latest):
		g.behindSince, g.awaited = time.Time{}, bronzerecord.Position{}
	case g.behindSince.IsZero(), !own.Before(g.awaited):
		g.behindSince, g.awaited = now, g.latest
	}
}

// isBehind reports whether this node has missed records that it knows of for too long.
func (g *Gossip) isBehind(now time.Time) bool {
	g.updateBehind(now)
	limit := behindTimeout
	if g.Records.Position().Epoch < g.awaited.Epoch {
		limit = epochBehindTimeout
	}
	return !g.behindSince.IsZero() && now.Sub(g.behindSince) >= limit
}

// mergeConfirmation merges the confirmation of a message by the store. It applies only if
// this node has the message's records or newer ones: otherwise its own aren't the confirmed
// ones. A sender without a confirmation says nothing: if that counted as an old one, all
// nodes that start at once would read the store. forward reports whether the confirmation
// is new and recent enough to be forwarded.
func (g *Gossip) mergeConfirmation(m *Message, now time.Time) (forward bool) {
	confirmedAt := now.Add(-time.Duration(m.ContactMS) * time.Millisecond)
	if m.ContactMS >= neverConfirmedMS || g.Records.Position().Before(m.position()) || !confirmedAt.After(g.confirmedAt) {
		return false
	}
	forward = confirmedAt.Sub(g.confirmedAt) >= minConfirmationAdvance
	g.confirmedAt = confirmedAt
	return forward && now.Sub(confirmedAt) < confirmationTimeout
}

// SinceConfirmed returns how long ago the store confirmed this node's records, or the
// time since the first Tick if it hasn't yet.
func (g *Gossip) SinceConfirmed(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sinceConfirmed(now)
}

func (g *Gossip) sinceConfirmed(now time.Time) time.Duration {
	switch {
	case !g.confirmedAt.IsZero():
		return now.Sub(g.confirmedAt)
	case !g.startedAt.IsZero():
		return now.Sub(g.startedAt)
	default:
		return 0 // not ticked yet
	}
}
