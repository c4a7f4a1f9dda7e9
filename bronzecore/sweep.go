package bronzecore

import (
	"sync"
	"time"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzeflow"
)

// The pace of the sweep through the table, in shards a tick: a slow round for
// expiry, a fast one after a change of the configuration or of the fleet.
const (
	slowSweepTicks  = 4 // a shard every so many ticks
	fastSweepShards = 3
)

// sweeper walks through the flow table, a few shards a tick.
type sweeper struct {
	mu    sync.Mutex
	next  int
	ticks int
	// fastShardsLeft is how many shards the fast round still has to see.
	fastShardsLeft int
	// roundView is the one under which the last fast round was completed; during
	// the round it is still the old one.
	roundView *bronzefleet.View
}

// startFastRound starts a fast round.
func (w *sweeper) startFastRound() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fastShardsLeft = bronzeflow.Shards
}

// sweepDueShards sweeps the shards that are due.
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

// flagChange is a change of an entry's flags that a sweep found due.
type flagChange struct {
	key        bronzeflow.Key
	entry      bronzeflow.Entry
	set, clear bronzeflow.Flags
}

// sweepShard expires entries and, in a fast round, finds the exceptions that
// a change of the pool or of the fleet has made.
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

// expired reports whether an entry has outlived its use.
func (b *Balancer) expired(k *bronzeflow.Key, e bronzeflow.Entry, now time.Time) bool {
	idle := b.seconds(now) - e.Used
	switch {
	case e.State == bronzeflow.Closed:
		return idle > toSeconds(b.Timing.ClosedRetention)
	case e.Flags&bronzeflow.Owned == 0:
		return !b.trusted(e, now)
	case e.State == bronzeflow.Pending:
		return false // its attempt ends it
	}
	svc := b.services.Load().snapshot.Match(k)
	if svc == nil {
		return idle > toSeconds(b.Timing.ClosedRetention)
	}
	// Packets that go straight through other nodes are seen here once in
	// Timing.Refresh.
	return idle > toSeconds(idleTimeout(svc.IdleTimeout)+b.Timing.LearnedMaxAge)
}

func idleTimeout(d time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return bronzeconf.DefaultIdleTimeout
}

// dueFlagChange tells how the flags of an owned flow have to change.
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

// successorChanged reports whether the copy of a flow is held by a node that
// is no longer its successor. The sweep's lock is held.
func (b *Balancer) successorChanged(hash uint64) bool {
	v := b.view.Load()
	if v == nil || v == b.sweep.roundView {
		return false
	}
	return successorIn(v, b.Name, hash) != successorIn(b.sweep.roundView, b.Name, hash)
}

func (b *Balancer) applyFlagChange(c *flagChange) {
	hash := c.key.Hash()
	if c.clear&bronzeflow.Exception != 0 && c.entry.Flags&bronzeflow.Copied != 0 {
		b.copier.queueRemoval(hash, c.entry.Server)
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

// pruneCopies drops the copies of flows that this node is no longer in line
// for: their owner has copied them elsewhere.
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
