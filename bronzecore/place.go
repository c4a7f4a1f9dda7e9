package bronzecore

import (
	"bronzeusher.example/bronzeusher/bronzeflow"
)

// place admits the flow of an attempt and sends its opening to a server: to
// prefer if it is not 0, otherwise to the server that the pool chooses.
func (d *decision) place(a *attempt, prefer bronzeflow.ServerID) {
	if r := d.service.admit(); r != None {
		d.shard.remove(a)
		d.add(d.refuseAction(&a.held, r))
		return
	}
	d.service.budget.CountOpen()
	a.partitioned = a.partitioned || d.partitioned()
	a.deadline = a.started.Add(d.service.openDeadline())
	d.try(a, prefer, None)
}

// try sends the opening of an admitted flow to the next server. why is the
// reason why the previous server didn't take the flow, or None.
func (d *decision) try(a *attempt, prefer bronzeflow.ServerID, why Reason) {
	id, first, ok := d.choose(a, prefer)
	if !ok {
		d.giveUp(a, reasonOr(why, NoServer))
		return
	}
	a.tried = append(a.tried, id)
	a.phase = opening
	a.phaseDeadline = d.now.Add(d.Timing.AttemptTimeout)
	a.committed = a.held.Payload > 0
	e := d.ownedEntry(id, bronzeflow.Pending, first)
	datagram := a.held.Kind == bronzeflow.Datagram
	if datagram {
		// A datagram is payload, so it commits its flow immediately.
		e.State = bronzeflow.Established
		e.Flags |= bronzeflow.Committed
	}
	if !d.table.Put(&a.key, a.hash, e) {
		d.giveUp(a, TableFull)
		return
	}
	d.service.pool.Opened(id)
	d.add(Action{Kind: Forward, Server: id, Packet: a.held, Reason: why})
	if datagram {
		d.countEstablished(a, e)
		d.shard.remove(a)
	}
}

// choose returns the next server for an attempt. first reports whether any node
// can compute that the flow is there.
func (d *decision) choose(a *attempt, prefer bronzeflow.ServerID) (id bronzeflow.ServerID, first, ok bool) {
	if prefer != 0 {
		return prefer, d.service.derivable(&a.key, a.hash, prefer), true
	}
	// A node that doesn't know a flow of datagrams can't distinguish it from a
	// new one, so the flow goes to the server that any node computes for it.
	plain := d.partitioned() || a.held.Kind == bronzeflow.Datagram
	return d.service.pool.Choose(a.hash, a.tried, plain)
}

func reasonOr(a, b Reason) Reason {
	if a != None {
		return a
	}
	return b
}

// countEstablished counts a flow as established and queues its copy if it is an
// exception.
func (d *decision) countEstablished(a *attempt, e bronzeflow.Entry) {
	d.service.account.Established()
	if e.Flags&bronzeflow.Exception != 0 {
		d.copier.add(a.key, a.hash, e.Opened)
	}
}

// retry tries the next server after the current one refused or did not answer,
// if the deadline, the number of attempts and the retry budget allow it and
// either no payload was forwarded or the service's requests are idempotent.
func (d *decision) retry(a *attempt, why Reason) {
	d.removePlacement(a)
	rule := &d.service.conf.Retry
	switch {
	case a.committed && !rule.Idempotent:
		d.giveUp(a, why)
	case !d.now.Before(a.deadline):
		d.giveUp(a, OpenDeadline)
	case len(a.tried) >= rule.Attempts:
		d.giveUp(a, why)
	case !d.service.budget.TryRetry():
		d.giveUp(a, RetryBudget)
	default:
		d.try(a, 0, why)
	}
}

// removePlacement removes the entry of an attempt and the flow's count at the
// current server.
func (d *decision) removePlacement(a *attempt) {
	if _, ok := d.table.Delete(&a.key, a.hash); ok {
		d.service.pool.Ended(a.server())
	}
}

// giveUp ends an attempt with a final answer to the caller. The attempt must
// not have an entry any more.
func (d *decision) giveUp(a *attempt, r Reason) {
	d.shard.remove(a)
	d.service.account.Ended(false)
	d.add(d.finalAction(a, r))
}

// finalAction returns the final answer to the caller of an attempt: an Abort if
// something of the flow may have been run, otherwise a refusal.
func (b *Balancer) finalAction(a *attempt, r Reason) Action {
	if a.committed || a.partitioned {
		return b.abortAction(&a.held, r)
	}
	return b.refuseAction(&a.held, r)
}
