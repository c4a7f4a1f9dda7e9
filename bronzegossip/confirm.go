package bronzegossip

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzerecord"
)

// StoreConfirmed notes that the store has just confirmed that this node has the newest
// records, and forwards the confirmation if the previous one is old enough.
func (g *Gossip) StoreConfirmed(now time.Time) { g.storeAnswered(&g.confirmations, now) }

// StoreLoading notes that the store has answered this node, which reads all records and has
// more of them to read, and forwards that if the previous answer is old enough.
func (g *Gossip) StoreLoading(now time.Time) { g.storeAnswered(&g.loading, now) }

func (g *Gossip) storeAnswered(a *answers, now time.Time) {
	g.runLocked(now, func() {
		g.ownAnswers++
		if advance, _ := a.add(AnswerID{Reader: g.Self.readerID(), Number: g.ownAnswers}, now); advance >= minConfirmationAdvance {
			g.spread(now, nil)
		}
	})
}

// mergeAnswer merges what a message says of an answer of the store. forward reports whether
// that is new and recent enough to be forwarded.
func (g *Gossip) mergeAnswer(a *answers, id AnswerID, ageMS uint32, now time.Time) (forward bool) {
	advance, delay := a.add(id, now.Add(-time.Duration(ageMS)*time.Millisecond))
	if delay > 0 && g.OnDelay != nil {
		g.OnDelay(delay)
	}
	return advance >= minConfirmationAdvance && now.Sub(a.lastAt) < confirmationTimeout
}

// mergeLoading merges what a peer says of nodes that read all records.
func (g *Gossip) mergeLoading(m *Message, now time.Time) (forward bool) {
	return m.LoadingMS != 0 && g.mergeAnswer(&g.loading, m.Loading, m.LoadingMS-1, now)
}

// loadingAgeMS returns the age of the store's last answer to a node that reads all records,
// as it is sent to peers.
func (g *Gossip) loadingAgeMS(now time.Time) uint32 {
	if age := now.Sub(g.loading.lastAt); age < maxLoadTime {
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
// nodes that start at once would read the store.
func (g *Gossip) mergeConfirmation(m *Message, now time.Time) (forward bool) {
	if m.ContactMS >= neverConfirmedMS || g.Records.Position().Before(m.position()) {
		return false
	}
	return g.mergeAnswer(&g.confirmations, m.Confirmation, m.ContactMS, now)
}

// SinceConfirmed returns how long ago the store confirmed this node's records, or the
// time since the first Tick if it hasn't yet.
func (g *Gossip) SinceConfirmed(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sinceConfirmed(now)
}

// ConfirmedBy returns the name of the live node that the store last confirmed the records to,
// or "" if it isn't known.
func (g *Gossip) ConfirmedBy(now time.Time) (name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	reader := g.confirmations.last.Reader
	if reader == g.Self.readerID() {
		return g.Self.Name
	}
	g.eachLive(now, func(p *peer) {
		if p.readerID() == reader {
			name = p.Name
		}
	})
	return name
}

func (g *Gossip) sinceConfirmed(now time.Time) time.Duration {
	switch {
	case !g.confirmations.lastAt.IsZero():
		return now.Sub(g.confirmations.lastAt)
	case !g.startedAt.IsZero():
		return now.Sub(g.startedAt)
	default:
		return 0 // not ticked yet
	}
}

// neverConfirmedMS is the confirmation age that a node reports if it has no confirmation
// by the store, in milliseconds: 24 days. The time since its start must not be used
// instead: peers would take it for a confirmation, and while nodes start one after the
// other would never notice that the readers are cut off from the store.
const neverConfirmedMS = 1 << 31

// confirmationAgeMS returns the age of the store's last confirmation as it is sent to
// peers.
func (g *Gossip) confirmationAgeMS(now time.Time) uint32 {
	if g.confirmations.lastAt.IsZero() {
		return neverConfirmedMS
	}
	return milliseconds(now.Sub(g.confirmations.lastAt))
}
