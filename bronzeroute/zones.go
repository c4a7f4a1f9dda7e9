package bronzeroute

import (
	"maps"
	"slices"
	"time"
)

// rememberReturn is how long the return of a drained zone is remembered. It is over what
// servers take to start.
const rememberReturn = 5 * time.Minute

// zones are the AvailabilityZones that are drained, and when others were returned. The zero
// zones has none of either.
type zones struct {
	// drained tells until when, the zero time if until its return.
	drained  map[string]time.Time
	returned map[string]time.Time
}

// DrainZone keeps new flows away from the servers of an AvailabilityZone until ReturnZone.
// Open flows stay.
func (d *Directory) DrainZone(zone string) (changed bool) {
	_, known := d.zones.drained[zone]
	d.drain(zone, time.Time{})
	return !known
}

// drain has a zone drained until a time, or its return for the zero time.
func (d *Directory) drain(zone string, until time.Time) {
	if d.zones.drained == nil {
		d.zones.drained = make(map[string]time.Time)
	}
	if _, known := d.zones.drained[zone]; !known {
		d.touchZone(zone)
	}
	d.zones.drained[zone] = until
}

// UndrainZone ends the drain of an AvailabilityZone at now.
func (d *Directory) UndrainZone(zone string, now time.Time) (changed bool) {
	if _, known := d.zones.drained[zone]; !known {
		return false
	}
	if d.zones.returned == nil {
		d.zones.returned = make(map[string]time.Time)
	}
	delete(d.zones.drained, zone)
	d.zones.returned[zone] = now
	d.touchZone(zone)
	return true
}

// touchZone notes that the servers of a zone change.
func (d *Directory) touchZone(zone string) {
	for _, e := range d.byName {
		if e.server.AvailabilityZone == zone {
			d.touch(e)
		}
	}
}

// touchAll notes that all servers change.
func (d *Directory) touchAll() {
	for _, e := range d.byName {
		d.touch(e)
	}
}

// of returns whether a zone is drained, and when it was last returned.
func (z *zones) of(zone string) (drained bool, returned time.Time) {
	_, drained = z.drained[zone]
	return drained, z.returned[zone]
}

// names returns the drained zones in order, nil if there is none.
func (z *zones) names() []string {
	return slices.Sorted(maps.Keys(z.drained))
}

// forget drops the returns that are long ago.
func (z *zones) forget(now time.Time) {
	for zone, at := range z.returned {
		if now.Sub(at) > rememberReturn {
			delete(z.returned, zone)
		}
	}
}
