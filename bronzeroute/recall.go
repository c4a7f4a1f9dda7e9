package bronzeroute

import "time"

// RecallServer applies the last known record of a server after the store lost it because it was
// restored from a backup. absent reports that the backup has no record of the server; the
// server is then missing. If the backup has an older record, the recalled one takes precedence
// until the server registers again or until the given time. Otherwise a draining server would
// get new flows. changed is false if the backup's record says the same.
func (d *Directory) RecallServer(s Server, absent bool, now, until time.Time) (changed bool) {
	e := d.servers[s.Instance]
	switch {
	case e != nil && e.goneSince.Before(now) && !e.goneSince.IsZero():
		// The server was gone before the restore.
		return false
	case absent:
		if e == nil || s.isNewerThan(&e.server) {
			d.Register(s)
		}
		// A draining server isn't gone at once: only its record was lost, its flows may still
		// be open.
		d.markMissing(d.servers[s.Instance], now)
	case e == nil:
		// The backup's record could not be decoded as a server.
		return false
	case s.StartedAt.After(e.server.StartedAt):
		d.Register(s)
	case s.Draining && !e.server.Draining && !e.server.isNewerThan(&s):
		d.drainUntil(e, until, true)
	default:
		return false
	}
	return true
}

// RecallRemoved handles a server whose registration had been removed and is back because the
// store was restored from a backup. The server takes no new flows until the given time. Its
// registration lapses again unless the server is alive.
func (d *Directory) RecallRemoved(instance string, until time.Time) (changed bool) {
	e := d.servers[instance]
	if e == nil || !e.goneSince.IsZero() {
		return false
	}
	d.drainUntil(e, until, false)
	return true
}

// markMissing marks a server as missing, also one that is draining or gone.
func (d *Directory) markMissing(e *entry, now time.Time) {
	if d.absent == nil {
		d.absent = make(map[string]*entry)
	}
	d.absent[e.server.Instance] = e
	e.missingSince, e.goneSince, e.invalid = now, time.Time{}, false
	d.markChanged(e)
}

// drainUntil keeps new flows away from a server until the given time.
func (d *Directory) drainUntil(e *entry, until time.Time, draining bool) {
	if d.recalled == nil {
		d.recalled = make(map[string]*entry)
	}
	d.recalled[e.server.Instance] = e
	e.recalledUntil, e.recalledDraining = until, draining || e.recalledDraining
	d.markChanged(e)
}

// endRecall ends a server's recall.
func (d *Directory) endRecall(e *entry) {
	if e.recalledUntil.IsZero() {
		return
	}
	delete(d.recalled, e.server.Instance)
	e.recalledUntil, e.recalledDraining = time.Time{}, false
	d.markChanged(e)
}

// expireRecalls ends the recalls whose time has passed.
func (d *Directory) expireRecalls(now time.Time) (changed bool) {
	for _, e := range d.recalled {
		if !now.Before(e.recalledUntil) {
			d.endRecall(e)
			changed = true
		}
	}
	return changed
}

// isNewerThan reports whether s was written after other, a record of the same server.
func (s *Server) isNewerThan(other *Server) bool {
	return s.StartedAt.After(other.StartedAt) || s.StartedAt.Equal(other.StartedAt) && s.Sequence > other.Sequence
}

// RecallZone keeps an AvailabilityZone drained whose drain record was lost, until it is drained
// again or undrained, or until the given time.
func (d *Directory) RecallZone(zone string, until time.Time) (changed bool) {
	before, known := d.zones.drainedUntil[zone]
	d.drainZoneUntil(zone, until)
	return !known || !before.Equal(until)
}

// expireZoneDrains undrains the zones whose recalled drain has expired.
func (d *Directory) expireZoneDrains(now time.Time) (changed bool) {
	for zone, until := range d.zones.drainedUntil {
		if !until.IsZero() && !now.Before(until) {
			changed = d.UndrainZone(zone, now) || changed
		}
	}
	return changed
}
