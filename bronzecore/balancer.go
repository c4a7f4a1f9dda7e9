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

// TickInterval is the interval at which the driver calls Balancer.Tick.
const TickInterval = 10 * time.Millisecond

// MaxHops is the number of times a packet may be relayed before it is dropped:
// once to the owner, and once more if two nodes disagree about the owner.
const MaxHops = 2

// Balancer makes the decisions of one node. Its exported fields must be set
// before the first call and not changed afterwards. The zero value is a
// balancer without peers. All methods may be called concurrently. Methods with
// a parameter out append the actions for the driver to it and return it.
type Balancer struct {
	// Name is this node's name in the fleet.
	Name string
	// AvailabilityZone is this node's zone. If the bound on imbalance moves a
	// flow off its first candidate, a server in this zone is preferred.
	AvailabilityZone string
	// Capacity is the maximum number of entries in the flow table. 0 means
	// bronzeflow.DefaultCapacity.
	Capacity int
	// Timing holds the durations; zero values mean the defaults.
	Timing Timing
	// CopyBytesPerSecond limits the rate of copies of exceptions to
	// successors. 0 means DefaultCopyBytesPerSecond; a negative value disables
	// copies.
	CopyBytesPerSecond int
	// HalfOpenLimit and OpenLimit are the maximum numbers of half-open flows
	// and of all flows that this node owns, shared fairly among Customers.
	// 0 means no limit.
	HalfOpenLimit int
	OpenLimit     int
	// Lease returns the time until which the view of the fleet may be
	// trusted. After it the node is fenced, even if the view has not been
	// replaced yet. nil means that the view may always be trusted.
	Lease func() time.Time

	once       sync.Once
	started    time.Time
	services   atomic.Pointer[serviceSet]
	view       atomic.Pointer[bronzefleet.View]
	unfencedAt atomic.Uint32
	leaving    atomic.Bool
	update     sync.Mutex // serializes SetSnapshot and SetView

	limits   bronzepool.Admission
	overload overload

	table  bronzeflow.Table
	shards [attemptShards]attemptShard
	copies copyStore
	copier copier
	sweep  sweeper
	// learnLimiter and retransmitLimiter limit the rate of Learn messages.
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
	// RecoveryTimeout is how long the server of a flow may stay unknown before
	// the search is given up.
	RecoveryTimeout time.Duration
	// LearnedIdleTimeout is how long a learned mapping may be idle before it
	// is checked with the flow's owner again.
	LearnedIdleTimeout time.Duration
	// LearnedMaxAge is the maximum age of a learned mapping, idle or not.
	LearnedMaxAge time.Duration
	// ClosedRetention is how long the entry of a closed flow is kept. It must
	// be longer than LearnedIdleTimeout.
	ClosedRetention time.Duration
	// UnsettledPeriod is how long after a change of ownership the previous
	// owners are queried before a flow is placed. It must be longer than an
	// opening may be pending at one of them.
	UnsettledPeriod time.Duration
	// MinCopyAge is the age from which an exception is copied.
	MinCopyAge time.Duration
	// RetryAfter is the time that a refused caller is told to wait.
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

// init initializes the Balancer on first use.
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

// clock returns the current time, derived from the time of the first use and
// the monotonic clock alone, which takes half as long as reading both clocks.
// The result must not be compared with a wall-clock time such as the lease.
func (b *Balancer) clock() time.Time {
	return b.started.Add(time.Since(b.started))
}

// seconds converts a time to the clock of the flow table: seconds since the
// first use, starting at 1.
func (b *Balancer) seconds(now time.Time) uint32 {
	return uint32(now.Sub(b.started)/time.Second) + 1
}

func toSeconds(d time.Duration) uint32 {
	return uint32((d + time.Second - 1) / time.Second)
}

// SetSnapshot puts a configuration in force. A snapshot older than the one in
// force is ignored.
func (b *Balancer) SetSnapshot(s *bronzeconf.Snapshot) {
	b.init()
	b.update.Lock()
	defer b.update.Unlock()
	set := b.services.Load()
	if old := set.snapshot; old != nil && s.Revision < old.Revision {
		return
	}
	next := set.next(s, &b.limits, b.owners(), b.AvailabilityZone)
	b.overload.setServices(next)
	b.services.Store(next)
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

// Leave makes the balancer stop placing new flows and copy its exceptions to
// their next owners. It keeps serving existing flows until the driver stops.
func (b *Balancer) Leave() {
	b.init()
	b.leaving.Store(true)
	b.sweep.startFastRound()
}

// fenced reports whether this node must synchronize with its peers before it
// may act as an owner.
func (b *Balancer) fenced(v *bronzefleet.View) bool {
	if v != nil && v.Fenced {
		return true
	}
	// A process that was paused may handle a packet before its membership
	// notices the pause. The lease detects it, because the wall clock went on.
	return b.Lease != nil && time.Now().After(b.Lease())
}

// owner returns the flow's owner in view v.
func (b *Balancer) owner(v *bronzefleet.View, hash uint64) string {
	if v == nil {
		return b.Name
	}
	return v.Owner(hash)
}

// recoveryNode returns the node that recovers the server of an established
// flow: the owner or, while the owner is suspected to be dead, the next node in
// the flow's order that is alive. Recovery moves no flow, so it need not wait
// until the owner is confirmed dead; callers would have given up by then.
// Openings do wait.
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
