package bronzecore

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// touch updates the time of last use of the flow's entry, at most once a
// second. It must not be called for an entry that is not trusted, since that
// would make it look trusted.
func (d *decision) touch(e bronzeflow.Entry) {
	if s := d.seconds(d.now); e.Used != s {
		d.table.Touch(&d.packet.Key, d.hash, s)
	}
}

// trusted reports whether an entry may be acted on without asking other nodes.
func (b *Balancer) trusted(e bronzeflow.Entry, now time.Time) bool {
	s := b.seconds(now)
	if e.Flags&bronzeflow.Owned != 0 {
		// During a pause another node may have taken over the flow, ended it
		// and placed a new one under the same key. Entries from before the
		// pause are rechecked once, which costs the caller a retransmission.
		return e.Used >= b.unfencedAt.Load() && (s-e.Used <= 1 || !b.fenced(b.view.Load()))
	}
	// The owner keeps the entry of a closed flow for longer than
	// LearnedIdleTimeout, so a reused key can't have moved to another server
	// while this entry was trusted.
	return s-e.Used <= toSeconds(b.Timing.LearnedIdleTimeout) && s-e.Opened <= toSeconds(b.Timing.LearnedMaxAge)
}

// ownedEntry returns a new entry for a flow that this node owns; derivable
// tells whether any node can compute that the flow is at server id.
func (d *decision) ownedEntry(id bronzeflow.ServerID, state bronzeflow.State, derivable bool) bronzeflow.Entry {
	e := bronzeflow.Entry{
		Server: id,
		Used:   d.seconds(d.now),
		Opened: d.seconds(d.now),
		State:  state,
		Flags:  bronzeflow.Owned,
	}
	if !derivable {
		e.Flags |= bronzeflow.Exception
	}
	return e
}

// putLearned stores an entry for a flow that another node owns.
func (d *decision) putLearned(e bronzeflow.Entry) {
	e.Used = d.seconds(d.now)
	e.Opened = e.Used
	e.State = bronzeflow.Established
	e.Flags &^= bronzeflow.Owned | bronzeflow.Copied | bronzeflow.Exception
	d.table.Put(&d.packet.Key, d.hash, e)
}

// dropLearned deletes an entry unless this node owns its flow.
func (d *decision) dropLearned(e bronzeflow.Entry) {
	if e.Flags&bronzeflow.Owned == 0 {
		d.table.Delete(&d.packet.Key, d.hash)
	}
}

// dropEntry deletes the flow's entry and releases what it holds.
func (d *decision) dropEntry() {
	if e, ok := d.table.Delete(&d.packet.Key, d.hash); ok {
		d.release(&d.packet.Key, e)
	}
}

// markEnded records in the flow's entry that a side has ended the flow. Once
// both sides have, or if one aborted it, the flow becomes Closed and is no
// longer counted at its server.
func (d *decision) markEnded(side bronzeflow.Flags, aborted bool) {
	const both = bronzeflow.CallerClosed | bronzeflow.ServerClosed
	var freed bronzeflow.Entry
	d.table.Update(&d.packet.Key, d.hash, func(e *bronzeflow.Entry) {
		e.Flags |= side
		if e.State == bronzeflow.Closed || (!aborted && e.Flags&both != both) {
			return
		}
		freed = *e
		e.State = bronzeflow.Closed
	})
	if freed.State != 0 {
		d.release(&d.packet.Key, freed)
	}
}

// release removes an owned flow from the counts of its server and service, and
// queues the removal of its successor's copy.
func (b *Balancer) release(key *bronzeflow.Key, e bronzeflow.Entry) {
	if e.Flags&bronzeflow.Owned == 0 || e.State == bronzeflow.Closed {
		return
	}
	if e.Flags&(bronzeflow.Exception|bronzeflow.Copied) != 0 {
		b.copier.queueRemoval(key.Hash(), e.Server, e.Flags&bronzeflow.Copied != 0)
	}
	b.uncount(key, e)
}

// uncount removes a flow from the counts of its server and its service.
func (b *Balancer) uncount(key *bronzeflow.Key, e bronzeflow.Entry) {
	set := b.services.Load()
	svc, _, ok := set.snapshot.Server(e.Server)
	if !ok {
		svc = set.snapshot.Match(key)
	}
	if st := set.stateOf(svc); st != nil {
		st.countEnded(e)
	}
}

// onEvict releases an entry that the table evicts to make room.
func (b *Balancer) onEvict(key bronzeflow.Key, e bronzeflow.Entry) {
	b.release(&key, e)
}

func mapping(key bronzeflow.Key, e bronzeflow.Entry) bronzelink.Mapping {
	return bronzelink.Mapping{Key: key, Server: e.Server, State: e.State, Flags: e.Flags, Echo: e.Echo}
}
