package bronzenode

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
	"bronzeusher.example/bronzeusher/bronzepool"
)

const (
	// reportShareIntervals is for how many poll intervals a report is shared
	// with other nodes.
	reportShareIntervals = 2
	// renewInterval is how often the leaving servers in the loads of other
	// nodes are applied again.
	renewInterval = leavingHold / 4
)

// sharedLoads holds what the loads of other nodes say about servers. Its zero
// value is ready.
type sharedLoads struct {
	mu sync.Mutex
	// received is the last report of each server from each origin.
	received map[string]map[bronzeflow.ServerID]receivedReport
	// leaving are the leaving servers in each origin's newest load.
	leaving     map[string][]bronzeflow.ServerID
	lastRenewal time.Time
}

// receivedReport is a report that another node shared.
type receivedReport struct {
	count uint32
	at    time.Time
}

// share passes this node's load to the fleet, which sends the newest one as
// often as its byte budget allows.
func (n *Node) share() {
	n.fleet.Share(n.load())
	n.renewLeaving()
}

// renewLeaving holds the servers that other nodes report as leaving. A load is
// valid until its origin sends another, which takes longer than leavingHold in
// a large fleet if nothing has changed; without the renewal, servers that take
// hours to leave would get new flows in between.
func (n *Node) renewLeaving() {
	for _, id := range n.sharedLoads.leavingToRenew(time.Now()) {
		n.balancer.SetLeaving(id, leavingHold)
	}
}

// load returns this node's current load.
func (n *Node) load() (load bronzelink.Load) {
	for id, count := range n.balancer.OwnedFlows() {
		load.Owned = append(load.Owned, bronzelink.LoadItem{Server: id, Count: count})
	}
	shared := n.balancer.SharesCounts()
	for id, report := range n.reports.recent() {
		if !shared && !report.Leaving {
			// Leaving servers must not queue behind counts that would
			// arrive too late to be useful.
			continue
		}
		if report.hasConnections {
			load.Reported = append(load.Reported, bronzelink.LoadItem{Server: id, Count: uint32(report.Connections)})
		}
		if report.Leaving {
			load.Leaving = append(load.Leaving, id)
		}
	}
	slices.SortFunc(load.Owned, compareItems)
	slices.SortFunc(load.Reported, compareItems)
	slices.Sort(load.Leaving)
	return load
}

func compareItems(a, b bronzelink.LoadItem) int { return cmp.Compare(a.Server, b.Server) }

// onLoad applies the load of another node.
func (n *Node) onLoad(l *bronzelink.Load) {
	counts := make(map[bronzeflow.ServerID]uint32, len(l.Owned))
	for _, item := range l.Owned {
		counts[item.Server] = item.Count
	}
	n.balancer.SetOwnedFlows(l.Origin, counts)
	for _, report := range n.sharedLoads.freshReports(l, n.cfg.PollInterval) {
		n.balancer.Observe(report)
	}
	for _, id := range l.Leaving {
		n.balancer.SetLeaving(id, leavingHold)
	}
}

// freshReports returns the reports of l that its origin has not shared before.
// One report may come in several loads; taken as several, it would look as if
// the server's connections didn't change.
func (s *sharedLoads) freshReports(l *bronzelink.Load, interval time.Duration) (list []bronzepool.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	before := s.received[l.Origin]
	received := make(map[bronzeflow.ServerID]receivedReport, len(l.Reported))
	for _, item := range l.Reported {
		h, ok := before[item.Server]
		if !ok || h.count != item.Count || now.Sub(h.at) >= interval {
			h = receivedReport{count: item.Count, at: now}
			list = append(list, bronzepool.Report{
				Server:      item.Server,
				Connections: int(item.Count),
				Leaving:     slices.Contains(l.Leaving, item.Server),
				At:          now,
			})
		}
		received[item.Server] = h
	}
	if s.received == nil {
		s.received = make(map[string]map[bronzeflow.ServerID]receivedReport)
		s.leaving = make(map[string][]bronzeflow.ServerID)
	}
	s.received[l.Origin] = received
	s.leaving[l.Origin] = l.Leaving
	return list
}

// leavingToRenew returns the servers that other nodes report as leaving, if a
// renewal is due.
func (s *sharedLoads) leavingToRenew(now time.Time) (ids []bronzeflow.ServerID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastRenewal) < renewInterval {
		return nil
	}
	s.lastRenewal = now
	for _, list := range s.leaving {
		ids = append(ids, list...)
	}
	return ids
}

// forget deletes what origin shared.
func (s *sharedLoads) forget(origin string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.received, origin)
	delete(s.leaving, origin)
}
