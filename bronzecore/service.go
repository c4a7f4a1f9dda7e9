package bronzecore

import (
	"sync/atomic"
	"time"

	"bronzeusher.example/bronzeusher/bronzeadmit"
	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzepool"
)

// service is a service in force with the state that is kept across revisions of
// its record.
type service struct {
	conf    *bronzeconf.Service
	pool    *bronzepool.Pool
	budget  *bronzepool.Budget
	account *bronzepool.Account
	// orders decides by the record's own orders, without regard to load.
	orders *bronzeadmit.Pool
}

// serviceSet holds a snapshot and the state of its services. Apart from shared
// it is immutable. Both are one value so that they are replaced together: with
// two lookups, an opening that arrives while a new snapshot is put in force
// could find a service of the former snapshot without state, which would crash
// the node.
type serviceSet struct {
	snapshot *bronzeconf.Snapshot
	byConf   map[*bronzeconf.Service]*service
	byName   map[string]*service
	// ranked is set if services differ in urgency.
	ranked bool
	// servers is the number of backend servers in all pools.
	servers int
	// shared is set if the nodes share the counts of their flows.
	shared atomic.Bool
}

// stateOf returns the state of a service, or nil if it is not in the set.
func (s *serviceSet) stateOf(conf *bronzeconf.Service) *service {
	return s.byConf[conf]
}

// match returns the state of the service that claims a flow's destination, or
// nil if there is none.
func (s *serviceSet) match(key *bronzeflow.Key) *service {
	return s.stateOf(s.snapshot.Match(key))
}

func serviceName(conf *bronzeconf.Service) string {
	return conf.Customer + "/" + conf.Name
}

// next returns the set for a new snapshot. Services in both snapshots keep their
// counts.
func (s *serviceSet) next(snap *bronzeconf.Snapshot, limits *bronzepool.Admission, owners int, zone string) *serviceSet {
	n := &serviceSet{
		snapshot: snap,
		byConf:   make(map[*bronzeconf.Service]*service, len(snap.Services)),
		byName:   make(map[string]*service, len(snap.Services)),
		ranked:   ranked(snap.Services),
	}
	for _, conf := range snap.Services {
		name := serviceName(conf)
		st := &service{conf: conf, account: limits.SetService(conf)}
		if old, ok := s.byName[name]; ok {
			st.pool = old.pool
			st.budget = old.budget
			st.orders = old.orders
		} else {
			st.pool = &bronzepool.Pool{AvailabilityZone: zone}
			st.budget = &bronzepool.Budget{}
			st.orders = &bronzeadmit.Pool{}
		}
		st.pool.SetService(conf)
		n.servers += len(conf.Pool)
		st.budget.SetShare(conf.Retry.Budget)
		n.byConf[conf] = st
		n.byName[name] = st
	}
	n.setOwners(owners)
	for name, old := range s.byName {
		if _, ok := n.byName[name]; !ok {
			limits.RemoveService(old.conf)
		}
	}
	return n
}

// setOwners sets the number of nodes that place flows in all pools. If there are
// too many pairs of node and server to share counts in time, they are not
// shared.
func (s *serviceSet) setOwners(n int) {
	shared := n*s.servers <= bronzepool.MaxSharedPairs
	s.shared.Store(shared)
	for _, st := range s.byName {
		st.pool.SetOwners(n)
		st.pool.SetCountsShared(shared)
	}
}

// countEnded removes a flow in the table from the counts.
func (st *service) countEnded(e bronzeflow.Entry) {
	st.pool.Ended(e.Server)
	st.account.Ended(e.State != bronzeflow.Pending)
}

// countAdopted counts an established flow that another node placed.
func (st *service) countAdopted(e bronzeflow.Entry) {
	st.pool.Opened(e.Server)
	st.account.Adopt()
}

// denialReasons maps a denial of admission to its Reason.
var denialReasons = map[bronzepool.Denial]Reason{
	bronzepool.Admitted:           None,
	bronzepool.HalfOpenDenied:     HalfOpenLimit,
	bronzepool.OpenDenied:         OpenLimit,
	bronzepool.RateDenied:         RateLimit,
	bronzepool.NodeHalfOpenDenied: HalfOpenLimit,
	bronzepool.NodeOpenDenied:     OpenLimit,
}

// admit counts a new flow and returns None, or returns why it is not admitted.
func (st *service) admit() Reason {
	return denialReasons[st.account.Admit()]
}

// ifAvailable returns id if the server may take new work, otherwise 0.
func (st *service) ifAvailable(id bronzeflow.ServerID) bronzeflow.ServerID {
	if st.pool.Available(id) {
		return id
	}
	return 0
}

// derivable reports whether any node can compute that the flow is at server id.
// A server can't be probed for a flow of datagrams, so if it is not available,
// a node that doesn't know the flow would place it elsewhere as a new one.
func (st *service) derivable(key *bronzeflow.Key, hash uint64, id bronzeflow.ServerID) bool {
	var buf [1]bronzeflow.ServerID
	c := st.pool.Candidates(hash, 1, buf[:0])
	if len(c) != 1 || c[0] != id {
		return false
	}
	return key.Protocol != bronzeflow.UDP || st.pool.Available(id)
}

func (st *service) openDeadline() time.Duration {
	if st.conf.OpenDeadline > 0 {
		return st.conf.OpenDeadline
	}
	return bronzeconf.DefaultOpenDeadline
}
