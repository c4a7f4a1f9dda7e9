package bronzeedge

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzerecord"
)

// lostNames returns the names of the records that were there before the store lost them.
func lostNames(lost []bronzerecord.LostRecord) (names map[string]bool) {
	names = make(map[string]bool, len(lost))
	for i := range lost {
		names[lost[i].Record.Name] = !lost[i].Removed
	}
	return names
}

// recall goes on by what a record said before the store lost it, until it is written again or
// its time is over. A table counts for as long as it is the newest. A drain that had ended and
// is back is obeyed: that costs distance, and to ignore one that the operator has just asked
// for would send callers to servers that are about to end.
func (e *Edge) recall(l *bronzerecord.LostRecord, now time.Time) (changed bool) {
	until := now.Add(bronzerecord.LostRetention - l.Age)
	if e.adapter.Decoder.IsTable(l.Record.Name) {
		return !l.Removed && e.takeTable(l.Record, l.Epoch, now)
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
		s, err := e.adapter.Decoder.Server(l.Record, now)
		if err != nil {
			// It named no server before either.
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
