package bronzepool

import "bronzeusher.example/bronzeusher/bronzeflow"

// Available reports whether server id may take new flows: it is in the pool,
// not leaving, and below its hard limit of connections.
func (p *Pool) Available(id bronzeflow.ServerID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.index[id]
	if s == nil {
		return false
	}
	now := p.now()
	if s.leaving(now) {
		return false
	}
	return s.connections <= 0 || p.estimate(s, now) < float64(s.connections)
}
