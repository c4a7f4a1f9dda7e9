package bronzetest

import (
	"encoding/binary"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// Request is a request of a caller to a BackendServer. It is never idempotent.
type Request struct {
	// Flow is the hash of the flow's key. Number counts the requests of the
	// flow from 1.
	Flow   uint64
	Number uint32
}

// Answer is a BackendServer's answer to a Request.
type Answer struct {
	Request Request
	// Server ran the request. Service is the hash of the service's name.
	Server  bronzeflow.ServerID
	Service uint64
	// Digest is the hash of the fields above. It detects a corrupted answer.
	Digest uint64
}

const (
	requestBytes = 12
	answerBytes  = requestBytes + 24
)

func (r Request) marshal() []byte {
	b := binary.BigEndian.AppendUint64(make([]byte, 0, answerBytes), r.Flow)
	return binary.BigEndian.AppendUint32(b, r.Number)
}

func parseRequest(b []byte) (r Request, ok bool) {
	if len(b) < requestBytes {
		return r, false
	}
	return Request{binary.BigEndian.Uint64(b), binary.BigEndian.Uint32(b[8:])}, true
}

func (a Answer) marshal() []byte {
	b := binary.BigEndian.AppendUint64(a.Request.marshal(), uint64(a.Server))
	b = binary.BigEndian.AppendUint64(b, a.Service)
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b))
}

// parseAnswer decodes an answer. ok is false unless its length and digest are
// right.
func parseAnswer(b []byte) (a Answer, ok bool) {
	if len(b) != answerBytes {
		return a, false
	}
	a.Request, _ = parseRequest(b)
	a.Server = bronzeflow.ServerID(binary.BigEndian.Uint64(b[requestBytes:]))
	a.Service = binary.BigEndian.Uint64(b[requestBytes+8:])
	a.Digest = binary.BigEndian.Uint64(b[requestBytes+16:])
	return a, a.Digest == xxhash.Sum64(b[:requestBytes+16])
}

// ledgerShards is the number of shards of a Ledger, each with its own lock.
const ledgerShards = 64

// Ledger counts what callers and backend servers observe. All stand-ins of a
// run share one, so that a request that ran at two servers is detected. The
// zero Ledger is ready to use. Its methods may be called concurrently.
type Ledger struct {
	Established, Requests, Packets, Relayed              atomic.Int64
	BrokenFlows, CutFlows, Refused, Unopened             atomic.Int64
	Misdelivered, DoubleRuns, WrongAnswers, StrayPackets atomic.Int64
	FalseRefusals, NewFlowsOnLeaving                     atomic.Int64

	shards [ledgerShards]ledgerShard
}

type ledgerShard struct {
	mu    sync.Mutex
	flows map[uint64]*flowRecord
}

type flowRecord struct {
	runs    map[uint32]int
	tried   map[bronzeflow.ServerID]bool
	server  bronzeflow.ServerID
	refused bool
}

// withFlow calls fn with the record of flow, holding its shard's lock.
func (l *Ledger) withFlow(flow uint64, fn func(*flowRecord)) {
	sh := &l.shards[flow%ledgerShards]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.flows == nil {
		sh.flows = make(map[uint64]*flowRecord)
	}
	r := sh.flows[flow]
	if r == nil {
		r = &flowRecord{runs: make(map[uint32]int), tried: make(map[bronzeflow.ServerID]bool)}
		sh.flows[flow] = r
	}
	fn(r)
}

// recordRun records that a server runs r. It counts each run after the first as
// a double run, and the first run in a flow whose caller was told that nothing
// ran as a false refusal.
func (l *Ledger) recordRun(r Request) {
	l.withFlow(r.Flow, func(f *flowRecord) {
		if f.refused && len(f.runs) == 0 {
			l.FalseRefusals.Add(1)
		}
		f.runs[r.Number]++
		if f.runs[r.Number] > 1 {
			l.DoubleRuns.Add(1)
		}
	})
}

// recordRefusal records that the caller of flow was told that nothing of it
// ran. If something did, it counts a false refusal.
func (l *Ledger) recordRefusal(flow uint64) {
	l.Refused.Add(1)
	l.withFlow(flow, func(f *flowRecord) {
		if !f.refused && len(f.runs) > 0 {
			l.FalseRefusals.Add(1)
		}
		f.refused = true
	})
}

// recordAttempt records that an opening of flow reached server.
func (l *Ledger) recordAttempt(flow uint64, server bronzeflow.ServerID) {
	l.withFlow(flow, func(f *flowRecord) { f.tried[server] = true })
}

// recordAccept records that server accepted flow.
func (l *Ledger) recordAccept(flow uint64, server bronzeflow.ServerID) {
	l.withFlow(flow, func(f *flowRecord) { f.server = server })
}

// serverOf returns the server that last accepted flow, or 0.
func (l *Ledger) serverOf(flow uint64) (id bronzeflow.ServerID) {
	l.withFlow(flow, func(f *flowRecord) { id = f.server })
	return id
}

// FurtherAttempts returns the number of flows whose opening reached a server
// and the number of servers beyond the first that openings reached.
func (l *Ledger) FurtherAttempts() (flows, further int) {
	for i := range l.shards {
		sh := &l.shards[i]
		sh.mu.Lock()
		for _, f := range sh.flows {
			if n := len(f.tried); n > 0 {
				flows++
				further += n - 1
			}
		}
		sh.mu.Unlock()
	}
	return flows, further
}
