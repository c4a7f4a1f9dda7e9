package bronzecore

// Tick does what is due: deadlines, retries, copies, expiry. The driver
// calls it every TickInterval.
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

// phaseTimedOut goes on with an attempt whose phase has lasted too long.
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

// openingTimedOut goes on with an attempt whose server doesn't answer. It is told that
// the attempt is given up, before the caller or another server hears of it.
func (d *decision) openingTimedOut(a *attempt) {
	if !d.inForce(a.server()) {
		d.withdraw(a)
		d.add(d.finalAction(a, ServerGone))
		return
	}
	d.match() // its server is in force, so the service is
	d.cancel(a, ServerSilent)
	d.service.pool.Refused(a.server(), true)
	d.retry(a, ServerSilent)
}
