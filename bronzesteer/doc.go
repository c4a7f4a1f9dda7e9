// Package bronzesteer decides what to do with callers' packets if each packet carries the
// token of its server (package bronzetoken). Package bronzecore is its counterpart for
// packets without tokens. The package opens no socket and starts no goroutine.
//
// An opening, the first packet of a flow, is placed on a server and forwarded with that
// server's token. Every later packet of the flow carries the token, at whichever node it
// arrives. Thus no node owns a flow and no flow state is replicated. What a node tracks of
// flows only serves to detect failed servers: answers bypass the nodes, which see a server
// only by the behavior of its callers. A caller that continues has been answered; one that
// retransmits has not.
//
// An opening that isn't answered within the usual time is hedged: it is sent to a second
// server (Hedges). Nodes exchange their findings of servers that don't answer (Reports,
// MergeReports), and loads and latencies (Loads, SetLoads).
//
// If servers are overloaded, or none answers, openings are refused at once: callers learn
// that nothing was run, and the openings admitted are served in time. SetRules holds what
// operators have ordered for that case.
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
// Call Sweep every 100 ms and reset the flows that it returns, call Hedges at the time that
// NextHedge returns, and send Reports to other nodes when HasNewReports returns true.
package bronzesteer
