package bronzecore

import (
	"sync"
	"time"

	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// DefaultCopyBytesPerSecond is the pace of copies when nothing is set: a
// third of a node's control budget.
const DefaultCopyBytesPerSecond = 2048

const (
	// copyMessageBytes and copyItemBytes are what a message of copies takes
	// on the network, its headers included: so much, and so much more for
	// each item. By its item alone a lone copy would pass for a quarter of
	// what it takes, and in a large fleet nearly all travel alone.
	copyMessageBytes = 60
	copyItemBytes    = 20
	// maxCopyBatch is the most items in one message: it fits a datagram.
	maxCopyBatch = 48
	// copyResendInterval is after how long an item without acknowledgement goes
	// again.
	copyResendInterval = time.Second
	// copyShards divides the copies held for other owners.
	copyShards = 64
)

// copyStore holds the exceptions that other owners have copied here.
type copyStore struct {
	shards [copyShards]struct {
		mu sync.Mutex
		m  map[uint64]bronzeflow.ServerID
	}
}

func (c *copyStore) get(hash uint64) (id bronzeflow.ServerID, ok bool) {
	s := &c.shards[hash%copyShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ok = s.m[hash]
	return id, ok
}

func (c *copyStore) put(hash uint64, id bronzeflow.ServerID) {
	s := &c.shards[hash%copyShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m == nil {
		s.m = make(map[uint64]bronzeflow.ServerID)
	}
	s.m[hash] = id
}

func (c *copyStore) drop(hash uint64) {
	s := &c.shards[hash%copyShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.m, hash)
}

// prune drops the copies for which keep returns false.
func (c *copyStore) prune(keep func(hash uint64) bool) {
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		for hash := range s.m {
			if !keep(hash) {
				delete(s.m, hash)
			}
		}
		s.mu.Unlock()
	}
}

func (c *copyStore) len() int {
	n := 0
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		n += len(s.m)
		s.mu.Unlock()
	}
	return n
}

// pendingCopy is an exception that is to be copied.
type pendingCopy struct {
	key      bronzeflow.Key
	hash     uint64
	openedAt uint32 // the second at which the flow was opened
}

// unackedCopy is a copy that has not been acknowledged.
type unackedCopy struct {
	key     bronzeflow.Key
	peer    string
	sentAt  time.Time
	removal bool
	id      bronzeflow.ServerID
}

// copier paces the copies of this owner's exceptions to their successors:
// the oldest flows first, since those that lived long live longest.
type copier struct {
	mu       sync.Mutex
	rate     float64
	tokens   float64
	refill   time.Time
	queue    []pendingCopy
	unacked  map[uint64]unackedCopy
	removals []bronzelink.CopyItem
}

func (c *copier) setRate(bytesPerSecond int) {
	if bytesPerSecond == 0 {
		bytesPerSecond = DefaultCopyBytesPerSecond
	}
	c.rate = float64(bytesPerSecond)
}

// add queues an exception for its copy.
func (c *copier) add(key bronzeflow.Key, hash uint64, from uint32) {
	if c.rate < 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = append(c.queue, pendingCopy{key: key, hash: hash, openedAt: from})
}

// queueRemoval queues the end of a copied exception. It is acknowledged like a copy:
// a copy that outlived its flow would name the wrong server for the next flow
// under the same key, if that flow's owner died.
func (c *copier) queueRemoval(hash uint64, id bronzeflow.ServerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removals = append(c.removals, bronzelink.CopyItem{Hash: hash, Server: id, Gone: true})
}

// pending returns how many copies are queued or unacknowledged.
func (c *copier) pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) + len(c.unacked)
}

// takeDue returns what may be sent now: the exceptions that were open at the
// second before, and ends; successor names the node that each goes to. It
// returns nothing until a second's worth is saved up: when much is waiting,
// what goes to one node then travels together, which takes down to a quarter
// of the bytes; when little is, a second's worth is saved up soon again.
func (c *copier) takeDue(now time.Time, before uint32, successor func(hash uint64) string) (items []pendingCopy, gones []bronzelink.CopyItem) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refill.IsZero() {
		c.refill = now
	}
	most := max(c.rate, copyMessageBytes+copyItemBytes)
	c.tokens = min(c.tokens+now.Sub(c.refill).Seconds()*c.rate, most)
	c.refill = now
	if c.tokens < most {
		return nil, nil
	}
	batches := make(map[string]int)
	n := 0
	for n < len(c.removals) && c.reserve(batches, successor(c.removals[n].Hash)) {
		n++
	}
	gones = append(gones, c.removals[:n]...)
	c.removals = c.removals[n:]
	n = 0
	for n < len(c.queue) && c.queue[n].openedAt <= before && c.reserve(batches, successor(c.queue[n].hash)) {
		n++
	}
	items = append(items, c.queue[:n]...)
	c.queue = c.queue[n:]
	return items, gones
}

// reserve takes the bytes of one more item for peer, if they are saved up;
// batches counts the items that go to each node.
func (c *copier) reserve(batches map[string]int, peer string) bool {
	if peer == "" {
		return true // it is not sent
	}
	price := float64(copyItemBytes)
	if batches[peer]%maxCopyBatch == 0 {
		price += copyMessageBytes
	}
	if c.tokens < price {
		return false
	}
	batches[peer]++
	c.tokens -= price
	return true
}

// trackUnacked remembers a copy until it is acknowledged.
func (c *copier) trackUnacked(hash uint64, s unackedCopy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unacked == nil {
		c.unacked = make(map[uint64]unackedCopy)
	}
	c.unacked[hash] = s
}

// requeueOverdue queues copies without acknowledgement again.
func (c *copier) requeueOverdue(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for hash, s := range c.unacked {
		if now.Sub(s.sentAt) < copyResendInterval {
			continue
		}
		delete(c.unacked, hash)
		if s.removal {
			c.removals = append(c.removals, bronzelink.CopyItem{Hash: hash, Server: s.id, Gone: true})
			continue
		}
		c.queue = append(c.queue, pendingCopy{key: s.key, hash: hash})
	}
}

// acknowledge returns the keys of the flows whose copies have arrived.
func (c *copier) acknowledge(hashes []uint64) (keys []bronzeflow.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, hash := range hashes {
		s, ok := c.unacked[hash]
		if !ok {
			continue
		}
		delete(c.unacked, hash)
		if !s.removal {
			keys = append(keys, s.key)
		}
	}
	return keys
}

// successor returns the node that should hold the copy of a flow: the next
// owner if this node is the owner, otherwise the owner.
func (b *Balancer) successor(hash uint64) string {
	return successorIn(b.view.Load(), b.Name, hash)
}

func successorIn(v *bronzefleet.View, self string, hash uint64) string {
	if v == nil {
		return ""
	}
	names, n := v.Order(hash)
	for _, name := range names[:n] {
		if name != self {
			return name
		}
	}
	return ""
}

// sendCopies sends what the pace allows.
func (b *Balancer) sendCopies(now time.Time, out []Action) []Action {
	b.copier.requeueOverdue(now)
	age := toSeconds(b.Timing.MinCopyAge)
	if b.leaving.Load() {
		age = 0
	}
	items, gones := b.copier.takeDue(now, b.seconds(now)-min(age, b.seconds(now)), b.successor)
	batches := make(map[string][]bronzelink.CopyItem)
	for _, w := range items {
		if peer := b.successor(w.hash); peer != "" {
			if item, ok := b.copyOf(&w); ok {
				batches[peer] = append(batches[peer], item)
				b.copier.trackUnacked(w.hash, unackedCopy{key: w.key, peer: peer, sentAt: now})
			}
		}
	}
	for _, g := range gones {
		if peer := b.successor(g.Hash); peer != "" {
			batches[peer] = append(batches[peer], g)
			b.copier.trackUnacked(g.Hash, unackedCopy{peer: peer, sentAt: now, removal: true, id: g.Server})
		}
	}
	for peer, batch := range batches {
		for len(batch) > 0 {
			n := min(len(batch), maxCopyBatch)
			m := &bronzelink.FlowMessage{Copies: batch[:n]}
			out = append(out, Action{Kind: Send, Peer: peer, Message: m})
			batch = batch[n:]
		}
	}
	return out
}

// copyOf returns the copy of a flow that is still an established exception.
func (b *Balancer) copyOf(w *pendingCopy) (item bronzelink.CopyItem, ok bool) {
	const want = bronzeflow.Owned | bronzeflow.Exception
	e, ok := b.table.Get(&w.key, w.hash)
	if !ok || e.Flags&want != want || e.State != bronzeflow.Established {
		return item, false
	}
	return bronzelink.CopyItem{Hash: w.hash, Server: e.Server}, true
}

// handleCopies keeps the exceptions of another owner and acknowledges them.
func (b *Balancer) handleCopies(items []bronzelink.CopyItem, peer string, out []Action) []Action {
	acks := make([]uint64, 0, len(items))
	for _, i := range items {
		if i.Gone {
			b.copies.drop(i.Hash)
		} else {
			b.copies.put(i.Hash, i.Server)
		}
		acks = append(acks, i.Hash)
	}
	return append(out, Action{Kind: Send, Peer: peer, Message: &bronzelink.FlowMessage{CopyAcks: acks}})
}

func (b *Balancer) handleCopyAcks(hashes []uint64) {
	for _, key := range b.copier.acknowledge(hashes) {
		b.table.Update(&key, key.Hash(), func(e *bronzeflow.Entry) { e.Flags |= bronzeflow.Copied })
	}
}
