package bronzecore

import (
	"sync"
	"time"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzeflow"
)

// The speed of the sweep through the flow table: slow rounds for expiry, and a
// fast round after a change of the configuration or the fleet.
const (
	slowSweepTicks  = 4 // ticks per shard
	fastSweepShards = 3 // shards per tick
)

// sweeper is the progress of the sweep through the flow table.
type sweeper struct {
	mu    sync.Mutex
	next  int
	ticks int
	// fastShardsLeft is the number of shards left in the fast round.
	fastShardsLeft int
	// roundView is the view in force when the last fast round was completed.
	// It is not changed during a round.
	roundView *bronzefleet.View
}

// startFastRound starts a fast round.
func (w *sweeper) startFastRound() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fastShardsLeft = bronzeflow.Shards
}

// sweepDueShards sweeps the shards that are due at this tick.
func (b *Balancer) sweepDueShards(now time.Time) {
	w := &b.sweep
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ticks++
	n := 0
	if w.ticks%slowSweepTicks == 0 {
		n = 1
	}
	fast := w.fastShardsLeft > 0
	if fast {
		n = min(fastSweepShards, w.fastShardsLeft)
		w.fastShardsLeft -= n
	}
	for range n {
		b.sweepShard(w.next, fast, now)
		w.next = (w.next + 1) % bronzeflow.Shards
	}
	if fast && w.fastShardsLeft == 0 {
		w.roundView = b.view.Load()
		b.pruneCopies()
	}
}

// flagChange is a change to the flags of an entry that a sweep found necessary.
type flagChange struct {
	key        bronzeflow.Key
	entry      bronzeflow.Entry
	set, clear bronzeflow.Flags
}

// sweepShard expires entries and, in a fast round, updates the exceptions after
// a change of the pool or the fleet.
func (b *Balancer) sweepShard(i int, fast bool, now time.Time) {
	var expired []flagChange
	var changes []flagChange
	b.table.RangeShard(i, func(k *bronzeflow.Key, e bronzeflow.Entry) (keep bool) {
		if b.expired(k, e, now) {
			expired = append(expired, flagChange{key: *k, entry: e})
			return false
		}
		if fast && e.Flags&bronzeflow.Owned != 0 && e.State == bronzeflow.Established {
			if c, ok := b.dueFlagChange(k, e); ok {
				changes = append(changes, c)
			}
		}
		return true
	})
	for i := range expired {
		b.release(&expired[i].key, expired[i].entry)
	}
	for i := range changes {
		b.applyFlagChange(&changes[i])
	}
}

// expired reports whether an entry may be deleted.
func (b *Balancer) expired(k *bronzeflow.Key, e bronzeflow.Entry, now time.Time) bool {
	idle := b.seconds(now) - e.Used
	switch {
	case e.State == bronzeflow.Closed:
		return idle > toSeconds(b.Timing.ClosedRetention)
	case e.Flags&bronzeflow.Owned == 0:
		return !b.trusted(e, now)
	case e.State == bronzeflow.Pending:
		return false // its attempt removes it
	}
	svc := b.services.Load().snapshot.Match(k)
	if svc == nil {
		return idle > toSeconds(b.Timing.ClosedRetention)
	}
	// Packets that other nodes forward without the owner are seen here only
	// once in Timing.LearnedMaxAge.
	return idle > toSeconds(idleTimeout(svc.IdleTimeout)+b.Timing.LearnedMaxAge)
}

func idleTimeout(d time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return bronzeconf.DefaultIdleTimeout
}

// dueFlagChange returns the change to the flags of an owned flow, if one is
// necessary.
func (b *Balancer) dueFlagChange(k *bronzeflow.Key, e bronzeflow.Entry) (c flagChange, ok bool) {
	st := b.services.Load().match(k)
	if st == nil {
		return c, false
	}
	hash := k.Hash()
	c = flagChange{key: *k, entry: e}
	first := st.derivable(k, hash, e.Server)
	switch exception := e.Flags&bronzeflow.Exception != 0; {
	case first && exception:
		c.clear = bronzeflow.Exception | bronzeflow.Copied
	case !first && !exception:
		c.set = bronzeflow.Exception
	case !first && e.Flags&bronzeflow.Copied != 0 && b.successorChanged(hash):
		c.clear = bronzeflow.Copied
	default:
		return c, false
	}
	return c, true
}

// successorChanged reports whether the copy of a flow is held by a node that is
// no longer its successor. The sweeper's lock must be held.
func (b *Balancer) successorChanged(hash uint64) bool {
	v := b.view.Load()
	if v == nil || v == b.sweep.roundView {
		return false
	}
	return successorIn(v, b.Name, hash) != successorIn(b.sweep.roundView, b.Name, hash)
}

func (b *Balancer) applyFlagChange(c *flagChange) {
	hash := c.key.Hash()
	if c.clear&bronzeflow.Exception != 0 {
		b.copier.queueRemoval(hash, c.entry.Server, c.entry.Flags&bronzeflow.Copied != 0)
	}
	var after bronzeflow.Entry
	b.table.Update(&c.key, hash, func(e *bronzeflow.Entry) {
		if e.Server != c.entry.Server {
			return
		}
		e.Flags |= c.set
		e.Flags &^= c.clear
		after = *e
	})
	if after.Flags&bronzeflow.Exception != 0 {
		b.copier.add(c.key, hash, after.Opened)
	}
}

// pruneCopies drops the copies of flows whose order no longer includes this
// node; their owner copies them to another node.
func (b *Balancer) pruneCopies() {
	v := b.view.Load()
	if v == nil {
		return
	}
	b.copies.prune(func(hash uint64) bool {
		names, n := v.Order(hash)
		for _, name := range names[:n] {
			if name == b.Name {
				return true
			}
		}
		return false
	})
}
