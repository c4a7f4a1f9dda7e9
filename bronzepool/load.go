package bronzepool

import (
	"bronzeusher.example/bronzeusher/bronzeflow"
)

// share is what an origin said of one server, and this node's own count then.
type share struct {
	server *server
	count  uint32
	base   uint32
}

// origin is another owner's last word.
type origin []share

// SetOwned replaces what the node origin says of the flows that it owns.
// A nil map forgets origin.
func (p *Pool) SetOwned(name string, counts map[bronzeflow.ServerID]uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.origins[name][:0]
	p.forget(name)
	p.reweigh()
	if counts == nil || p.unshared {
		return
	}
	if p.origins == nil {
		p.origins = make(map[string]origin)
	}
	if cap(o) < len(p.servers) {
		o = make(origin, 0, len(p.servers))
	}
	for _, s := range p.servers {
		sh := share{server: s, count: counts[s.id], base: uint32(s.own)}
		s.shared += int64(sh.count)
		s.base += int64(sh.base)
		o = append(o, sh)
	}
	p.origins[name] = o
}

func (p *Pool) forget(name string) {
	for _, sh := range p.origins[name] {
		sh.server.shared -= int64(sh.count)
		sh.server.base -= int64(sh.base)
	}
	delete(p.origins, name)
}

// dropRemoved takes servers that are no longer in force out of the origins.
func (p *Pool) dropRemoved() {
	for name, o := range p.origins {
		kept := o[:0]
		for _, sh := range o {
			if p.index[sh.server.id] == sh.server {
				kept = append(kept, sh)
			}
		}
		clear(o[len(kept):])
		p.origins[name] = kept
	}
}

// Owned adds the counts of this node's own flows, to be shared, to dst.
// Servers without any are left out.
func (p *Pool) Owned(dst map[bronzeflow.ServerID]uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.own > 0 {
			dst[s.id] += uint32(s.own)
		}
	}
}

// othersWeight is how much of a change of this node's own count is taken to
// have happened at each other owner too. All of it would make the estimate's
// error grow with the number of owners; nothing would let them all go on
// filling a server that is full.
const othersWeight = 0.5

// estimate returns the flows that all owners have on s: the counts, with the
// server's own report blended in as far as it is believed.
func (p *Pool) estimate(s *server, now int64) float64 {
	if p.unshared {
		own := float64(s.own)
		return max(own, own+s.believed(now, 1)*(float64(s.report.connections)-own))
	}
	heard := len(p.origins)
	others := max(p.owners-1, heard)
	since := int64(others)*int64(s.own) - s.base
	total := s.counted() + othersWeight*float64(since)
	unheard := float64(others-heard) / float64(others+1)
	if w := s.believed(now, unheard); w > 0 {
		// Owners that aren't heard act on the same report as this one: taking
		// each for one that does as this one does keeps them from all filling
		// the server that it says is idle.
		alike := othersWeight + (1-othersWeight)*unheard
		grown := float64(s.own-s.report.own) * (1 + alike*float64(others))
		total += w * (float64(s.report.connections) + grown - total)
	}
	return max(total, float64(s.own))
}

// counted returns the flows of s that this node has, and that the others
// have last said to have.
func (s *server) counted() float64 {
	return float64(int64(s.own) + s.shared)
}
