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
	// copyBatch is the most items in one message: it fits a datagram.
	copyBatch = 48
	// copyResend is after how long an item without acknowledgement goes
	// again.
	copyResend = time.Second
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

// waiting is an exception that is to be copied.
type waiting struct {
	key  bronzeflow.Key
	hash uint64
	from uint32 // the second at which the flow was opened
}

// sent is a copy that has not been acknowledged.
type sent struct {
	key  bronzeflow.Key
	peer string
	at   time.Time
	gone bool
	id   bronzeflow.ServerID
}

// copier paces the copies of this owner's exceptions to their successors:
// the oldest flows first, since those that lived long live longest.
type copier struct {
	mu      sync.Mutex
	rate    float64
	tokens  float64
	refill  time.Time
	queue   []waiting
	unacked map[uint64]sent
	gones   []bronzelink.CopyItem
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
	c.queue = append(c.queue, waiting{key: key, hash: hash, from: from})
}

// gone queues the end of a copied exception. It is acknowledged like a copy:
// a copy that outlived its flow would name the wrong server for the next flow
// under the same key, if that flow's owner died.
func (c *copier) gone(hash uint64, id bronzeflow.ServerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gones = append(c.gones, bronzelink.CopyItem{Hash: hash, Server: id, Gone: true})
}

// pending returns how many copies are queued or unacknowledged.
func (c *copier) pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) + len(c.unacked)
}

// take returns what may be sent now: the exceptions that were open at the
// second before, and ends; successor names the node that each goes to. It
// returns nothing until a second's worth is saved up: when much is waiting,
// what goes to one node then travels together, which takes down to a quarter
// of the bytes; when little is, a second's worth is saved up soon again.
func (c *copier) take(now time.Time, before uint32, successor func(hash uint64) string) (items []waiting, gones []bronzelink.CopyItem) {
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
	for n < len(c.gones) && c.pay(batches, successor(c.gones[n].Hash)) {
		n++
	}
	gones = append(gones, c.gones[:n]...)
	c.gones = c.gones[n:]
	n = 0
	for n < len(c.queue) && c.queue[n].from <= before && c.pay(batches, successor(c.queue[n].hash)) {
		n++
	}
	items = append(items, c.queue[:n]...)
	c.queue = c.queue[n:]
	return items, gones
}

// pay takes the bytes of one more item for peer, if they are saved up;
// batches counts the items that go to each node.
func (c *copier) pay(batches map[string]int, peer string) bool {
	if peer == "" {
		return true // it is not sent
	}
	price := float64(copyItemBytes)
	if batches[peer]%copyBatch == 0 {
		price += copyMessageBytes
	}
	if c.tokens < price {
		return false
	}
	batches[peer]++
	c.tokens -= price
	return true
}

// noteSent remembers a copy until it is acknowledged.
func (c *copier) noteSent(hash uint64, s sent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unacked == nil {
		c.unacked = make(map[uint64]sent)
	}
	c.unacked[hash] = s
}

// overdue queues copies without acknowledgement again.
func (c *copier) overdue(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for hash, s := range c.unacked {
		if now.Sub(s.at) < copyResend {
			continue
		}
		delete(c.unacked, hash)
		if s.gone {
			c.gones = append(c.gones, bronzelink.CopyItem{Hash: hash, Server: s.id, Gone: true})
			continue
		}
		c.queue = append(c.queue, waiting{key: s.key, hash: hash})
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
		if !s.gone {
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
	b.copier.overdue(now)
	age := toSeconds(b.Timing.MinCopyAge)
	if b.leaving.Load() {
		age = 0
	}
	items, gones := b.copier.take(now, b.seconds(now)-min(age, b.seconds(now)), b.successor)
	batches := make(map[string][]bronzelink.CopyItem)
	for _, w := range items {
		if peer := b.successor(w.hash); peer != "" {
			if item, ok := b.copyOf(&w); ok {
				batches[peer] = append(batches[peer], item)
				b.copier.noteSent(w.hash, sent{key: w.key, peer: peer, at: now})
			}
		}
	}
	for _, g := range gones {
		if peer := b.successor(g.Hash); peer != "" {
			batches[peer] = append(batches[peer], g)
			b.copier.noteSent(g.Hash, sent{peer: peer, at: now, gone: true, id: g.Server})
		}
	}
	for peer, batch := range batches {
		for len(batch) > 0 {
			n := min(len(batch), copyBatch)
			m := &bronzelink.FlowMessage{Copies: batch[:n]}
			out = append(out, Action{Kind: Send, Peer: peer, Message: m})
			batch = batch[n:]
		}
	}
	return out
}

// copyOf returns the copy of a flow that is still an established exception.
func (b *Balancer) copyOf(w *waiting) (item bronzelink.CopyItem, ok bool) {
	const want = bronzeflow.Owned | bronzeflow.Exception
	e, ok := b.table.Get(&w.key, w.hash)
	if !ok || e.Flags&want != want || e.State != bronzeflow.Established {
		return item, false
	}
	return bronzelink.CopyItem{Hash: w.hash, Server: e.Server}, true
}

// copied keeps the exceptions of another owner and acknowledges them.
func (b *Balancer) copied(items []bronzelink.CopyItem, peer string, out []Action) []Action {
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

func (b *Balancer) acknowledged(hashes []uint64) {
	for _, key := range b.copier.acknowledge(hashes) {
		b.table.Update(&key, key.Hash(), func(e *bronzeflow.Entry) { e.Flags |= bronzeflow.Copied })
	}
}
