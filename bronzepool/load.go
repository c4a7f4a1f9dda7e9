package bronzepool

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// Report is what a server's own endpoint, or a peer that polled it, says.
type Report struct {
	Server      bronzeflow.ServerID
	Connections int
	Leaving     bool
	At          time.Time
}

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
	p.forget(name)
	if counts == nil {
		return
	}
	if p.origins == nil {
		p.origins = make(map[string]origin)
	}
	o := make(origin, 0, len(p.servers))
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

// estimate returns the flows that all owners have on s. Another owner is
// taken to have placed since its share what this node placed, in part.
func (p *Pool) estimate(s *server) float64 {
	heard := len(p.origins)
	unheard := max(p.owners-1-heard, 0)
	since := int64(heard+unheard)*int64(s.own) - s.base
	total := float64(int64(s.own)+s.shared) + othersWeight*float64(since)
	return max(total, float64(s.own))
}
