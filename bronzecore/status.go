package bronzecore

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzepool"
)

// Status is what an operator sees of a Balancer.
type Status struct {
	// Revision is that of the configuration in force.
	Revision uint64
	// Flows counts the entries of the table, Attempts the flows that are
	// being opened or looked for.
	Flows    int
	Attempts int
	// Copies counts the exceptions held for other owners, CopiesDue the own
	// ones that no successor holds yet.
	Copies    int
	CopiesDue int
	Leaving   bool
	Services  []ServiceStatus
	Refusals  []bronzeconf.Refusal
}

// ServiceStatus is one service in a Status.
type ServiceStatus struct {
	Customer      string
	Name          string
	Brand         string
	SchemaVersion int
	Servers       []bronzepool.ServerLoad
}

// Status returns the present state. It walks all services' pools.
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
		})
	}
	return st
}

// Remaining is what a leaving balancer has not handed over.
type Remaining struct {
	// Copies is how many exceptions no other node is known to hold.
	Copies int
	// Attempts is how many flows were being opened or looked for.
	Attempts int
}

// Remaining returns what is left to hand over.
func (b *Balancer) Remaining() Remaining {
	s := b.Status()
	return Remaining{Copies: s.CopiesDue, Attempts: s.Attempts}
}

// SharesCounts reports whether the nodes share the counts of their flows: there are
// at most bronzepool.MaxSharedPairs pairs of node and server.
func (b *Balancer) SharesCounts() bool {
	b.init()
	return b.services.Load().shared.Load()
}

// OwnedFlows returns the counts of the flows that this node owns on each server,
// to be shared with the other nodes. It is empty unless they are Shared.
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

// SetOwnedFlows replaces what the node origin says that it owns; nil forgets it.
func (b *Balancer) SetOwnedFlows(origin string, counts map[bronzeflow.ServerID]uint32) {
	b.init()
	for _, st := range b.services.Load().byName {
		st.pool.SetOwned(origin, counts)
	}
}

// Observe takes in a report of a server's own endpoint, polled by this node
// or by another.
func (b *Balancer) Observe(r bronzepool.Report) {
	b.init()
	if st := b.serviceOf(r.Server); st != nil {
		st.pool.Observe(r)
	}
}

// SetLeaving stops new work for a server, from whatever source, for hold.
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
