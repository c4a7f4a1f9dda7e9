package bronzecore

import (
	"maps"
	"slices"

	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

const (
	// smallFleet is the largest fleet in which all members are queried about
	// an unknown flow. In a larger one only the flow's former and next owners
	// are queried.
	smallFleet = 16
	// formerQueries is the number of former owners that are queried first.
	formerQueries = 2
)

// recover starts to recover the server of an established flow that this node
// doesn't know, because the flow's former owner is gone or this node is new.
func (d *decision) recover() {
	if id, ok := d.copies.get(d.hash); ok && d.inForce(id) {
		d.adopt(bronzelink.Mapping{Server: id, State: bronzeflow.Established})
		return
	}
	a := d.newAttempt()
	if a == nil {
		d.drop(Recovering)
		return
	}
	d.query(a)
	if len(a.outstanding) == 0 {
		d.probe(a)
	}
}

// recheck queries the other nodes about a flow whose entry dates from before a
// pause of this process.
func (d *decision) recheck(e bronzeflow.Entry) {
	a := d.newAttempt()
	if a == nil {
		d.drop(Recovering)
		return
	}
	a.stale, a.widened = e, true
	d.query(a)
	if len(a.outstanding) == 0 {
		d.notFound(a)
	}
}

// query queries the nodes that may know the flow.
func (d *decision) query(a *attempt) {
	a.phase = querying
	a.phaseDeadline = d.now.Add(d.Timing.QueryTimeout)
	a.outstanding = make(map[string]struct{})
	v := d.view.Load()
	if v == nil {
		return
	}
	for _, name := range a.queryTargets(v) {
		if _, ok := a.outstanding[name]; ok || name == d.Name {
			continue
		}
		a.outstanding[name] = struct{}{}
		q := &bronzelink.Query{Key: a.key, Open: a.isOpen()}
		d.send(name, &bronzelink.FlowMessage{Query: q})
	}
}

// queryTargets returns the nodes that may know the flow of an attempt. Only a
// former owner can know a pending opening. After a planned change a former
// owner knows nearly every established flow too, so former owners are queried
// first. If they don't know the flow, the nodes that may have learned it are
// queried: all of them in a small fleet, the former owners and the next nodes
// in the flow's order in a large one.
func (a *attempt) queryTargets(v *bronzefleet.View) []string {
	former, n := v.Previous(a.hash)
	if a.isOpen() || !a.widened && n > 0 {
		return former[:min(n, formerQueries)]
	}
	if len(v.Members) <= smallFleet {
		return slices.Collect(maps.Keys(v.Members))
	}
	order, m := v.Order(a.hash)
	return append(former[:n:n], order[:m]...)
}

// transferredFlags are the flags of an entry that other nodes take over.
const transferredFlags = bronzeflow.Confirmed | bronzeflow.CallerClosed | bronzeflow.ServerClosed | bronzeflow.Committed

// adopt pins the flow to the server of a mapping that was recovered, and
// forwards the packet.
func (d *decision) adopt(m bronzelink.Mapping) {
	if !d.match() || !d.inForce(m.Server) {
		d.abort(ServerGone)
		return
	}
	derivable := d.service.derivable(&d.packet.Key, d.hash, m.Server)
	e := d.ownedEntry(m.Server, m.State, derivable)
	e.Echo = m.Echo
	e.Flags |= m.Flags & transferredFlags
	if d.owner(d.view.Load(), d.hash) != d.Name {
		// This node recovers the flow for a suspected owner. That owner may
		// be alive, and it counts the flow.
		d.putLearned(e)
		d.forwardPinned(e, "")
		return
	}
	d.dropEntry()
	if !d.table.Put(&d.packet.Key, d.hash, e) {
		d.drop(TableFull)
		return
	}
	d.countAdopted(e)
	d.forwardPinned(e, "")
}

// countAdopted counts a flow that another node placed and queues its copy if it
// is an exception. A closed flow is not counted.
func (d *decision) countAdopted(e bronzeflow.Entry) {
	if e.State == bronzeflow.Closed {
		return
	}
	d.service.countAdopted(e)
	if e.Flags&bronzeflow.Exception != 0 {
		d.copier.add(d.packet.Key, d.hash, e.Opened)
	}
}

// handleAnswer handles the answer of the node peer to a query.
func (d *decision) handleAnswer(m *bronzelink.Mapping, peer string) {
	d.lock()
	defer d.shard.mu.Unlock()
	a, ok := d.shard.attempts[m.Key]
	if !ok || a.phase == opening {
		return
	}
	delete(a.outstanding, peer)
	if m.Server != 0 && (a.phase == querying || m.State == bronzeflow.Established) {
		d.found(a, *m)
		return
	}
	if a.phase != querying || len(a.outstanding) > 0 {
		return
	}
	d.notFound(a)
}

// found continues an attempt whose flow a queried node knows.
func (d *decision) found(a *attempt, m bronzelink.Mapping) {
	d.resume(a)
	switch {
	case !d.match():
		d.discard(a, NoService)
	case m.State != bronzeflow.Pending:
		d.shard.remove(a)
		if a.held.Kind == bronzeflow.Open && m.State == bronzeflow.Closed {
			if r := d.refusal(); r != None {
				d.refuse(r)
				return
			}
			d.place(d.newAttempt(), d.service.ifAvailable(m.Server))
			return
		}
		d.adopt(m)
	case a.held.Kind == bronzeflow.Open:
		// A former owner has sent the opening to a server. This node continues
		// with the same server.
		d.place(a, d.service.ifAvailable(m.Server))
	default:
		// Data of a flow that was just pending. Its server can tell whether
		// the flow is established.
		d.probe(a)
	}
}

// notFound continues an attempt whose flow no queried node knows.
func (d *decision) notFound(a *attempt) {
	d.resume(a)
	switch {
	case !d.match():
		d.discard(a, NoService)
	case a.stale.Server != 0:
		d.shard.remove(a)
		d.adopt(mapping(a.key, a.stale))
	case a.isOpen():
		d.placeNew(a)
	case !a.widened:
		a.widened = true
		d.query(a)
		if len(a.outstanding) == 0 {
			d.probe(a)
		}
	default:
		d.probe(a)
	}
}
