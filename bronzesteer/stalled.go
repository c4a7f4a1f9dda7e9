package bronzesteer

import (
	"sync"
	"time"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

const (
	// stalledAge is the age at which an opening without a continuation is stalled. Its caller may
	// have been moved to another node, and retransmits it there after 200 ms at the earliest.
	stalledAge = 150 * time.Millisecond
	// maxStalled bounds the stalled openings that wait to be taken, and maxPeerOpenings those of
	// other nodes that a shard keeps. Further ones are dropped.
	maxStalled      = 256
	maxPeerOpenings = 64
)

// StalledOpening is an opening whose caller hasn't continued at this node. If it continues at
// another one, that node doesn't know of the servers that may have accepted the opening.
type StalledOpening struct {
	// Bytes is the opening as received, Tokens are those of the servers that it was sent to.
	Bytes  []byte
	Tokens []uint32
}

// stalledQueue holds the stalled openings that weren't taken yet.
type stalledQueue struct {
	mu   sync.Mutex
	list []StalledOpening
}

func (q *stalledQueue) add(list []StalledOpening) {
	if len(list) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list = append(q.list, list[:min(len(list), maxStalled-len(q.list))]...)
}

// StalledOpenings returns the openings that were found stalled since the last call.
func (s *Steerer) StalledOpenings() (list []StalledOpening) {
	s.stalled.mu.Lock()
	defer s.stalled.mu.Unlock()
	list, s.stalled.list = s.stalled.list, nil
	return list
}

// takeStalled returns the flow's opening if it is newly stalled, or was sent to a further server
// since it was.
func (f *flow) takeStalled(at time.Duration) (o StalledOpening, ok bool) {
	if f.open || f.opening == nil || f.opening.announced || at-f.openedAt < stalledAge {
		return o, false
	}
	f.opening.announced = true
	o.Bytes = f.opening.bytes
	for i := range f.opening.servers {
		o.Tokens = append(o.Tokens, f.opening.servers[i].token)
	}
	return o, true
}

// MergeStalledOpening takes an opening that has stalled at another node, which has sent it to the
// servers with the given tokens. If its flow is open here, those servers are corrected now,
// otherwise once it opens.
func (s *Steerer) MergeStalledOpening(p *Packet, tokens []uint32, now time.Time) {
	s.init()
	vs := s.state.Load()
	if vs == nil || !p.Open || len(p.Bytes) == 0 {
		return
	}
	at := s.sinceStart(now)
	sh := s.shard(p)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	f := sh.flows[p.Key]
	if f != nil && !f.isOpening(p, at) {
		// An earlier flow from the same port.
		f = nil
	}
	o := sh.openingOf(f, p, at)
	if o == nil {
		return
	}
	for _, token := range tokens {
		server := vs.view.ByToken(p.Key.ServiceAddrPort(), token)
		if server == nil || server.Status == bronzeroute.Gone {
			continue
		}
		known := len(o.servers)
		to := o.addServer(vs.backendOf(server, nil), token)
		if f == nil || !f.open || len(o.servers) == known {
			continue
		}
		for range correctionsPerServer {
			s.correct(o, to, f, at)
		}
	}
}

// openingOf returns what is kept of the opening of a flow, which is nil if this node doesn't know
// the flow. It returns nil if no more openings of other nodes can be kept.
func (sh *shard) openingOf(f *flow, p *Packet, at time.Duration) (o *pendingOpening) {
	switch {
	case f != nil && f.opening != nil:
		return f.opening
	case f == nil && sh.peerOpening(p) != nil:
		return sh.peerOpening(p)
	case f == nil && len(sh.peerOpenings) >= maxPeerOpenings:
		return nil
	}
	o = &pendingOpening{key: p.Key, bytes: append([]byte(nil), p.Bytes...), sequence: p.Sequence, heardAt: at}
	if f != nil {
		o.addServer(f.backend, f.token)
		f.opening = o
		return o
	}
	if sh.peerOpenings == nil {
		sh.peerOpenings = make(map[flowKey]*pendingOpening)
	}
	sh.peerOpenings[p.Key] = o
	return o
}

// peerOpening returns what another node has told of the opening of a packet's flow, or nil.
func (sh *shard) peerOpening(p *Packet) (o *pendingOpening) {
	o = sh.peerOpenings[p.Key]
	if o == nil || p.Open && p.Sequence != o.sequence || !p.Open && p.Sequence-o.sequence > maxAdvance {
		return nil
	}
	return o
}

// takePeerOpening removes and returns peerOpening.
func (sh *shard) takePeerOpening(p *Packet) (o *pendingOpening) {
	o = sh.peerOpening(p)
	delete(sh.peerOpenings, p.Key)
	return o
}

// expirePeerOpenings removes the openings of other nodes that their callers have given up.
func (sh *shard) expirePeerOpenings(at time.Duration) {
	for key, o := range sh.peerOpenings {
		if at-o.heardAt > openingTimeout {
			delete(sh.peerOpenings, key)
		}
	}
}

// lastServer returns the server that was sent the opening last, or nil.
func (o *pendingOpening) lastServer() *backend {
	if o == nil || len(o.servers) == 0 {
		return nil
	}
	return o.servers[len(o.servers)-1].backend
}

// merge adds the servers that another node has sent the opening to.
func (o *pendingOpening) merge(other *pendingOpening) {
	for i := range other.servers {
		o.addServer(other.servers[i].backend, other.servers[i].token)
	}
}
