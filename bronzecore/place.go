package bronzecore

import (
	"bronzeusher.example/bronzeusher/bronzeflow"
)

// place admits the flow of an attempt and sends its opening to a server:
// to prefer if that is not 0, otherwise to the pool's choice.
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

// try sends the opening to the next server. The flow is admitted. why is the
// reason for which the last server didn't take it.
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
		// A datagram is payload: it commits its flow at once.
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

// choose returns the next server for an attempt, and whether it is the one
// that any node computes.
func (d *decision) choose(a *attempt, prefer bronzeflow.ServerID) (id bronzeflow.ServerID, first, ok bool) {
	if prefer != 0 {
		return prefer, d.service.derivable(&a.key, a.hash, prefer), true
	}
	// A flow of datagrams can't be told from a new one where it isn't
	// known, so it goes where any node computes it to be.
	plain := d.partitioned() || a.held.Kind == bronzeflow.Datagram
	return d.service.pool.Choose(a.hash, a.tried, plain)
}

func reasonOr(a, b Reason) Reason {
	if a != None {
		return a
	}
	return b
}

// countEstablished counts a flow that a server has taken.
func (d *decision) countEstablished(a *attempt, e bronzeflow.Entry) {
	d.service.account.Established()
	if e.Flags&bronzeflow.Exception != 0 {
		d.copier.add(a.key, a.hash, e.Opened)
	}
}

// retry tries the next server after the current one refused or stayed
// silent, if the budget and the deadline allow. Until here no payload was
// forwarded, or the service's requests are idempotent.
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

// removePlacement takes the current server's entry of an attempt back.
func (d *decision) removePlacement(a *attempt) {
	if _, ok := d.table.Delete(&a.key, a.hash); ok {
		d.service.pool.Ended(a.server())
	}
}

// giveUp gives the caller its final answer at once. Its attempt holds no
// entry any more.
func (d *decision) giveUp(a *attempt, r Reason) {
	d.shard.remove(a)
	d.service.account.Ended(false)
	d.add(d.finalAction(a, r))
}

// finalAction is the answer to the caller of an attempt. If something of it may have
// run, no claim is made.
func (b *Balancer) finalAction(a *attempt, r Reason) Action {
	if a.committed || a.partitioned {
		return b.abortAction(&a.held, r)
	}
	return b.refuseAction(&a.held, r)
}
