package bronzecore

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
	"bronzeusher.example/bronzeusher/bronzepool"
)

// TickInterval is how often the driver calls Tick.
const TickInterval = 10 * time.Millisecond

// MaxHops is how many nodes may relay a packet before it is dropped: one to
// the owner, and one more when two nodes disagree about who that is.
const MaxHops = 2

// Balancer makes the decisions of one node. Its exported fields are set
// before the first call and not changed afterwards; the zero value works
// alone, without peers. All methods may be called concurrently. Methods
// append what the driver has to do to out and return it.
type Balancer struct {
	// Name is this node's name in the fleet.
	Name string
	// AvailabilityZone is this node's. Where the bound takes a flow off its
	// first candidate, a server of the own zone is preferred.
	AvailabilityZone string
	// Capacity bounds the flow table, 0 means bronzeflow.DefaultCapacity.
	Capacity int
	// Timing holds durations; zero values mean the defaults.
	Timing Timing
	// CopyBytesPerSecond paces the copies of exceptions to successors,
	// 0 means DefaultCopyBytesPerSecond, and less than 0 no copies.
	CopyBytesPerSecond int
	// HalfOpenLimit and Open bound the half-open flows and all flows that this
	// node owns, shared fairly among Customers; 0 means no bound.
	HalfOpenLimit int
	OpenLimit     int
	// Lease returns the time until which the view of the fleet may be
	// trusted. A packet that comes later finds the node fenced even if the
	// view was not replaced yet. nil means that it may always be trusted.
	Lease func() time.Time

	once       sync.Once
	started    time.Time
	services   atomic.Pointer[serviceSet]
	view       atomic.Pointer[bronzefleet.View]
	unfencedAt atomic.Uint32
	leaving    atomic.Bool
	update     sync.Mutex // serializes SetSnapshot and SetView

	limits bronzepool.Admission
	table  bronzeflow.Table
	shards [attemptShards]attemptShard
	copies copyStore
	copier copier
	sweep  sweeper
	// learnLimiter and rescuer pace Learn messages.
	learnLimiter      *rate.Limiter
	retransmitLimiter *rate.Limiter
}

// Timing holds the durations that a Balancer works with.
type Timing struct {
	// AttemptTimeout is how long a server may take to answer an opening.
	AttemptTimeout time.Duration
	// QueryTimeout is how long peers may take to answer a query.
	QueryTimeout time.Duration
	// ProbeTimeout is how long a server may take to answer a probe.
	ProbeTimeout time.Duration
	// RecoveryTimeout is how long a flow may stay unknown before a definite end.
	RecoveryTimeout time.Duration
	// LearnedIdleTimeout is how long a learned mapping may be idle before it is
	// checked with the flow's owner again.
	LearnedIdleTimeout time.Duration
	// LearnedMaxAge is how old a learned mapping may grow, idle or not.
	LearnedMaxAge time.Duration
	// ClosedRetention is how long a closed flow is remembered. It has to be longer
	// than Learned.
	ClosedRetention time.Duration
	// UnsettledPeriod is for how long after a change of ownership the previous
	// owners are asked before a flow is placed. It has to be longer than an
	// opening may be pending at one of them.
	UnsettledPeriod time.Duration
	// MinCopyAge is how old an exception has to be to be worth a copy.
	MinCopyAge time.Duration
	// RetryAfter is what a refused caller is told to wait.
	RetryAfter time.Duration
}

// The defaults of Timing.
const (
	DefaultAttemptTimeout     = 800 * time.Millisecond
	DefaultQueryTimeout       = 40 * time.Millisecond
	DefaultProbeTimeout       = 60 * time.Millisecond
	DefaultRecoveryTimeout    = 3 * time.Second
	DefaultLearnedIdleTimeout = 30 * time.Second
	DefaultLearnedMaxAge      = time.Minute
	DefaultClosedRetention    = 60 * time.Second
	DefaultUnsettledPeriod    = 5 * time.Second
	DefaultMinCopyAge         = 2 * time.Second
	DefaultRetryAfter         = time.Second
)

func (t *Timing) setDefaults() {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&t.AttemptTimeout, DefaultAttemptTimeout)
	set(&t.QueryTimeout, DefaultQueryTimeout)
	set(&t.ProbeTimeout, DefaultProbeTimeout)
	set(&t.RecoveryTimeout, DefaultRecoveryTimeout)
	set(&t.LearnedIdleTimeout, DefaultLearnedIdleTimeout)
	set(&t.LearnedMaxAge, DefaultLearnedMaxAge)
	set(&t.ClosedRetention, DefaultClosedRetention)
	set(&t.UnsettledPeriod, DefaultUnsettledPeriod)
	set(&t.MinCopyAge, DefaultMinCopyAge)
	set(&t.RetryAfter, DefaultRetryAfter)
}

// init makes the zero Balancer ready at its first use.
func (b *Balancer) init() {
	b.once.Do(func() {
		b.started = time.Now()
		b.Timing.setDefaults()
		b.table.Capacity = b.Capacity
		b.table.OnEvict = b.onEvict
		b.limits.HalfOpen = b.HalfOpenLimit
		b.limits.Open = b.OpenLimit
		b.copier.setRate(b.CopyBytesPerSecond)
		b.learnLimiter = rate.NewLimiter(learnBytesPerSecond, learnBurst)
		b.retransmitLimiter = rate.NewLimiter(retransmitLearnBytesPerSecond, retransmitLearnBurst)
		b.services.Store(&serviceSet{})
	})
}

// clock returns the time since the first use as a time. It reads only the
// monotonic clock, which takes half as long as to read both; it must not be
// compared with a time of the wall clock, such as the lease.
func (b *Balancer) clock() time.Time {
	return b.started.Add(time.Since(b.started))
}

// seconds returns the table's clock: seconds since the first use, from 1.
func (b *Balancer) seconds(now time.Time) uint32 {
	return uint32(now.Sub(b.started)/time.Second) + 1
}

func toSeconds(d time.Duration) uint32 {
	return uint32((d + time.Second - 1) / time.Second)
}

// SetSnapshot puts a configuration in force. Older revisions are ignored.
func (b *Balancer) SetSnapshot(s *bronzeconf.Snapshot) {
	b.init()
	b.update.Lock()
	defer b.update.Unlock()
	set := b.services.Load()
	if old := set.snapshot; old != nil && s.Revision < old.Revision {
		return
	}
	b.services.Store(set.next(s, &b.limits, b.owners(), b.AvailabilityZone))
	b.sweep.startFastRound()
}

// SetView puts a view of the fleet in force.
func (b *Balancer) SetView(v *bronzefleet.View) {
	b.init()
	b.update.Lock()
	defer b.update.Unlock()
	old := b.view.Load()
	if old != nil && old.Fenced && !v.Fenced {
		b.unfencedAt.Store(b.seconds(b.clock()))
	}
	b.view.Store(v)
	b.services.Load().setOwners(b.owners())
	b.sweep.startFastRound()
}

// owners returns how many nodes place flows.
func (b *Balancer) owners() int {
	v := b.view.Load()
	if v == nil {
		return 1
	}
	return max(v.OwnerCount(), 1)
}

// Leave makes the balancer place nothing new and hand its exceptions over.
// It goes on serving until the driver stops.
func (b *Balancer) Leave() {
	b.init()
	b.leaving.Store(true)
	b.sweep.startFastRound()
}

// fenced reports whether this node has to check its beliefs with its peers
// before it acts as an owner.
func (b *Balancer) fenced(v *bronzefleet.View) bool {
	if v != nil && v.Fenced {
		return true
	}
	// A process that was stopped may handle a packet before its membership
	// has had a chance to notice. The lease tells, because time went on.
	return b.Lease != nil && time.Now().After(b.Lease())
}

// owner returns the flow's owner as this node sees it.
func (b *Balancer) owner(v *bronzefleet.View, hash uint64) string {
	if v == nil {
		return b.Name
	}
	return v.Owner(hash)
}

// recoveryNode returns the node that finds the server of an established flow: the
// owner, or while the owner is suspected to be dead the next in line that is
// not. Finding moves no flow, so it need not wait until the owner is known to
// be dead; its callers would have given up by then. Openings do wait.
func (b *Balancer) recoveryNode(v *bronzefleet.View, hash uint64) string {
	owner := b.owner(v, hash)
	if v == nil || v.Members[owner].Status != bronzelink.Suspect {
		return owner
	}
	order, n := v.Order(hash)
	for _, name := range order[:n] {
		if v.Members[name].Status == bronzelink.Alive {
			return name
		}
	}
	return owner
}
