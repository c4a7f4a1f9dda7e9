// Package bronzeshare decides which part of an AvailabilityZone's demand stays in the zone, and
// which part goes to which other zone.
//
// A zone keeps what its servers can do up to 0.8 of their capacity. If all zones together have
// room, the rest goes to the others in proportion to the room left there. If they don't, the
// rest goes where it makes the utilization of all zones equal. No more leaves a zone than that
// takes.
//
// Shares depend on demand, which is what callers offer, refused openings included. Demand
// doesn't depend on the shares, so nodes that compute them from old figures don't make them
// oscillate.
//
// # Usage
//
//	parts, ok := bronzeshare.Shares("riga-a", []bronzeshare.Zone{
//		{Name: "riga-a", Demand: 900, Capacity: 800},
//		{Name: "riga-b", Demand: 300, Capacity: 800},
//	})
package bronzeshare
