package bronzegossip

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// AnswerID identifies an answer of the store to one of the nodes that read it. The zero
// value stands for answers relayed by nodes whose version doesn't identify them.
type AnswerID struct {
	_ struct{} `cbor:",toarray"`
	// Reader identifies the node and its start by a number that the nodes agree on.
	Reader uint32
	// Number counts the answers that the reader has had since its start.
	Number uint64
}

// readerID returns the number that identifies a node and its start.
func (p *Peer) readerID() uint32 {
	return max(uint32(xxhash.Sum64String(p.Name+" "+strconv.FormatUint(p.Incarnation, 10))), 1)
}

// answers keeps the times of the store's answers that nodes tell each other of. The age in
// a message is too low by the time that the message took, and nodes relay it many times, so
// an answer is identified, and each message about it can only make it older. The zero value
// is empty.
type answers struct {
	// newest holds the newest answer to each reader.
	newest map[uint32]answer
	// last and lastAt are the most recent one of all.
	last   AnswerID
	lastAt time.Time
}

// answer is an answer of the store to one reader.
type answer struct {
	number uint64
	at     time.Time
}

// add adds an answer that was given at the given time or earlier. It returns by how much the
// most recent answer became more recent, and by how much the time was too late if the answer
// is known already.
func (a *answers) add(id AnswerID, at time.Time) (advance, delay time.Duration) {
	known, ok := a.newest[id.Reader]
	switch {
	case ok && id.Number < known.number, ok && id == (AnswerID{}) && !at.After(known.at):
		return 0, 0
	case ok && id.Number == known.number && id != (AnswerID{}):
		if !at.Before(known.at) {
			return 0, at.Sub(known.at)
		}
	case !ok:
		a.forget(at.Add(-forgetTimeout))
	}
	if a.newest == nil {
		a.newest = make(map[uint32]answer)
	}
	a.newest[id.Reader] = answer{number: id.Number, at: at}
	before := a.lastAt
	a.updateLast()
	return a.lastAt.Sub(before), 0
}

// updateLast finds the most recent answer.
func (a *answers) updateLast() {
	a.lastAt = time.Time{}
	for reader, k := range a.newest {
		if k.at.After(a.lastAt) || k.at.Equal(a.lastAt) && reader < a.last.Reader {
			a.last, a.lastAt = AnswerID{Reader: reader, Number: k.number}, k.at
		}
	}
}

// forget removes readers whose last answer was before the given time.
func (a *answers) forget(before time.Time) {
	for reader, k := range a.newest {
		if k.at.Before(before) && reader != a.last.Reader {
			delete(a.newest, reader)
		}
	}
}

// suspended makes all answers older by d, during which the clock stood still.
func (a *answers) suspended(d time.Duration) {
	for reader, k := range a.newest {
		k.at = k.at.Add(-d)
		a.newest[reader] = k
	}
	if !a.lastAt.IsZero() {
		a.lastAt = a.lastAt.Add(-d)
	}
}
