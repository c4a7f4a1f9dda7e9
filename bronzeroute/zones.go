package bronzeroute

import (
	"maps"
	"slices"
	"time"
)

// undrainRetention is how long the end of a zone's drain is remembered. It exceeds the time
// that servers take to start.
const undrainRetention = 5 * time.Minute

// zones holds the drained AvailabilityZones and when the drains of others ended. The zero value
// is empty and ready to use.
type zones struct {
	// drainedUntil maps each drained zone to when its drain expires, the zero time if only
	// UndrainZone ends it.
	drainedUntil map[string]time.Time
	undrainedAt  map[string]time.Time
}

// DrainZone keeps new flows away from the servers of an AvailabilityZone until UndrainZone.
// Open flows continue.
func (d *Directory) DrainZone(zone string) (changed bool) {
	_, known := d.zones.drainedUntil[zone]
	d.drainZoneUntil(zone, time.Time{})
	return !known
}

// drainZoneUntil drains a zone until the given time, or until UndrainZone if it is zero.
func (d *Directory) drainZoneUntil(zone string, until time.Time) {
	if d.zones.drainedUntil == nil {
		d.zones.drainedUntil = make(map[string]time.Time)
	}
	if _, known := d.zones.drainedUntil[zone]; !known {
		d.markZoneChanged(zone)
	}
	d.zones.drainedUntil[zone] = until
}

// UndrainZone ends the drain of an AvailabilityZone at now.
func (d *Directory) UndrainZone(zone string, now time.Time) (changed bool) {
	if _, known := d.zones.drainedUntil[zone]; !known {
		return false
	}
	if d.zones.undrainedAt == nil {
		d.zones.undrainedAt = make(map[string]time.Time)
	}
	delete(d.zones.drainedUntil, zone)
	d.zones.undrainedAt[zone] = now
	d.markZoneChanged(zone)
	return true
}

// markZoneChanged marks all servers of a zone as changed.
func (d *Directory) markZoneChanged(zone string) {
	for _, e := range d.byName {
		if e.server.AvailabilityZone == zone {
			d.markChanged(e)
		}
	}
}

// markAllChanged marks all servers as changed.
func (d *Directory) markAllChanged() {
	for _, e := range d.byName {
		d.markChanged(e)
	}
}

// state reports whether a zone is drained, and when its last drain ended.
func (z *zones) state(zone string) (drained bool, undrainedAt time.Time) {
	_, drained = z.drainedUntil[zone]
	return drained, z.undrainedAt[zone]
}

// drainedNames returns the sorted names of the drained zones, nil if there are none.
func (z *zones) drainedNames() []string {
	return slices.Sorted(maps.Keys(z.drainedUntil))
}

// expire drops the ends of drains that are older than undrainRetention.
func (z *zones) expire(now time.Time) {
	for zone, at := range z.undrainedAt {
		if now.Sub(at) > undrainRetention {
			delete(z.undrainedAt, zone)
		}
	}
}
