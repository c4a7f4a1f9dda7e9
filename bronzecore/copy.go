package bronzecore

import (
	"slices"
	"sync"
	"time"

	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// DefaultCopyBytesPerSecond is the default rate limit of copies: a third of a
// node's budget for control traffic.
const DefaultCopyBytesPerSecond = 2048

const (
	// A message of copies takes copyMessageBytes on the network, including
	// its headers, plus copyItemBytes for each item. Counting items alone
	// would account for only a quarter of a message with a single copy, and
	// in a large fleet nearly all messages carry a single copy.
	copyMessageBytes = 60
	copyItemBytes    = 20
	// maxCopyBatch is the maximum number of items in a message, so that it
	// fits a datagram.
	maxCopyBatch = 48
	// copyResendInterval is how long an item may stay unacknowledged before it
	// is sent again.
	copyResendInterval = time.Second
	// copyShards is the number of shards of a copyStore.
	copyShards = 64
)

// copyStore holds the copies of other owners' exceptions: the server of each
// flow by the flow's hash.
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

// unackedCopy is a copy, or the removal of one, that has not been acknowledged.
type unackedCopy struct {
	key     bronzeflow.Key
	peer    string
	sentAt  time.Time
	removal bool
	// ended is set if the flow has ended since the copy was sent. The removal follows once the
	// copy is acknowledged or overdue: sent at once, it might arrive first, or the
	// acknowledgement of the copy pass for its own.
	ended bool
	id    bronzeflow.ServerID
}

// maxWaitingCopies is the number of exceptions that wait for another node to copy
// them to.
const maxWaitingCopies = 4096

// copier sends copies of this owner's exceptions to their successors at a
// limited rate. The oldest flows are copied first, since a flow that has lived
// long is likely to live longest.
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

// add queues an exception to be copied.
func (c *copier) add(key bronzeflow.Key, hash uint64, openedAt uint32) {
	if c.rate < 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = append(c.queue, pendingCopy{key: key, hash: hash, openedAt: openedAt})
}

// queueRemoval queues the removal of an exception's copy, if the exception was copied or a
// copy is on its way. It is acknowledged like a copy: a copy that outlived its flow would name
// the wrong server for the next flow under the same key, if that flow's owner died.
func (c *copier) queueRemoval(hash uint64, id bronzeflow.ServerID, copied bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.unacked[hash]; ok && !s.removal {
		s.ended, s.id = true, id
		c.unacked[hash] = s
		return
	}
	if copied {
		c.addRemoval(hash, id)
	}
}

// addRemoval queues a removal. The caller holds the lock.
func (c *copier) addRemoval(hash uint64, id bronzeflow.ServerID) {
	c.removals = append(c.removals, bronzelink.CopyItem{Hash: hash, Server: id, Gone: true})
}

// pending returns how many copies are queued or unacknowledged.
func (c *copier) pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) + len(c.unacked)
}

// takeDue returns what may be sent now: exceptions that were opened no later
// than the second openedBy, and removals. successor returns the node that each
// goes to. While there is no other node it returns "", and the latest
// exceptions wait for one. Nothing is returned until a second's worth of tokens
// has accumulated, so that under load items for the same node share a message,
// which takes as little as a quarter of the bytes. Under light load a second's
// worth accumulates again soon.
func (c *copier) takeDue(now time.Time, openedBy uint32, successor func(hash uint64) string) (items []pendingCopy, removals []bronzelink.CopyItem) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refill.IsZero() {
		c.refill = now
	}
	maxTokens := max(c.rate, copyMessageBytes+copyItemBytes)
	c.tokens = min(c.tokens+now.Sub(c.refill).Seconds()*c.rate, maxTokens)
	c.refill = now
	if c.tokens < maxTokens {
		return nil, nil
	}
	if len(c.queue) > 0 && successor(c.queue[0].hash) == "" {
		c.queue = slices.Delete(c.queue, 0, max(0, len(c.queue)-maxWaitingCopies))
		return nil, nil
	}
	batches := make(map[string]int)
	n := 0
	for n < len(c.removals) && c.reserve(batches, successor(c.removals[n].Hash)) {
		n++
	}
	removals = append(removals, c.removals[:n]...)
	c.removals = c.removals[n:]
	n = 0
	for n < len(c.queue) && c.queue[n].openedAt <= openedBy && c.reserve(batches, successor(c.queue[n].hash)) {
		n++
	}
	items = append(items, c.queue[:n]...)
	c.queue = c.queue[n:]
	return items, removals
}

// reserve takes the tokens for one more item for peer and reports whether there
// were enough; batches counts the items for each node.
func (c *copier) reserve(batches map[string]int, peer string) bool {
	if peer == "" {
		return true // nothing is sent
	}
	cost := float64(copyItemBytes)
	if batches[peer]%maxCopyBatch == 0 {
		cost += copyMessageBytes
	}
	if c.tokens < cost {
		return false
	}
	batches[peer]++
	c.tokens -= cost
	return true
}

// trackUnacked records a copy or removal until it is acknowledged.
func (c *copier) trackUnacked(hash uint64, s unackedCopy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unacked == nil {
		c.unacked = make(map[uint64]unackedCopy)
	}
	c.unacked[hash] = s
}

// requeueOverdue queues copies and removals again that were not acknowledged in
// time.
func (c *copier) requeueOverdue(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for hash, s := range c.unacked {
		if now.Sub(s.sentAt) < copyResendInterval {
			continue
		}
		delete(c.unacked, hash)
		if s.removal || s.ended {
			c.addRemoval(hash, s.id)
			continue
		}
		c.queue = append(c.queue, pendingCopy{key: s.key, hash: hash})
	}
}

// acknowledge stops tracking the given hashes, as far as the copies were sent to
// peer, and returns the keys of those flows that peer has a copy of.
func (c *copier) acknowledge(hashes []uint64, peer string) (keys []bronzeflow.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, hash := range hashes {
		s, ok := c.unacked[hash]
		if !ok || s.peer != peer {
			continue
		}
		delete(c.unacked, hash)
		switch {
		case s.ended:
			c.addRemoval(hash, s.id)
		case !s.removal:
			keys = append(keys, s.key)
		}
	}
	return keys
}

// successor returns the node that should hold the copy of a flow: the next
// owner if this node is the owner, otherwise the owner. It returns "" if there
// is no other node.
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

// sendCopies sends the copies and removals that the rate limit allows.
func (b *Balancer) sendCopies(now time.Time, out []Action) []Action {
	b.copier.requeueOverdue(now)
	age := toSeconds(b.Timing.MinCopyAge)
	if b.leaving.Load() {
		age = 0
	}
	items, removals := b.copier.takeDue(now, b.seconds(now)-min(age, b.seconds(now)), b.successor)
	batches := make(map[string][]bronzelink.CopyItem)
	for _, w := range items {
		if peer := b.successor(w.hash); peer != "" {
			if item, ok := b.copyOf(&w); ok {
				batches[peer] = append(batches[peer], item)
				b.copier.trackUnacked(w.hash, unackedCopy{key: w.key, peer: peer, sentAt: now})
			}
		}
	}
	for _, g := range removals {
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

// copyOf returns the item that copies a flow. ok is false if the flow is no
// longer an established exception that this node owns.
func (b *Balancer) copyOf(w *pendingCopy) (item bronzelink.CopyItem, ok bool) {
	const want = bronzeflow.Owned | bronzeflow.Exception
	e, ok := b.table.Get(&w.key, w.hash)
	if !ok || e.Flags&want != want || e.State != bronzeflow.Established {
		return item, false
	}
	return bronzelink.CopyItem{Hash: w.hash, Server: e.Server}, true
}

// handleCopies stores copies of another owner's exceptions, or removes them, and
// acknowledges them.
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

// handleCopyAcks marks the flows as copied that peer acknowledges.
func (b *Balancer) handleCopyAcks(hashes []uint64, peer string) {
	for _, key := range b.copier.acknowledge(hashes, peer) {
		b.table.Update(&key, key.Hash(), func(e *bronzeflow.Entry) { e.Flags |= bronzeflow.Copied })
	}
}
