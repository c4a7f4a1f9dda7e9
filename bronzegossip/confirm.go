package bronzegossip

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzerecord"
)

// StoreConfirmed notes that the store has just told this node that it has the newest
// records, and spreads that.
func (g *Gossip) StoreConfirmed(now time.Time) {
	g.do(now, func() {
		stale := now.Sub(g.contact) >= fresher
		g.contact = now
		if stale {
			g.spread(now, nil)
		}
	})
}

// noteBehind keeps track of whether newer records are known.
func (g *Gossip) noteBehind(p bronzerecord.Position, now time.Time) {
	if g.highest.Before(p) {
		g.highest = p
	}
	g.catchUp(now)
}

// catchUp begins to wait for the newest records that are known when the one that was
// waited for is there. While servers are replaced there is a newer one several times a
// second: a node that has each a moment later is never without one that it misses, and
// isn't behind for that.
func (g *Gossip) catchUp(now time.Time) {
	mine := g.Records.Position()
	switch {
	case !mine.Before(g.highest):
		g.behind, g.missed = time.Time{}, bronzerecord.Position{}
	case g.behind.IsZero(), !mine.Before(g.missed):
		g.behind, g.missed = now, g.highest
	}
}

// isBehind reports whether newer records have been known for long.
func (g *Gossip) isBehind(now time.Time) bool {
	g.catchUp(now)
	limit := behindFor
	if g.Records.Position().Epoch < g.missed.Epoch {
		limit = behindEpochFor
	}
	return !g.behind.IsZero() && now.Sub(g.behind) >= limit
}

// learn takes in when the store last said that there was nothing newer than the
// sender's records. It counts only if this node has them, or newer ones: what it
// has is not confirmed otherwise.
func (g *Gossip) learn(p bronzerecord.Position, contact, now time.Time) (news bool) {
	if g.Records.Position().Before(p) || !contact.After(g.contact) {
		return false
	}
	news = contact.Sub(g.contact) >= fresher
	g.contact = contact
	return news && now.Sub(contact) < confirmedFor
}

// SinceConfirmed returns how long ago the store confirmed this node's records.
func (g *Gossip) SinceConfirmed(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.confirmed(now)
}

func (g *Gossip) confirmed(now time.Time) time.Duration {
	switch {
	case !g.contact.IsZero():
		return now.Sub(g.contact)
	case !g.started.IsZero():
		return now.Sub(g.started)
	default:
		return 0 // not ticked yet
	}
}
