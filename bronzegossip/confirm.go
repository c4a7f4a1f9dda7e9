package bronzegossip

import "time"

// Contact notes that the store has just told this node that it has the newest
// records, and spreads that.
func (g *Gossip) Contact(now time.Time) {
	g.do(now, func() {
		stale := now.Sub(g.contact) >= fresher
		g.contact = now
		if stale {
			g.spread(now, nil)
		}
	})
}

// noteBehind keeps track of whether a higher revision is known.
func (g *Gossip) noteBehind(revision uint64, now time.Time) {
	g.highest = max(g.highest, revision)
	g.catchUp(now)
}

// catchUp begins to wait for the highest revision that is known when the one that was
// waited for is there. While servers are replaced there is a newer one several times a
// second: a node that has each a moment later is never without one that it misses, and
// isn't behind for that.
func (g *Gossip) catchUp(now time.Time) {
	mine := g.Records.Revision()
	switch {
	case mine >= g.highest:
		g.behind, g.missed = time.Time{}, 0
	case g.behind.IsZero(), mine >= g.missed:
		g.behind, g.missed = now, g.highest
	}
}

// isBehind reports whether a higher revision has been known for long.
func (g *Gossip) isBehind(now time.Time) bool {
	g.catchUp(now)
	return !g.behind.IsZero() && now.Sub(g.behind) >= behindFor
}

// learn takes in when the store last said that there was no higher revision
// than the sender's. It counts only if this node has that revision or a higher
// one: what it has is not confirmed otherwise.
func (g *Gossip) learn(revision uint64, contact, now time.Time) (news bool) {
	if g.Records.Revision() < revision || !contact.After(g.contact) {
		return false
	}
	news = contact.Sub(g.contact) >= fresher
	g.contact = contact
	return news && now.Sub(contact) < confirmedFor
}

// Confirmed returns how long ago the store confirmed this node's records.
func (g *Gossip) Confirmed(now time.Time) time.Duration {
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
