package bronzefleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// Errors returned by Run.
var (
	// ErrNameTaken means that another process with this name was alive
	// throughout NameWait.
	ErrNameTaken = errors.New("another process uses this name")
	// ErrReplaced means that a newer process has taken over the name, after
	// the fleet had declared this one dead.
	ErrReplaced = errors.New("a newer process has replaced this one")
)

// The defaults of Fleet's fields.
const (
	DefaultInterval               = 500 * time.Millisecond
	DefaultLargeInterval          = time.Second // with more than largeFleet members
	DefaultJoinWait               = 3 * time.Second
	DefaultNameWait               = 30 * time.Second
	DefaultPartitionTimeout       = 60 * time.Second
	DefaultListedPartitionTimeout = 10 * time.Minute
	DefaultLoadBytesPerSecond     = 2048
)

const (
	largeFleet = 50
	// ticksPerInterval is the number of times that timers are checked in one
	// heartbeat interval.
	ticksPerInterval = 4
	// leaseIntervals is how long a view may be trusted after a tick, in
	// heartbeat intervals. It is less than others take to declare this node
	// dead (suspectIntervals and deadIntervals), so that a paused owner has
	// stopped placing flows before another node places any in its slots.
	leaseIntervals = 3
	// fenceIntervals bounds the wait for an answer after a pause, in heartbeat
	// intervals.
	fenceIntervals = 6
)

// Fleet maintains the membership of one node: it announces the node, monitors
// some of the other members, and builds a View from what it learns. It opens
// no socket: messages go out through Send and come in through Handle. Its
// exported fields must not change after the first call of a method; zero
// values mean the defaults, and nil functions are not called.
type Fleet struct {
	// Self is this node. Incarnation is set from the clock if it is 0.
	Self bronzelink.Member
	// Interval is the time between heartbeats. By default it is
	// DefaultInterval, or DefaultLargeInterval in a large fleet.
	Interval time.Duration
	// JoinWait bounds the wait for a peer while joining.
	JoinWait time.Duration
	// NameWait bounds the wait for this node's name while another process
	// uses it.
	NameWait time.Duration
	// PartitionTimeout is how long a member that died without leaving counts
	// as possibly alive on the other side of a partition. While the list of
	// VMs contains the member, the longer of it and ListedPartitionTimeout
	// applies.
	PartitionTimeout, ListedPartitionTimeout time.Duration
	// LoadBytesPerSecond bounds the encoded bytes of Load messages sent.
	LoadBytesPerSecond int

	// Send sends m to a member, of which only the ControlAddress may be known.
	// It must not block.
	Send func(to bronzelink.Member, m *bronzelink.Message) error
	// OnView is called with new views, in order of Version. It must not call
	// methods of the Fleet other than View and Lease.
	OnView func(v *View)
	// OnLoad is called with each Load that is newer than the last one of its
	// Origin.
	OnLoad func(l *bronzelink.Load)
	// OnBehind is called for each message which shows that peer has a higher
	// configuration revision, so possibly several times until SetRevision is
	// called with that revision.
	OnBehind func(peer bronzelink.Member)
	// OnRecordsRequest and OnRecords are called with these messages.
	OnRecordsRequest func(from string, r *bronzelink.RecordsRequest)
	OnRecords        func(from string, r *bronzelink.Records)
	// Count is called with the reason of each refusal and each decision that
	// an operator may want to see. It must not call methods of the Fleet.
	Count func(reason string)
	// Sent is called with the encoded size of each message sent.
	Sent func(n int)

	newView func(self string, members []bronzelink.Member, prev *View, now time.Time) *View

	view             atomic.Pointer[View]
	lease            atomic.Int64 // Unix nanoseconds
	peers            atomic.Pointer[peers]
	viewMu           sync.Mutex   // orders the calls of OnView
	notifiedVersion  uint64       // the last Version passed to OnView; guarded by viewMu
	load             loadSpreader // has its own lock
	mu               sync.Mutex   // guards what follows
	started          bool
	self             bronzelink.Member
	phase            phase
	entries          map[string]*entry
	suspectOrDead    map[string]*entry // the entries that are suspect or dead
	vms              map[string]bronzeconf.VM
	vmsAt            time.Time
	seeds            []bronzelink.Member
	dirty            bool   // the view must be rebuilt
	takenOver        bool   // others may have owned this node's slots since the last view
	deathIncarnation uint64 // the highest incarnation that others declared dead
	fenced           bool
	partitioned      bool
	catchUp          catchUp
	digests          digests
	updates          map[string]struct{}
	updatesSent      int       // since the last heartbeats
	lastSync         time.Time // when digests last triggered an exchange
	watches          map[string]*watch
	indirectChecks   []indirectCheck
	leaveUnacked     map[string]struct{} // neighbours that have not acknowledged the leave
	leaveAcked       chan struct{}
	failure          error

	sequence      uint64
	lastTick      time.Time
	nextHeartbeat time.Time
	lastRecontact time.Time
	nextContact   int
	nameTakenAt   time.Time
	joinStarted   time.Time

	out       []outgoing
	callbacks []func()
}

// phase is the stage of this node's membership.
type phase uint8

const (
	joining phase = iota
	joined
	leaving
	left
)

// outgoing is a queued message, which is sent after mu is released.
type outgoing struct {
	to bronzelink.Member
	m  *bronzelink.Message
}

// Run maintains the membership until ctx is done. If Leave was called before,
// it then tells the peers that this node has left. Its errors are ErrNameTaken
// and ErrReplaced.
func (f *Fleet) Run(ctx context.Context) (err error) {
	defer annotate(&err, "keeping the membership of "+f.Self.Name)
	f.do(func(time.Time) {})
	ticker := time.NewTicker(orDefault(f.Interval, DefaultInterval) / ticksPerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			f.do(f.announceLeft)
			return nil
		case <-ticker.C:
		}
		f.do(f.tick)
		if err = f.failed(); err != nil {
			return err
		}
	}
}

// View returns the current view. It is never nil.
func (f *Fleet) View() *View {
	if v := f.view.Load(); v != nil {
		return v
	}
	f.do(func(time.Time) {})
	return f.view.Load()
}

// Lease returns the time until which the view may be trusted. The lease expires
// during a pause of the process, so a caller that checks it detects the pause
// even before Run does. Otherwise a node that was paused would place flows that
// others own by now.
func (f *Fleet) Lease() time.Time { return time.Unix(0, f.lease.Load()) }

// Join adds seeds to the members that are asked for the list of members. Only
// the ControlAddress of a seed needs to be known.
func (f *Fleet) Join(seeds []bronzelink.Member) {
	f.do(func(time.Time) { f.seeds = append(f.seeds, seeds...) })
}

// SetVMs sets the platform's list of the balancers' VMs. The list names members
// to contact and confirms that dead ones are gone. It never removes a member
// that answers.
func (f *Fleet) SetVMs(vms []bronzeconf.VM) {
	f.do(func(now time.Time) {
		f.vms = make(map[string]bronzeconf.VM, len(vms))
		for _, vm := range vms {
			f.vms[vm.Name] = vm
		}
		f.vmsAt = now
	})
}

// SetRevision tells the peers that the configuration revision is in force on
// this node. A revision that isn't higher than the last one is ignored.
func (f *Fleet) SetRevision(revision uint64) {
	f.do(func(now time.Time) {
		if revision <= f.self.Revision {
			return
		}
		f.self.Revision = revision
		f.dirty = true
		f.finishCatchUp(now)
		if f.announced() {
			f.sendHeartbeats(f.neighbours())
		}
	})
}

// Leave tells the peers that this node is leaving: it owns no flows from then
// on, and when Run ends it announces that the node has left. Leave returns when
// all neighbours have acknowledged it, or with the error of ctx.
func (f *Fleet) Leave(ctx context.Context) (err error) {
	defer annotate(&err, "leaving the fleet")
	var told chan struct{}
	f.do(func(time.Time) { told = f.announceLeave() })
	select {
	case <-told:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// announceLeave tells the neighbours that this node is leaving, and returns a
// channel that is closed when all of them have acknowledged it.
func (f *Fleet) announceLeave() chan struct{} {
	if f.phase == joined {
		f.phase = leaving
		f.self.Status = bronzelink.Leaving
		f.dirty = true
		f.queueUpdate(f.self.Name)
		f.sendUpdates()
		f.leaveUnacked = map[string]struct{}{}
		f.leaveAcked = make(chan struct{})
		for _, to := range f.neighbours() {
			f.leaveUnacked[to.Name] = struct{}{}
		}
		f.sendHeartbeats(f.neighbours()) // sent after the update on the same links, so their answers acknowledge it
		f.ackLeave("")
	}
	if f.phase == joining {
		f.phase = left // not announced to any member yet
	}
	if f.leaveAcked == nil {
		f.leaveAcked = make(chan struct{})
		close(f.leaveAcked)
	}
	return f.leaveAcked
}

// ackLeave records that the named neighbour knows that this node is leaving. With
// an empty name it only checks whether all do.
func (f *Fleet) ackLeave(name string) {
	if f.leaveUnacked == nil {
		return
	}
	delete(f.leaveUnacked, name)
	if len(f.leaveUnacked) == 0 {
		f.leaveUnacked = nil
		close(f.leaveAcked)
	}
}

// announceLeft tells the peers that this node has left, so that they don't
// have to detect it.
func (f *Fleet) announceLeft(time.Time) {
	if f.phase != leaving {
		return
	}
	f.phase = left
	f.self.Status = bronzelink.Left
	f.queueUpdate(f.self.Name)
}

// Handle processes a message from the named peer.
func (f *Fleet) Handle(from string, m *bronzelink.Message) {
	switch {
	case m.Load != nil:
		f.load.receive(f, from, m.Load)
	case m.RecordsRequest != nil && f.OnRecordsRequest != nil:
		f.OnRecordsRequest(from, m.RecordsRequest)
	case m.Records != nil && f.OnRecords != nil:
		f.OnRecords(from, m.Records)
	default:
		f.do(func(now time.Time) { f.handle(from, m, now) })
	}
}

// handle processes a message about membership.
func (f *Fleet) handle(from string, m *bronzelink.Message, now time.Time) {
	if e := f.entries[from]; e != nil {
		e.lastHeard = now
	}
	switch {
	case m.Heartbeat != nil:
		f.onHeartbeat(from, m.Heartbeat, now)
	case m.HeartbeatAck != nil:
		f.onHeartbeatAck(from, m.HeartbeatAck, now)
	case m.Members != nil:
		f.onMembers(from, m.Members, now)
	case m.Check != nil:
		f.onCheck(from, m.Check, now)
	case m.CheckAck != nil:
		f.onCheckAck(from, m.CheckAck, now)
	}
}

// LinkLost reports that the link to the named peer failed. If the peer is
// monitored by this node, it is checked at once. If err is
// bronzelink.ErrNameTaken, another process uses this node's name.
func (f *Fleet) LinkLost(name string, err error) {
	f.do(func(now time.Time) {
		if errors.Is(err, bronzelink.ErrNameTaken) {
			f.nameTaken(now)
			return
		}
		f.failChecks(name)
		if w := f.watches[name]; w != nil && !w.checking && !f.fenced {
			f.startCheck(name, w, now)
		}
	})
}

// Admit returns bronzelink.ErrNameTaken if another process with the peer's name
// is alive. It can be used as Mesh.Accept.
func (f *Fleet) Admit(peer bronzelink.Member) (err error) {
	f.do(func(time.Time) {
		e := f.entries[peer.Name]
		if e != nil && f.nameConflict(e, peer) {
			f.count(CountNameTaken)
			err = bronzelink.ErrNameTaken
		}
	})
	return err
}

// do runs step under the lock. After releasing it, do makes the callbacks and
// sends the messages that step queued.
func (f *Fleet) do(step func(now time.Time)) {
	f.mu.Lock()
	now := time.Now()
	f.init(now)
	f.checkLease(now)
	step(now)
	f.sendUpdates()
	f.rebuild(now)
	out, calls := f.out, f.callbacks
	f.out, f.callbacks = nil, nil
	f.mu.Unlock()
	for _, call := range calls {
		call()
	}
	f.notifyView()
	for _, o := range out {
		f.transmit(o.to, o.m)
	}
}

// init initializes the zero value on first use.
func (f *Fleet) init(now time.Time) {
	if f.started {
		return
	}
	f.started = true
	f.self = f.Self
	f.self.Status = bronzelink.Alive
	if f.self.Incarnation == 0 {
		f.self.Incarnation = uint64(now.UnixMilli()) << startShift
	}
	if f.newView == nil {
		f.newView = NewView
	}
	f.entries = map[string]*entry{}
	f.suspectOrDead = map[string]*entry{}
	f.updates = map[string]struct{}{}
	f.watches = map[string]*watch{}
	f.lastTick, f.nextHeartbeat, f.joinStarted, f.lastRecontact = now, now, now, now
	f.dirty = true
}

// tick does the periodic work that is due.
func (f *Fleet) tick(now time.Time) {
	f.detectPause(now)
	if f.phase == joining {
		f.join(now)
	}
	f.finishCatchUp(now)
	if !now.Before(f.nextHeartbeat) && f.announced() {
		f.nextHeartbeat = now.Add(f.interval())
		f.updatesSent = 0
		f.sendHeartbeats(f.targets())
	}
	f.expireChecks(now)
	if !f.fenced {
		f.detectFailures(now)
		f.lease.Store(now.Add(leaseIntervals * f.interval()).UnixNano())
	}
	f.recontactDead(now)
	f.checkPartition(now)
	f.callbacks = append(f.callbacks, func() { f.load.sendDue(f, now) })
}

func (f *Fleet) failed() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failure
}

func (f *Fleet) count(reason string) {
	if f.Count != nil {
		f.Count(reason)
	}
}

// interval returns the time between heartbeats at the current fleet size.
func (f *Fleet) interval() time.Duration {
	if f.Interval <= 0 && len(f.entries) >= largeFleet {
		return DefaultLargeInterval
	}
	return orDefault(f.Interval, DefaultInterval)
}

// announced reports whether this node has announced itself to the others.
func (f *Fleet) announced() bool { return f.phase == joined || f.phase == leaving }

func (f *Fleet) nextSequence() uint64 {
	f.sequence++
	return f.sequence
}

// orDefault returns v, or d if v is not positive.
func orDefault[T ~int | ~int64](v, d T) T {
	if v <= 0 {
		return d
	}
	return v
}

// annotate wraps a function's named error result with what it was doing.
func annotate(err *error, doing string) {
	if *err != nil {
		*err = errors.Wrap(*err, doing)
	}
}
