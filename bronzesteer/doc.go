// Package bronzesteer decides what happens to callers' packets where each
// packet carries the token of its server (package bronzetoken). It opens no
// socket and starts no goroutine; package bronzecore is its counterpart for
// packets that carry nothing.
//
// An opening is placed on a server, whose token goes into it; every later
// packet of the flow brings the token back, at whichever node it arrives. So
// no node owns a flow, nothing is copied, and what a node remembers of a flow
// only serves to judge the servers: answers go past the balancers, and all
// that they see of a server is how its callers go on. A caller that goes on
// has been answered; one that repeats itself has not.
//
// An opening whose caller doesn't go on in the usual time is sent to a second server
// (Hedges). What this node finds of servers that don't answer is told to the others and
// theirs is taken in (Reports, SetReports), as are loads and latencies (Loads, SetLoads).
//
// When servers have too much to do, or none answers, openings are ended at once:
// callers learn that nothing ran, and those that are let in are served in time.
//
// # Usage
//
//	s := &bronzesteer.Steerer{AvailabilityZone: "riga-a"}
//	s.SetView(directory.View())
//	switch d := s.Decide(&packet, time.Now()); d.Kind {
//	case bronzesteer.Forward:
//		// Send the packet with d.Token to d.Server.
//	case bronzesteer.End:
//		// Send the caller a reset.
//	case bronzesteer.Wait:
//		// Ask again when there is a view.
//	}
//
// Call Sweep every 100 ms and end the flows that it returns, call Hedges at the time that
// NextHedge returns, and tell other nodes of Reports when News says that there are some.
package bronzesteer
