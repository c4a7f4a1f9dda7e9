package bronzeedge

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzerecord"
)

// drainZone keeps new flows away from the servers of an AvailabilityZone for as long as the
// record exists. An invalid record is logged and obeyed as far as it names a zone. A zone
// that the settings don't know is drained too; the log line says so.
func (e *Edge) drainZone(zone string, r bronzerecord.Record, epoch uint64) (changed bool) {
	if err := e.adapter.Decoder.CheckDrain(r); err != nil {
		e.logRefused(r, epoch, err)
	}
	if zone == "" || !e.routing.directory.DrainZone(zone) {
		return false
	}
	_, known := e.cfg.Regions[zone]
	e.count("ZoneDrained")
	e.log.Line("ZoneDrained", Fields{"AvailabilityZone": zone, "Known": known, "Epoch": epoch, "Revision": r.Revision})
	return true
}

// undrainZone lets new flows go to the servers of an AvailabilityZone again.
func (e *Edge) undrainZone(zone string, at bronzerecord.Position, now time.Time) (changed bool) {
	if !e.routing.directory.UndrainZone(zone, now) {
		return false
	}
	e.count("ZoneReturned")
	e.log.Line("ZoneReturned", Fields{"AvailabilityZone": zone, "Epoch": at.Epoch, "Revision": at.Revision})
	return true
}
