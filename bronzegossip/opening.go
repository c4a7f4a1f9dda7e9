package bronzegossip

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// openingsPerMessage and maxOpeningsBytes bound the openings in one message.
	openingsPerMessage = 8
	maxOpeningsBytes   = 900
	// openingMessageRate is how many messages with openings a node may send in a second,
	// openingMessageBurst how many at once: three to each of the 97 others in a zone of 98.
	openingMessageRate  = 10
	openingMessageBurst = 300
)

// SendOpenings sends stalled openings to the live peers in this node's AvailabilityZone, to which
// their callers may have been moved, or to all if there is none. Openings beyond the limit of
// messages are dropped and counted as OpeningsNotSent.
func (g *Gossip) SendOpenings(openings []Opening, now time.Time) {
	g.runLocked(now, func() {
		if g.openingLimit == nil {
			g.openingLimit = rate.NewLimiter(openingMessageRate, openingMessageBurst)
		}
		peers := g.zonePeers(now)
		for len(openings) > 0 && len(peers) > 0 {
			n := countThatFit(openings)
			if !g.openingLimit.AllowN(now, len(peers)) {
				g.count("OpeningsNotSent")
				return
			}
			for _, p := range peers {
				g.queue(p.Address, now, Message{Openings: openings[:n]}, false)
			}
			openings = openings[n:]
		}
	})
}

// countThatFit returns how many of the openings fit into one message, at least one.
func countThatFit(openings []Opening) (n int) {
	bytes := 0
	for n < len(openings) && n < openingsPerMessage {
		bytes += len(openings[n].Packet) + 5*len(openings[n].Tokens) + 8
		if n > 0 && bytes > maxOpeningsBytes {
			break
		}
		n++
	}
	return n
}

// zonePeers returns the live peers in this node's AvailabilityZone, or all if there is none.
func (g *Gossip) zonePeers(now time.Time) (peers []*peer) {
	var all []*peer
	g.eachLive(now, func(p *peer) {
		all = append(all, p)
		if p.AvailabilityZone == g.Self.AvailabilityZone {
			peers = append(peers, p)
		}
	})
	if len(peers) == 0 {
		return all
	}
	return peers
}
