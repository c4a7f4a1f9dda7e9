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
	// firstRetransmit is the time until a caller's first retransmission. It
	// doubles up to maxRetransmit, so that several retransmissions fit into
	// defaultTimeout and a flow survives a fault that ends before.
	firstRetransmit = 200 * time.Millisecond
	maxRetransmit   = time.Second
	// defaultTimeout is how long a caller waits for an answer by default.
	defaultTimeout = 5 * time.Second
	// inboxLength bounds the replies queued for a flow's goroutine.
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
	// Unopened flows got no reply to their opening.
	Unopened
	// Broken flows were established and then reset, or a request got no answer.
	Broken
)

// Caller opens flows to one service, one at a time.
type Caller struct {
	Fabric *Fabric
	// Address is the caller's own. Service is the name of the called service,
	// Endpoint its address and port.
	Address  netip.Addr
	Zone     string
	Service  string
	Endpoint netip.AddrPort
	// ThinkTime is the mean time between an answer and the next request.
	ThinkTime time.Duration
	// Timeout is how long it waits for an answer. 0 means five seconds.
	Timeout time.Duration
	// EarlyRequest makes the opening carry the first request.
	EarlyRequest bool
	// Baseline, if set, is told of established flows for the comparison with
	// hash alone.
	Baseline *HashBaseline
	// ZoneOf, if set, returns the zone of a server, so that flows cut by a
	// partition are counted apart from other broken flows.
	ZoneOf func(bronzeflow.ServerID) string

	port uint16
}

// callerFlow is the caller's side of one flow.
type callerFlow struct {
	*Caller
	key       bronzeflow.Key
	src       netip.AddrPort
	inbox     chan segment
	seq, next uint32
	server    bronzeflow.ServerID
	number    uint32
	// unacked is a request that the opening carried and the reply to it did not
	// acknowledge.
	unacked []byte
	ledger  *Ledger
}

// Flow opens a flow from the next port, makes up to limit requests (0 means no
// limit) one after another until ctx is done, and closes the flow. A request in
// progress is finished even if ctx is done.
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
		f.ledger.recordRefusal(f.key.Hash())
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

func (c *Caller) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return defaultTimeout
}

// countBroken counts a broken flow. One whose ends were separated by a
// partition within the last timeout counts as cut.
func (f *callerFlow) countBroken() {
	id := f.ledger.serverOf(f.key.Hash())
	if f.ZoneOf != nil && f.Fabric.recentlyPartitioned(f.Zone, f.ZoneOf(id), f.timeout()) {
		f.ledger.CutFlows.Add(1)
		return
	}
	f.ledger.BrokenFlows.Add(1)
}

// receive queues a reply. If the queue is full or a partition separates the
// balancer t from the caller, the reply is lost.
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
	for limit == 0 || int(f.number) < limit || f.unacked != nil {
		if !f.request() {
			return Broken
		}
		if !f.waitThinkTime(ctx) {
			return Broken
		}
		if ctx.Err() != nil {
			break
		}
	}
	f.close()
	return Finished
}

// open sends the opening until it is accepted, refused or timed out. A request
// in it that the reply doesn't acknowledge is sent again once the flow is open,
// as in TCP.
func (f *callerFlow) open() Outcome {
	syn := segment{SYN: true, Seq: f.seq}
	f.seq++
	if f.EarlyRequest {
		syn.Payload = f.nextRequest()
	}
	withPayload := f.seq + uint32(len(syn.Payload))
	outcome := Unopened
	f.transact(syn, func(s segment) bool {
		acknowledged := s.ACK && (s.Ack == f.seq || s.Ack == withPayload)
		switch {
		case s.RST && acknowledged:
			outcome = Refused
		case s.SYN && acknowledged:
			outcome = f.handleSYNACK(s, syn.Payload)
		default:
			f.ledger.StrayPackets.Add(1)
			return false
		}
		return true
	})
	return outcome
}

// handleSYNACK handles s, which accepts an opening with the given payload.
func (f *callerFlow) handleSYNACK(s segment, payload []byte) Outcome {
	f.next = s.Seq + 1
	if s.Ack == f.seq {
		f.unacked = payload
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

// request sends the next request, or the unacknowledged one of the opening, and
// reports whether it was answered.
func (f *callerFlow) request() (answered bool) {
	p := segment{ACK: true, Seq: f.seq, Ack: f.next, Payload: f.unacked}
	if f.unacked == nil {
		p.Payload = f.nextRequest()
	}
	f.unacked = nil
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
// Answers to earlier requests of the flow are ignored, any other is counted as
// wrong.
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

// isReset reports whether s resets the flow. A reset with an unexpected
// sequence number is ignored, as in TCP, and counted as a stray packet.
func (f *callerFlow) isReset(s segment) bool {
	if s.RST && s.Seq != f.next {
		f.ledger.StrayPackets.Add(1)
		return false
	}
	return s.RST
}

// waitThinkTime waits for a random think time or until ctx is done. It returns
// false if the flow is reset meanwhile.
func (f *callerFlow) waitThinkTime(ctx context.Context) bool {
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

// close ends the flow. All its requests are answered, so it doesn't matter
// whether the FIN is answered before the timeout.
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

// transact sends s and retransmits it until done accepts a reply or the timeout
// has passed.
func (f *callerFlow) transact(s segment, done func(segment) bool) {
	deadline := time.NewTimer(f.timeout())
	defer deadline.Stop()
	for wait := firstRetransmit; ; wait = min(2*wait, maxRetransmit) {
		f.send(s)
		retransmit := time.NewTimer(wait)
		finished := f.awaitReply(retransmit.C, deadline.C, done)
		retransmit.Stop()
		if finished {
			return
		}
	}
}

// awaitReply passes replies to done until it accepts one or the deadline has
// passed. It returns false when it is time to retransmit.
func (f *callerFlow) awaitReply(retransmit, deadline <-chan time.Time, done func(segment) bool) bool {
	for {
		select {
		case s := <-f.inbox:
			if done(s) {
				return true
			}
		case <-deadline:
			return true
		case <-retransmit:
			return false
		}
	}
}

func (f *callerFlow) send(s segment) {
	s.Src, s.Dst, s.Protocol = f.src, f.Endpoint, bronzeflow.TCP
	f.Fabric.send(f.Zone, s)
}
