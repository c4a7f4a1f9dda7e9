package bronzecore

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// touch notes that a flow is in use, once a second at most. An entry that is
// not trusted is never touched, which would make it look trusted.
func (d *decision) touch(e bronzeflow.Entry) {
	if s := d.seconds(d.now); e.Used != s {
		d.table.Touch(&d.packet.Key, d.hash, s)
	}
}

// trusted reports whether an entry may be acted on without asking anyone.
func (b *Balancer) trusted(e bronzeflow.Entry, now time.Time) bool {
	s := b.seconds(now)
	if e.Flags&bronzeflow.Owned != 0 {
		// After a pause another node may have taken the flow over, ended it
		// and placed a new one under the same key. Entries from before the
		// pause are checked once; a caller sees one retransmission.
		return e.Used >= b.unfencedAt.Load() && (s-e.Used <= 1 || !b.fenced(b.view.Load()))
	}
	// The owner remembers a closed flow for longer than Learned, so a key
	// that is used again can't have moved while this entry was trusted.
	return s-e.Used <= toSeconds(b.Timing.LearnedIdleTimeout) && s-e.Opened <= toSeconds(b.Timing.LearnedMaxAge)
}

// ownedEntry returns a new entry of the flow for this node as its owner;
// derivable tells whether any node can compute that the flow is at server id.
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

// putLearned remembers a flow that another node owns.
func (d *decision) putLearned(e bronzeflow.Entry) {
	e.Used = d.seconds(d.now)
	e.Opened = e.Used
	e.State = bronzeflow.Established
	e.Flags &^= bronzeflow.Owned | bronzeflow.Copied | bronzeflow.Exception
	d.table.Put(&d.packet.Key, d.hash, e)
}

// dropLearned forgets an entry that another node told or showed.
func (d *decision) dropLearned(e bronzeflow.Entry) {
	if e.Flags&bronzeflow.Owned == 0 {
		d.table.Delete(&d.packet.Key, d.hash)
	}
}

// dropEntry drops the flow's entry with all it holds.
func (d *decision) dropEntry() {
	if e, ok := d.table.Delete(&d.packet.Key, d.hash); ok {
		d.release(&d.packet.Key, e)
	}
}

// markEnded records an end in the flow's entry. A flow whose both sides have
// closed is Closed, and gives its place at the server back.
func (d *decision) markEnded(side bronzeflow.Flags, whole bool) {
	const both = bronzeflow.CallerClosed | bronzeflow.ServerClosed
	var freed bronzeflow.Entry
	d.table.Update(&d.packet.Key, d.hash, func(e *bronzeflow.Entry) {
		e.Flags |= side
		if e.State == bronzeflow.Closed || (!whole && e.Flags&both != both) {
			return
		}
		freed = *e
		e.State = bronzeflow.Closed
	})
	if freed.State != 0 {
		d.release(&d.packet.Key, freed)
	}
}

// release gives back what a flow held at its server and in the limits.
func (b *Balancer) release(key *bronzeflow.Key, e bronzeflow.Entry) {
	if e.Flags&bronzeflow.Owned == 0 || e.State == bronzeflow.Closed {
		return
	}
	if e.Flags&bronzeflow.Copied != 0 {
		b.copier.queueRemoval(key.Hash(), e.Server)
	}
	b.uncount(key, e)
}

// uncount takes a flow out of the counts of its server and its service.
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

// onEvict is called by the table when it makes room.
func (b *Balancer) onEvict(key bronzeflow.Key, e bronzeflow.Entry) {
	b.release(&key, e)
}

func mapping(key bronzeflow.Key, e bronzeflow.Entry) bronzelink.Mapping {
	return bronzelink.Mapping{Key: key, Server: e.Server, State: e.State, Flags: e.Flags, Echo: e.Echo}
}
