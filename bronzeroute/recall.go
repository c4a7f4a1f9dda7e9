package bronzeroute

import "time"

// RecallServer takes in what was last known of a server before its registration was lost: the store
// came back from a copy. What the copy says counts for less until the server has registered
// again, or until the given time. A server that said it leaves would get new flows otherwise.
// absent says that the copy doesn't have the server. changed is false if the copy says as much.
func (d *Directory) RecallServer(s Server, absent bool, now, until time.Time) (changed bool) {
	e := d.servers[s.Instance]
	switch {
	case e != nil && e.gone.Before(now) && !e.gone.IsZero():
		// It was over before the store fell back.
		return false
	case absent:
		if e == nil || s.wroteAfter(&e.server) {
			d.Register(s)
		}
		d.lose(d.servers[s.Instance], now)
	case e == nil:
		// What the copy has of it names no server.
		return false
	case s.StartedAt.After(e.server.StartedAt):
		d.Register(s)
	case s.Draining && !e.server.Draining && !e.server.wroteAfter(&s):
		d.hold(e, until, true)
	default:
		return false
	}
	return true
}

// RecallRemoved does the same for a server whose registration had been removed. The copy brings it
// back; it lapses again unless the server lives.
func (d *Directory) RecallRemoved(instance string, until time.Time) (changed bool) {
	e := d.servers[instance]
	if e == nil || !e.gone.IsZero() {
		return false
	}
	d.hold(e, until, false)
	return true
}

// lose has a server be missing that lives as far as is known. Also one that leaves is missing
// first: what it said is lost, its flows aren't.
func (d *Directory) lose(e *entry, now time.Time) {
	if d.absent == nil {
		d.absent = make(map[string]*entry)
	}
	d.absent[e.server.Instance] = e
	e.missing, e.gone = now, time.Time{}
	d.touch(e)
}

// hold keeps new flows away from a server until a time.
func (d *Directory) hold(e *entry, until time.Time, leaving bool) {
	if d.recalled == nil {
		d.recalled = make(map[string]*entry)
	}
	d.recalled[e.server.Instance] = e
	e.recalled, e.recalledLeaving = until, leaving || e.recalledLeaving
	d.touch(e)
}

// release ends that.
func (d *Directory) release(e *entry) {
	if e.recalled.IsZero() {
		return
	}
	delete(d.recalled, e.server.Instance)
	e.recalled, e.recalledLeaving = time.Time{}, false
	d.touch(e)
}

// releaseServers ends it for the servers whose time has come.
func (d *Directory) releaseServers(now time.Time) (changed bool) {
	for _, e := range d.recalled {
		if !now.Before(e.recalled) {
			d.release(e)
			changed = true
		}
	}
	return changed
}

// wroteAfter reports whether s is a later word of the same server than other.
func (s *Server) wroteAfter(other *Server) bool {
	return s.StartedAt.After(other.StartedAt) || s.StartedAt.Equal(other.StartedAt) && s.Sequence > other.Sequence
}

// RecallZone keeps an AvailabilityZone drained whose drain was lost, until it is drained again,
// returned, or the given time.
func (d *Directory) RecallZone(zone string, until time.Time) (changed bool) {
	before, known := d.zones.drained[zone]
	d.drain(zone, until)
	return !known || !before.Equal(until)
}

// releaseZones returns the zones that nobody has drained again in time.
func (d *Directory) releaseZones(now time.Time) (changed bool) {
	for zone, until := range d.zones.drained {
		if !until.IsZero() && !now.Before(until) {
			changed = d.UndrainZone(zone, now) || changed
		}
	}
	return changed
}
