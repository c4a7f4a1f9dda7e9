package bronzeedge

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzerecord"
)

// lostNames returns the names in lost, true for those whose last entry is a record and not a
// removal.
func lostNames(lost []bronzerecord.LostRecord) (names map[string]bool) {
	names = make(map[string]bool, len(lost))
	for i := range lost {
		names[lost[i].Record.Name] = !lost[i].Removed
	}
	return names
}

// applyLost applies the state that a record had before the store lost it, until the record
// is written again or bronzerecord.LostRetention has passed. A table is applied only if it
// is the newest, and stays in force until a newer one. A drain that had ended and is back in
// the store is obeyed: that only makes callers' paths longer, while ignoring a drain that an
// operator has just requested would send callers to servers that are about to end.
func (e *Edge) applyLost(l *bronzerecord.LostRecord, now time.Time) (changed bool) {
	until := now.Add(bronzerecord.LostRetention - l.Age)
	if e.adapter.Decoder.IsTable(l.Record.Name) {
		return !l.Removed && e.applyTable(l.Record, l.Epoch, now)
	}
	if zone, ok := e.adapter.Decoder.DrainedZone(l.Record.Name); ok {
		return !l.Removed && e.recallZone(zone, l, until)
	}
	instance, ok := e.adapter.Decoder.ServerName(l.Record.Name)
	if !ok {
		return false
	}
	return e.recallServer(instance, l, now, until)
}

func (e *Edge) recallZone(zone string, l *bronzerecord.LostRecord, until time.Time) (changed bool) {
	if zone == "" || !l.Absent || !e.routing.directory.RecallZone(zone, until) {
		return false
	}
	e.count("ZoneDrained")
	e.log.Line("ZoneRecalled", Fields{"AvailabilityZone": zone, "Epoch": l.Epoch, "Revision": l.Record.Revision, "Until": until.UTC()})
	return true
}

func (e *Edge) recallServer(instance string, l *bronzerecord.LostRecord, now, until time.Time) (changed bool) {
	fields := Fields{
		"Instance": instance, "Removed": l.Removed, "Absent": l.Absent, "Epoch": l.Epoch, "Revision": l.Record.Revision,
		"Until": until.UTC(),
	}
	if l.Removed {
		changed = e.routing.directory.RecallRemoved(instance, until)
	} else {
		s, err := e.decodeServer(l.Record, now)
		if err != nil {
			// The record was invalid before it was lost, too.
			return false
		}
		fields["Draining"] = s.Draining
		changed = e.routing.directory.RecallServer(s, l.Absent, now, until)
	}
	if changed {
		e.count("ServerRecalled")
		e.log.Line("ServerRecalled", fields)
	}
	return changed
}
