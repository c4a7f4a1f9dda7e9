package bronzepool

import (
	"bronzeusher.example/bronzeusher/bronzeflow"
)

// peerCount is the flow count that a peer reported for one server. ownBase is
// this node's own count when the report arrived.
type peerCount struct {
	server  *server
	count   uint32
	ownBase uint32
}

// peerCounts are the counts that a peer reported last.
type peerCounts []peerCount

// SetOwned replaces the counts of the flows that the given peer owns. A nil map
// removes the peer.
func (p *Pool) SetOwned(peer string, counts map[bronzeflow.ServerID]uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.peers[peer][:0]
	p.removePeer(peer)
	p.invalidate()
	if counts == nil || p.unshared {
		return
	}
	if p.peers == nil {
		p.peers = make(map[string]peerCounts)
	}
	if cap(list) < len(p.servers) {
		list = make(peerCounts, 0, len(p.servers))
	}
	for _, s := range p.servers {
		pc := peerCount{server: s, count: counts[s.id], ownBase: uint32(s.own)}
		s.peerSum += int64(pc.count)
		s.ownBaseSum += int64(pc.ownBase)
		list = append(list, pc)
	}
	p.peers[peer] = list
}

func (p *Pool) removePeer(peer string) {
	for _, pc := range p.peers[peer] {
		pc.server.peerSum -= int64(pc.count)
		pc.server.ownBaseSum -= int64(pc.ownBase)
	}
	delete(p.peers, peer)
}

// dropRemoved deletes servers that are no longer in the pool from the peers'
// counts.
func (p *Pool) dropRemoved() {
	for peer, list := range p.peers {
		kept := list[:0]
		for _, pc := range list {
			if p.index[pc.server.id] == pc.server {
				kept = append(kept, pc)
			}
		}
		clear(list[len(kept):])
		p.peers[peer] = kept
	}
}

// Owned adds the counts of the flows that this node owns to dst, to be shared
// with the other owners. Servers without flows are left out.
func (p *Pool) Owned(dst map[bronzeflow.ServerID]uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.own > 0 {
			dst[s.id] += uint32(s.own)
		}
	}
}

// peerChangeWeight is the fraction of a change of this node's own count that is
// assumed for each other owner too. With 1 the error of the estimate would grow
// with the number of owners; with 0 all owners would go on filling a server
// that is full.
const peerChangeWeight = 0.5

// estimate returns the estimated number of flows that all owners have on s: the
// shared counts, blended with the server's own report by its weight.
func (p *Pool) estimate(s *server, now int64) float64 {
	if p.unshared {
		own := float64(s.own)
		return max(own, own+s.reportWeight(now, 1)*(float64(s.report.connections)-own))
	}
	sharing := len(p.peers)
	others := max(p.owners-1, sharing)
	delta := int64(others)*int64(s.own) - s.ownBaseSum
	total := s.sharedCount() + peerChangeWeight*float64(delta)
	missing := float64(others-sharing) / float64(others+1)
	if w := s.reportWeight(now, missing); w > 0 {
		// Owners whose counts are missing act on the same report. Assuming
		// that each places flows as this node does keeps them from all filling
		// a server that reports to be idle.
		peerGrowth := peerChangeWeight + (1-peerChangeWeight)*missing
		growth := float64(s.own-s.report.own) * (1 + peerGrowth*float64(others))
		total += w * (float64(s.report.connections) + growth - total)
	}
	return max(total, float64(s.own))
}

// sharedCount returns the flows of this node on s plus those that the peers
// reported last.
func (s *server) sharedCount() float64 {
	return float64(int64(s.own) + s.peerSum)
}
