package bronzegossip

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzerecord"
)

// StoreConfirmed notes that the store has just told this node that it has the newest
// records, and spreads that.
func (g *Gossip) StoreConfirmed(now time.Time) {
	g.runLocked(now, func() {
		stale := now.Sub(g.confirmedAt) >= minConfirmationAdvance
		g.confirmedAt = now
		if stale {
			g.spread(now, nil)
		}
	})
}

// noteLatest keeps track of whether newer records are known.
func (g *Gossip) noteLatest(p bronzerecord.Position, now time.Time) {
	if g.latest.Before(p) {
		g.latest = p
	}
	g.updateBehind(now)
}

// updateBehind begins to wait for the newest records that are known when the one that was
// waited for is there. While servers are replaced there is a newer one several times a
// second: a node that has each a moment later is never without one that it misses, and
// isn't behind for that.
func (g *Gossip) updateBehind(now time.Time) {
	own := g.Records.Position()
	switch {
	case !own.Before(g.latest):
		g.behindSince, g.awaited = time.Time{}, bronzerecord.Position{}
	case g.behindSince.IsZero(), !own.Before(g.awaited):
		g.behindSince, g.awaited = now, g.latest
	}
}

// isBehind reports whether newer records have been known for long.
func (g *Gossip) isBehind(now time.Time) bool {
	g.updateBehind(now)
	limit := behindTimeout
	if g.Records.Position().Epoch < g.awaited.Epoch {
		limit = epochBehindTimeout
	}
	return !g.behindSince.IsZero() && now.Sub(g.behindSince) >= limit
}

// mergeConfirmation takes in when the store last said that there was nothing newer than the
// sender's records. It counts only if this node has them, or newer ones: what it
// has is not confirmed otherwise.
func (g *Gossip) mergeConfirmation(p bronzerecord.Position, contact, now time.Time) (news bool) {
	if g.Records.Position().Before(p) || !contact.After(g.confirmedAt) {
		return false
	}
	news = contact.Sub(g.confirmedAt) >= minConfirmationAdvance
	g.confirmedAt = contact
	return news && now.Sub(contact) < confirmationTimeout
}

// SinceConfirmed returns how long ago the store confirmed this node's records.
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
