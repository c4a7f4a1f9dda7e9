package bronzeedge

import (
	"sync"
	"time"

	"bronzeusher.example/bronzeusher/bronzerecord"
	"bronzeusher.example/bronzeusher/bronzeroute"
	"bronzeusher.example/bronzeusher/bronzesteer"
)

// book is the directory under its lock.
type book struct {
	mu        sync.Mutex
	directory bronzeroute.Directory
}

// onRecords takes in what changed in the records.
func (e *Edge) onRecords(c bronzerecord.Change) {
	now := time.Now()
	e.routing.mu.Lock()
	defer e.routing.mu.Unlock()
	first, changed := !e.hasView(), false
	for _, r := range c.Changed {
		changed = e.takeRecord(r, c.Position.Epoch, first, now) || changed
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
		changed = e.recall(&c.Lost[i], now) || changed
	}
	if changed {
		e.publish()
	}
}

// removeRecord takes in that a record is no more.
func (e *Edge) removeRecord(name string, at bronzerecord.Position, now time.Time) (changed bool) {
	if zone, ok := e.adapter.Decoder.DrainedZone(name); ok {
		return e.returnZone(zone, at, now)
	}
	instance, ok := e.adapter.Decoder.ServerName(name)
	if !ok {
		return false
	}
	e.routing.directory.Unregister(instance, now)
	e.log.Line("Unregistered", Fields{"Instance": instance, "Epoch": at.Epoch, "Revision": at.Revision})
	return true
}

// hasView reports whether the node has had a view.
func (e *Edge) hasView() bool {
	select {
	case <-e.firstView:
		return true
	default:
		return false
	}
}

// takeRecord puts one record in force. A table with faults leaves the one before in
// force; a registration with faults names no server, as if it had disappeared. Left
// in force, what a server said before another writer wrote over it would be believed
// for as long as that stands there.
//
// The first records have no line each: callers wait for them after a power cut, and the
// lines would take more than half of the processor time, and leave no room for others.
func (e *Edge) takeRecord(r bronzerecord.Record, epoch uint64, first bool, now time.Time) (changed bool) {
	if e.adapter.Decoder.IsTable(r.Name) {
		return e.takeTable(r, epoch, now)
	}
	if zone, ok := e.adapter.Decoder.DrainedZone(r.Name); ok {
		return e.drainZone(zone, r, epoch)
	}
	instance, ok := e.adapter.Decoder.ServerName(r.Name)
	if !ok {
		return false
	}
	s, err := e.adapter.Decoder.Server(r, now)
	if err != nil {
		e.refuse(r, epoch, err)
		e.routing.directory.Unregister(instance, now)
		return true
	}
	taken := e.routing.directory.Register(s)
	if first && taken {
		return true
	}
	fields := Fields{
		"Instance": s.Instance, "Pool": s.Pool, "Address": s.Address.String(), "AvailabilityZone": s.AvailabilityZone,
		"Draining": s.Draining, "ColdMS": s.WarmupLeft.Milliseconds(), "Epoch": epoch, "Revision": r.Revision,
	}
	if !s.StartedAt.IsZero() {
		fields["Born"] = s.StartedAt.UTC()
	}
	if !taken {
		e.log.Line("RegistrationOutOfDate", fields)
		return false
	}
	e.log.Line("Registered", fields)
	return true
}

func (e *Edge) takeTable(r bronzerecord.Record, epoch uint64, now time.Time) (changed bool) {
	t, err := e.adapter.Decoder.Table(r)
	if err != nil {
		e.refuse(r, epoch, err)
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

// refuse logs a record with faults.
func (e *Edge) refuse(r bronzerecord.Record, epoch uint64, err error) {
	e.log.Line("RecordRefused", Fields{"Record": r.Name, "Epoch": epoch, "Revision": r.Revision, "Error": err.Error()})
}

// advance lets time pass in the directory.
func (e *Edge) advance(now time.Time) {
	e.routing.mu.Lock()
	defer e.routing.mu.Unlock()
	// While the node stood still, servers that seemed missing may have come back.
	if !e.pauses.isUnconfirmed() && e.routing.directory.Advance(now) {
		e.publish()
	}
}

// publish hands the directory's view to the decisions; the caller holds the
// lock.
func (e *Edge) publish() {
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

// onServerEvent logs what this node believes of a server.
func (e *Edge) onServerEvent(ev bronzesteer.Event) {
	e.log.Line("Server"+ev.Kind.String(), Fields{
		"Instance": ev.Instance, "AvailabilityZone": ev.AvailabilityZone, "Unanswered": ev.Unanswered,
		"SilenceMS": ev.Silence.Milliseconds(), "ForMS": ev.AvoidedFor.Milliseconds(), "Nodes": ev.Nodes,
	})
}

// storeState is whether the store answers this node.
type storeState struct {
	lost  bool
	since time.Time
	calls int
}

// noteStore logs when the store is lost, and when it is back: an answer without
// news has no line of its own.
func (e *Edge) noteStore(ev bronzerecord.Event, now time.Time) {
	failed := ev.Kind == bronzerecord.Failed
	switch st := &e.store; {
	case failed && !st.lost:
		*st = storeState{lost: true, since: now, calls: 1}
		e.log.Line("StoreLost", Fields{"Epoch": ev.Position.Epoch, "Revision": ev.Position.Revision, "Error": ev.Err.Error()})
	case failed:
		st.calls++
	case st.lost:
		st.lost = false
		e.log.Line("StoreRegained", Fields{
			"Epoch": ev.Position.Epoch, "Revision": ev.Position.Revision, "Kind": ev.Kind,
			"FailedCalls": st.calls, "AwayMS": now.Sub(st.since).Milliseconds(),
		})
	}
}

// onStoreEvent spreads what the store answers, and logs it.
func (e *Edge) onStoreEvent(ev bronzerecord.Event) {
	e.detectPause()
	e.noteStore(ev, time.Now())
	changed, removed := len(ev.Delta.Changed), len(ev.Delta.Removed)
	if ev.Kind == bronzerecord.Loaded || ev.Kind == bronzerecord.Watched {
		now := time.Now()
		// An answer that waited while the node stood still says what was true before, and
		// one that may be stale what was true some seconds ago.
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
	if ev.Kind == bronzerecord.Watched && changed+removed == 0 {
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
