package bronzeedge

import (
	"sync"
	"time"

	"bronzeusher.example/bronzeusher/bronzerecord"
	"bronzeusher.example/bronzeusher/bronzeroute"
	"bronzeusher.example/bronzeusher/bronzesteer"
)

// routingState is the directory with its mutex.
type routingState struct {
	mu        sync.Mutex
	directory bronzeroute.Directory
}

// onRecords applies a change of the records to the directory.
func (e *Edge) onRecords(c bronzerecord.Change) {
	now := time.Now()
	e.routing.mu.Lock()
	defer e.routing.mu.Unlock()
	first, changed := !e.hasView(), false
	for _, r := range c.Changed {
		changed = e.applyRecord(r, c.Position.Epoch, first, now) || changed
	}
	if first {
		e.log.Line("RegisteredAll", Fields{"Records": len(c.Changed), "Epoch": c.Position.Epoch, "Revision": c.Position.Revision})
	}
	lost := lostNames(c.Lost)
	for _, name := range c.Removed {
		if !lost[name] {
			changed = e.removeRecord(name, c.Position, now) || changed
		}
	}
	for i := range c.Lost {
		changed = e.applyLost(&c.Lost[i], now) || changed
	}
	if changed {
		e.publishView()
	}
}

// removeRecord applies the removal of a record.
func (e *Edge) removeRecord(name string, at bronzerecord.Position, now time.Time) (changed bool) {
	if zone, ok := e.adapter.Decoder.DrainedZone(name); ok {
		return e.undrainZone(zone, at, now)
	}
	instance, ok := e.adapter.Decoder.ServerName(name)
	if !ok {
		return false
	}
	e.routing.directory.Unregister(instance, now)
	e.log.Line("Unregistered", Fields{"Instance": instance, "Epoch": at.Epoch, "Revision": at.Revision})
	return true
}

// hasView reports whether the first view has been published.
func (e *Edge) hasView() bool {
	select {
	case <-e.firstView:
		return true
	default:
		return false
	}
}

// applyRecord applies one record. After an invalid table the previous one stays in force.
// After an invalid registration the server is missing: if the previous one stayed in force,
// a registration that another writer has overwritten would be trusted for as long as the
// invalid record exists.
//
// Registrations before the first view are not logged one by one. Callers wait for that view
// after a power cut, and the lines would take more than half of the processor time and
// leave no room in the log for others.
func (e *Edge) applyRecord(r bronzerecord.Record, epoch uint64, first bool, now time.Time) (changed bool) {
	if e.adapter.Decoder.IsTable(r.Name) {
		return e.applyTable(r, epoch, now)
	}
	if zone, ok := e.adapter.Decoder.DrainedZone(r.Name); ok {
		return e.drainZone(zone, r, epoch)
	}
	instance, ok := e.adapter.Decoder.ServerName(r.Name)
	if !ok {
		return false
	}
	s, err := e.decodeServer(r, now)
	if err != nil {
		e.logRefused(r, epoch, err)
		e.routing.directory.Invalidate(instance, now)
		return true
	}
	registered := e.routing.directory.Register(s)
	if first && registered {
		return true
	}
	fields := Fields{
		"Instance": s.Instance, "Pool": s.Pool, "Address": s.Address.String(), "AvailabilityZone": s.AvailabilityZone,
		"Draining": s.Draining, "ColdMS": s.WarmupLeft.Milliseconds(), "Sequence": s.Sequence, "Epoch": epoch, "Revision": r.Revision,
	}
	if !s.StartedAt.IsZero() {
		fields["Born"] = s.StartedAt.UTC()
	}
	if !registered {
		e.log.Line("RegistrationOutOfDate", fields)
		return false
	}
	e.log.Line("Registered", fields)
	return true
}

// decodeServer decodes a registration. It returns an error if that isn't the server's own.
func (e *Edge) decodeServer(r bronzerecord.Record, now time.Time) (s bronzeroute.Server, err error) {
	if s, err = e.adapter.Decoder.Server(r, now); err != nil {
		return s, err
	}
	return s, e.routing.directory.Check(&s)
}

func (e *Edge) applyTable(r bronzerecord.Record, epoch uint64, now time.Time) (changed bool) {
	t, err := e.adapter.Decoder.Table(r)
	if err != nil {
		e.logRefused(r, epoch, err)
		return false
	}
	if !e.routing.directory.SetTable(t, now) {
		return false
	}
	e.log.Line("TableInForce", Fields{
		"Version": t.Version, "Routes": len(t.Routes), "Refused": t.Refusals, "Epoch": epoch, "Revision": r.Revision,
	})
	return true
}

// logRefused logs an invalid record.
func (e *Edge) logRefused(r bronzerecord.Record, epoch uint64, err error) {
	e.log.Line("RecordRefused", Fields{"Record": r.Name, "Epoch": epoch, "Revision": r.Revision, "Error": err.Error()})
}

// advanceDirectory applies the passing of time to the directory.
func (e *Edge) advanceDirectory(now time.Time) {
	e.routing.mu.Lock()
	defer e.routing.mu.Unlock()
	e.routing.directory.Confirmed(e.gossip.SinceConfirmed(now), now)
	// After a pause, wait until the records are confirmed: servers that seem missing may have
	// come back during it.
	if !e.pauses.isUnconfirmed() && e.routing.directory.Advance(now) {
		e.publishView()
	}
}

// publishView passes the directory's view to the steerer. The caller holds the lock.
func (e *Edge) publishView() {
	v := e.routing.directory.View()
	if v == nil {
		return
	}
	e.steerer.SetView(v)
	e.firstViewOnce.Do(func() {
		e.log.Line("Ready", Fields{"AfterMS": time.Since(e.started).Milliseconds(), "Version": v.Table.Version, "Servers": len(v.Servers)})
		close(e.firstView)
	})
}

// onServerEvent logs a change in what this node believes of a server.
func (e *Edge) onServerEvent(ev bronzesteer.Event) {
	e.log.Line("Server"+ev.Kind.String(), Fields{
		"Instance": ev.Instance, "AvailabilityZone": ev.AvailabilityZone, "Unanswered": ev.Unanswered,
		"SilenceMS": ev.Silence.Milliseconds(), "ForMS": ev.AvoidedFor.Milliseconds(), "Nodes": ev.Nodes,
	})
}

// storeState says whether the store responds to this node.
type storeState struct {
	lost        bool
	since       time.Time
	failedCalls int
}

// logStoreState logs when the store is lost and when it is regained. Without this, the log
// wouldn't show the return, since answers without changes are not logged.
func (e *Edge) logStoreState(ev bronzerecord.Event, now time.Time) {
	failed := ev.Kind == bronzerecord.Failed
	switch st := &e.store; {
	case failed && !st.lost:
		*st = storeState{lost: true, since: now, failedCalls: 1}
		e.log.Line("StoreLost", Fields{"Epoch": ev.Position.Epoch, "Revision": ev.Position.Revision, "Error": ev.Err.Error()})
	case failed:
		st.failedCalls++
	case st.lost:
		st.lost = false
		e.log.Line("StoreRegained", Fields{
			"Epoch": ev.Position.Epoch, "Revision": ev.Position.Revision, "Kind": ev.Kind,
			"FailedCalls": st.failedCalls, "AwayMS": now.Sub(st.since).Milliseconds(),
		})
	}
}

// onStoreEvent passes the store's answer on to other nodes and logs it.
func (e *Edge) onStoreEvent(ev bronzerecord.Event) {
	e.detectPause()
	e.logStoreState(ev, time.Now())
	changed, removed := len(ev.Delta.Changed), len(ev.Delta.Removed)
	if ev.Kind == bronzerecord.Loaded || ev.Kind == bronzerecord.Watched {
		now := time.Now()
		// An answer that waited during a pause confirms only an earlier state, and a stale
		// one that of some seconds ago.
		if !ev.Stale && !e.pauses.endedWithin(now, ev.Took) {
			e.gossip.StoreConfirmed(now)
		}
		if changed+removed > 0 {
			e.gossip.Spread(ev.Delta, now)
		}
	}
	if ev.Kind == bronzerecord.Failed {
		e.gossip.StoreFailed()
	}
	if ev.Kind == bronzerecord.PageRead {
		e.gossip.StoreLoading(time.Now())
	}
	if ev.Kind == bronzerecord.PageRead || ev.Kind == bronzerecord.Watched && changed+removed == 0 {
		return
	}
	fields := Fields{
		"Kind": ev.Kind, "Epoch": ev.Position.Epoch, "Revision": ev.Position.Revision,
		"Changed": changed, "Removed": removed, "TookMS": ev.Took.Milliseconds(),
	}
	if ev.Err != nil {
		fields["Error"] = ev.Err.Error()
	} else {
		fields["AnsweredEpoch"], fields["AnsweredRevision"], fields["Applied"] = ev.Delta.Epoch, ev.Delta.To, ev.Applied
	}
	e.log.Line("Store", fields)
}
