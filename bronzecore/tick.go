package bronzecore

// Tick handles what is due: timeouts, retries, copies and the expiry of entries.
// The driver calls it every TickInterval.
func (b *Balancer) Tick(out []Action) []Action {
	b.init()
	d := decision{Balancer: b, now: b.clock(), out: out, set: b.services.Load()}
	if d.fenced(d.view.Load()) {
		return out
	}
	for i := range d.shards {
		d.tickShard(&d.shards[i])
	}
	d.sweepDueShards(d.now)
	return d.sendCopies(d.now, d.out)
}

func (d *decision) tickShard(s *attemptShard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.shard = s
	for _, a := range s.attempts {
		if d.now.Before(a.phaseDeadline) && d.now.Before(a.deadline) {
			continue
		}
		d.resume(a)
		d.phaseTimedOut(a)
	}
}

// phaseTimedOut continues an attempt whose phase has timed out.
func (d *decision) phaseTimedOut(a *attempt) {
	switch {
	case a.phase == querying:
		d.notFound(a)
	case a.phase == opening:
		d.openingTimedOut(a)
	case !d.now.Before(a.deadline):
		d.endUnknown(a)
	default:
		d.probe(a)
	}
}

// openingTimedOut continues an attempt whose server did not answer the opening.
// The opening is cancelled at that server before the caller is answered or
// another server is tried.
func (d *decision) openingTimedOut(a *attempt) {
	if !d.inForce(a.server()) {
		d.withdraw(a)
		d.add(d.finalAction(a, ServerGone))
		return
	}
	d.match() // can't fail: the server is in force, so its service is too
	d.cancel(a, ServerSilent)
	d.service.pool.Refused(a.server(), true)
	d.retry(a, ServerSilent)
}
