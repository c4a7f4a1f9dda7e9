package bronzeedge

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzerecord"
)

// drainZone keeps new flows away from an AvailabilityZone's servers for as long as the
// record is there. A fault in the record, or a zone that this deployment doesn't have, is
// logged; what is clear is obeyed all the same.
func (e *Edge) drainZone(zone string, r bronzerecord.Record, epoch uint64) (changed bool) {
	if err := e.adapter.Decoder.CheckDrain(r); err != nil {
		e.refuse(r, epoch, err)
	}
	if zone == "" || !e.routing.directory.DrainZone(zone) {
		return false
	}
	_, known := e.cfg.Regions[zone]
	e.count("ZoneDrained")
	e.log.Line("ZoneDrained", Fields{"AvailabilityZone": zone, "Known": known, "Epoch": epoch, "Revision": r.Revision})
	return true
}

// returnZone lets new flows go to an AvailabilityZone's servers again.
func (e *Edge) returnZone(zone string, at bronzerecord.Position, now time.Time) (changed bool) {
	if !e.routing.directory.UndrainZone(zone, now) {
		return false
	}
	e.count("ZoneReturned")
	e.log.Line("ZoneReturned", Fields{"AvailabilityZone": zone, "Epoch": at.Epoch, "Revision": at.Revision})
	return true
}
