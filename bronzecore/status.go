package bronzecore

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzepool"
)

// Status is the state of a Balancer as shown to operators.
type Status struct {
	// Revision is the revision of the configuration in force.
	Revision uint64
	// Flows is the number of entries in the flow table, Attempts the number of
	// flows that are being opened or recovered.
	Flows    int
	Attempts int
	// Copies is the number of exceptions held for other owners, CopiesDue the
	// number of this node's copies that are queued or unacknowledged.
	Copies    int
	CopiesDue int
	Leaving   bool
	Services  []ServiceStatus
	Refusals  []bronzeconf.Refusal
}

// ServiceStatus is the state of one service in a Status.
type ServiceStatus struct {
	Customer      string
	Name          string
	Brand         string
	SchemaVersion int
	Servers       []bronzepool.ServerLoad
	// Rules are those of a record of schema version 3, nil for others.
	Rules *ServiceRules
}

// ServiceRules are the rules of a service for times when not all can be served.
type ServiceRules struct {
	Priority  int
	Objective time.Duration
	Share     bronzeconf.Share
	Closed    bool
	// Shed is zero once it has ended.
	Shed bronzeconf.Shed
	// Full is set if all servers report to be full. Load is then the number of
	// flows, and of those asked for, for each that the servers can hold.
	Full bool
	Load float64
}

func (st *service) rules() *ServiceRules {
	if st.conf.SchemaVersion < bronzeconf.SchemaV3 {
		return nil
	}
	r := &ServiceRules{
		Priority:  st.conf.Priority,
		Objective: st.conf.Objective,
		Share:     st.conf.Share,
		Closed:    st.conf.Closed,
	}
	if time.Now().Before(st.conf.Shed.Until) {
		r.Shed = st.conf.Shed
	}
	r.Load, r.Full = st.pool.Saturation()
	return r
}

// Status returns the current state. It visits the pools of all services.
func (b *Balancer) Status() Status {
	b.init()
	st := Status{
		Flows:     b.table.Len(),
		Copies:    b.copies.len(),
		CopiesDue: b.copier.pending(),
		Leaving:   b.leaving.Load(),
	}
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		st.Attempts += len(s.attempts)
		s.mu.Unlock()
	}
	set := b.services.Load()
	snap := set.snapshot
	if snap == nil {
		return st
	}
	st.Revision = snap.Revision
	st.Refusals = snap.Refusals
	for _, conf := range snap.Services {
		s := set.stateOf(conf)
		if s == nil {
			continue
		}
		st.Services = append(st.Services, ServiceStatus{
			Customer:      conf.Customer,
			Name:          conf.Name,
			Brand:         conf.Brand,
			SchemaVersion: conf.SchemaVersion,
			Servers:       s.pool.Loads(),
			Rules:         s.rules(),
		})
	}
	return st
}

// Remaining is what a leaving balancer has not handed over yet.
type Remaining struct {
	// Copies is the number of exceptions that no other node is known to hold.
	Copies int
	// Attempts is the number of flows being opened or recovered.
	Attempts int
}

// Remaining returns what is left to hand over.
func (b *Balancer) Remaining() Remaining {
	s := b.Status()
	return Remaining{Copies: s.CopiesDue, Attempts: s.Attempts}
}

// SharesCounts reports whether the nodes share the counts of their flows. They
// do if there are at most bronzepool.MaxSharedPairs pairs of node and server.
func (b *Balancer) SharesCounts() bool {
	b.init()
	return b.services.Load().shared.Load()
}

// OwnedFlows returns the number of flows that this node owns on each server, to
// be shared with the other nodes. It is empty unless SharesCounts is true.
func (b *Balancer) OwnedFlows() map[bronzeflow.ServerID]uint32 {
	b.init()
	counts := make(map[bronzeflow.ServerID]uint32)
	if !b.SharesCounts() {
		return counts
	}
	for _, st := range b.services.Load().byName {
		st.pool.Owned(counts)
	}
	return counts
}

// SetOwnedFlows replaces the counts of the flows that the node origin owns on
// each server; nil removes them.
func (b *Balancer) SetOwnedFlows(origin string, counts map[bronzeflow.ServerID]uint32) {
	b.init()
	for _, st := range b.services.Load().byName {
		st.pool.SetOwned(origin, counts)
	}
}

// Observe applies a report from a server's own endpoint, polled by this node or
// another.
func (b *Balancer) Observe(r bronzepool.Report) {
	b.init()
	if st := b.serviceOf(r.Server); st != nil {
		st.pool.Observe(r)
	}
}

// SetLeaving stops new work for a server for the time hold, whatever the source
// of the news that it is leaving.
func (b *Balancer) SetLeaving(id bronzeflow.ServerID, hold time.Duration) {
	b.init()
	if st := b.serviceOf(id); st != nil {
		st.pool.SetLeaving(id, hold)
	}
}

func (b *Balancer) serviceOf(id bronzeflow.ServerID) *service {
	set := b.services.Load()
	svc, _, ok := set.snapshot.Server(id)
	if !ok {
		return nil
	}
	return set.stateOf(svc)
}
