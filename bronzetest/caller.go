package bronzetest

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

const (
	// firstRetransmit is when a caller first sends again; the wait doubles up
	// to maxRetransmit, so that what is mended within giveUp shows.
	firstRetransmit = 200 * time.Millisecond
	maxRetransmit   = time.Second
	// defaultGiveUp is how long a caller waits for an answer.
	defaultGiveUp = 5 * time.Second
	// inboxLength bounds the replies that wait for their flow's goroutine.
	inboxLength = 16
)

// Outcome is how a caller's flow ended.
type Outcome int

// The outcomes.
const (
	// Finished flows had all their requests answered.
	Finished Outcome = iota
	// Refused flows were reset before they were established.
	Refused
	// Unopened flows got no answer to their opening.
	Unopened
	// Broken flows were established and then reset, or got no answer.
	Broken
)

// Caller opens flows to one service, one flow at a time.
type Caller struct {
	Fabric *Fabric
	// Address is the caller's own, Service and Endpoint are what it calls.
	Address  netip.Addr
	Zone     string
	Service  string
	Endpoint netip.AddrPort
	// ThinkTime is the mean time between two requests.
	ThinkTime time.Duration
	// Timeout is how long it waits for an answer, 0 means five seconds.
	Timeout time.Duration
	// EarlyRequest puts the first request into the opening.
	EarlyRequest bool
	// Baseline, if set, follows the flow for the comparison with hash alone.
	Baseline *HashBaseline
	// ZoneOf, if set, tells where a server is, to tell flows that a
	// partition cut from others.
	ZoneOf func(bronzeflow.ServerID) string

	port uint16
}

// callerFlow is one flow at its caller.
type callerFlow struct {
	*Caller
	key       bronzeflow.Key
	src       netip.AddrPort
	inbox     chan segment
	seq, next uint32
	server    bronzeflow.ServerID
	number    uint32
	// unanswered is a request that the opening carried in vain.
	unanswered []byte
	ledger     *Ledger
}

// Flow opens a flow from a port not used before, makes up to limit requests
// (0 means no limit) one after another until ctx is done, and closes it. A
// request in progress is always finished.
func (c *Caller) Flow(ctx context.Context, limit int) Outcome {
	c.port++
	src := netip.AddrPortFrom(c.Address, c.port)
	f := &callerFlow{
		Caller: c, src: src, seq: rand.Uint32(), ledger: c.Fabric.Ledger,
		key:   bronzeflow.NewKey(bronzeflow.TCP, src, c.Endpoint),
		inbox: make(chan segment, inboxLength),
	}
	c.Fabric.attach(f.key, f.receive)
	defer c.Fabric.detach(f.key)
	switch outcome := f.run(ctx, limit); outcome {
	case Refused:
		f.ledger.told(f.key.Hash())
		return outcome
	case Unopened:
		f.ledger.Unopened.Add(1)
		f.reset()
		return outcome
	case Broken:
		f.countBroken()
		f.reset()
		return outcome
	default:
		return outcome
	}
}

func (c *Caller) giveUp() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return defaultGiveUp
}

// countBroken tells a flow whose two ends a partition separates from others.
func (f *callerFlow) countBroken() {
	id := f.ledger.serverOf(f.key.Hash())
	if f.ZoneOf != nil && f.Fabric.cutLately(f.Zone, f.ZoneOf(id), f.giveUp()) {
		f.ledger.CutFlows.Add(1)
		return
	}
	f.ledger.BrokenFlows.Add(1)
}

// receive takes a reply in; what overflows is lost like a packet.
func (f *callerFlow) receive(t *target, s segment) {
	if t != nil && !f.Fabric.Reachable(t.zone, f.Zone) {
		return
	}
	select {
	case f.inbox <- s:
	default:
	}
}

func (f *callerFlow) run(ctx context.Context, limit int) Outcome {
	if outcome := f.open(); outcome != Finished {
		return outcome
	}
	f.ledger.Established.Add(1)
	if f.Baseline != nil {
		f.Baseline.Open(f.Service, f.key)
		defer f.Baseline.Close(f.Service, f.key)
	}
	for limit == 0 || int(f.number) < limit || f.unanswered != nil {
		if !f.request() {
			return Broken
		}
		if !f.think(ctx) {
			return Broken
		}
		if ctx.Err() != nil {
			break
		}
	}
	f.close()
	return Finished
}

// open sends the opening until it is accepted or refused. A request in it
// that wasn't acknowledged with it is made again, as TCP does.
func (f *callerFlow) open() Outcome {
	syn := segment{SYN: true, Seq: f.seq}
	f.seq++
	if f.EarlyRequest {
		syn.Payload = f.nextRequest()
	}
	whole := f.seq + uint32(len(syn.Payload))
	outcome := Unopened
	f.transact(syn, func(s segment) bool {
		acknowledged := s.ACK && (s.Ack == f.seq || s.Ack == whole)
		switch {
		case s.RST && acknowledged:
			outcome = Refused
		case s.SYN && acknowledged:
			outcome = f.established(s, syn.Payload)
		default:
			f.ledger.StrayPackets.Add(1)
			return false
		}
		return true
	})
	return outcome
}

// established takes the acceptance s of an opening with payload in.
func (f *callerFlow) established(s segment, payload []byte) Outcome {
	f.next = s.Seq + 1
	if s.Ack == f.seq {
		f.unanswered = payload
	} else if f.seq = s.Ack; !f.verify(s) {
		return Broken
	}
	f.send(segment{ACK: true, Seq: f.seq, Ack: f.next})
	return Finished
}

func (f *callerFlow) nextRequest() []byte {
	f.number++
	return Request{Flow: f.key.Hash(), Number: f.number}.marshal()
}

// request makes the next request, or the one that the opening was to carry,
// and reports whether it was answered.
func (f *callerFlow) request() (answered bool) {
	p := segment{ACK: true, Seq: f.seq, Ack: f.next, Payload: f.unanswered}
	if f.unanswered == nil {
		p.Payload = f.nextRequest()
	}
	f.unanswered = nil
	f.seq += uint32(len(p.Payload))
	f.transact(p, func(s segment) bool {
		switch {
		case f.isReset(s):
			return true
		case len(s.Payload) > 0 && !s.SYN:
			answered = f.verify(s)
			return answered
		default:
			return false
		}
	})
	return answered
}

// verify reports whether s carries the whole answer to the last request.
// Repeated answers are passed over, any other is counted as wrong.
func (f *callerFlow) verify(s segment) bool {
	a, ok := parseAnswer(s.Payload)
	own := ok && a.Request.Flow == f.key.Hash() && a.Service == xxhash.Sum64String(f.Service)
	if own && a.Request.Number < f.number {
		return false
	}
	start := s.Seq
	if s.SYN {
		start++
	}
	if !own || a.Request.Number != f.number || start != f.next || (f.server != 0 && a.Server != f.server) {
		f.ledger.WrongAnswers.Add(1)
		return false
	}
	f.server = a.Server
	f.next += uint32(len(s.Payload))
	f.ledger.Requests.Add(1)
	return true
}

// isReset reports whether s ends the flow. A reset outside the expected
// sequence is ignored, as TCP does, and counted.
func (f *callerFlow) isReset(s segment) bool {
	if s.RST && s.Seq != f.next {
		f.ledger.StrayPackets.Add(1)
		return false
	}
	return s.RST
}

// think waits before the next request, or for less once ctx is done. It
// reports false if the flow was reset meanwhile.
func (f *callerFlow) think(ctx context.Context) bool {
	pause := time.NewTimer(f.ThinkTime/2 + rand.N(f.ThinkTime+1))
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return true
		case <-pause.C:
			return true
		case s := <-f.inbox:
			if f.isReset(s) {
				return false
			}
		}
	}
}

// close ends the flow. All its requests are answered, so its loss from now
// on harms nobody.
func (f *callerFlow) close() {
	fin := segment{ACK: true, FIN: true, Seq: f.seq, Ack: f.next}
	f.transact(fin, func(s segment) bool { return s.RST || s.FIN })
	f.seq++
	f.next++
	f.send(segment{ACK: true, Seq: f.seq, Ack: f.next})
}

func (f *callerFlow) reset() {
	f.send(segment{RST: true, ACK: true, Seq: f.seq, Ack: f.next})
}

// transact sends s, and again while done accepts none of the replies, until
// the caller gives up.
func (f *callerFlow) transact(s segment, done func(segment) bool) {
	deadline := time.NewTimer(f.giveUp())
	defer deadline.Stop()
	for wait := firstRetransmit; ; wait = min(2*wait, maxRetransmit) {
		f.send(s)
		again := time.NewTimer(wait)
		finished := f.collect(again.C, deadline.C, done)
		again.Stop()
		if finished {
			return
		}
	}
}

// collect passes replies to done until it accepts one or the deadline has
// come; it reports false when it is time to send again.
func (f *callerFlow) collect(again, deadline <-chan time.Time, done func(segment) bool) bool {
	for {
		select {
		case s := <-f.inbox:
			if done(s) {
				return true
			}
		case <-deadline:
			return true
		case <-again:
			return false
		}
	}
}

func (f *callerFlow) send(s segment) {
	s.Src, s.Dst, s.Protocol = f.src, f.Endpoint, bronzeflow.TCP
	f.Fabric.send(f.Zone, s)
}
