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

// Errors that end Run.
var (
	// ErrNameTaken tells that another process of this name was alive for all of
	// NameWait.
	ErrNameTaken = errors.New("another process uses this name")
	// ErrReplaced tells that a newer process has taken the name over, after
	// the fleet had given this one up.
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
	// ticksPerInterval is how often timers are looked at in one interval.
	ticksPerInterval = 4
	// leaseIntervals is how long a view may be trusted after a round. It is
	// less than what others need to declare this node dead (suspectIntervals
	// and deadIntervals), so that a paused owner has stopped placing before
	// anybody else places in its slots.
	leaseIntervals = 3
	// fenceIntervals bounds the wait for an answer after a pause.
	fenceIntervals = 6
)

// Fleet keeps one node's membership: it says what the node is, watches some
// of the others, and makes a View of what it learns. It opens no socket.
// Messages go out through Send and come in through Handle. Its exported
// fields must not change after the first call of a method; zero values mean
// the defaults, and nil functions are not called.
type Fleet struct {
	// Self is this node. Incarnation is set from the clock if it is 0.
	Self bronzelink.Member
	// Interval is the time between heartbeats. By default it is
	// DefaultInterval, or DefaultLargeInterval in a large fleet.
	Interval time.Duration
	// JoinWait bounds the wait for a first peer.
	JoinWait time.Duration
	// NameWait bounds the wait for the name of a process that still answers.
	NameWait time.Duration
	// PartitionTimeout is how long a member that died without leaving may be thought
	// alive on the other side of a partition, and ListedPartitionTimeout is the same
	// while the list of VMs still holds it.
	PartitionTimeout, ListedPartitionTimeout time.Duration
	// LoadBytesPerSecond bounds the encoded bytes of Load messages sent.
	LoadBytesPerSecond int

	// Send sends m to a member, of which only the ControlAddress may be known.
	// It must not wait.
	Send func(to bronzelink.Member, m *bronzelink.Message) error
	// OnView is called with each new view, in order of Version. It must not
	// call the Fleet, but for View and Lease.
	OnView func(v *View)
	// OnLoad is called with each Load that is newer than the last one of its
	// Origin.
	OnLoad func(l *bronzelink.Load)
	// OnBehind is called with each sign that peer has a higher configuration
	// revision, so with several until SetRevision has caught up.
	OnBehind func(peer bronzelink.Member)
	// OnRecordsRequest and OnRecords are called with these messages.
	OnRecordsRequest func(from string, r *bronzelink.RecordsRequest)
	OnRecords        func(from string, r *bronzelink.Records)
	// Count is called with the reason of each refusal and each decision that
	// an operator may want to see. It must not call the Fleet.
	Count func(reason string)
	// Sent is called with the encoded size of each message sent.
	Sent func(n int)

	newView func(self string, members []bronzelink.Member, prev *View, now time.Time) *View

	view             atomic.Pointer[View]
	lease            atomic.Int64 // Unix nanoseconds
	peers            atomic.Pointer[peers]
	viewMu           sync.Mutex   // orders the calls of OnView
	notifiedVersion  uint64       // the last Version that OnView saw, guarded by viewMu
	load             loadSpreader // has a lock of its own
	mu               sync.Mutex   // guards what follows
	started          bool
	self             bronzelink.Member
	phase            phase
	entries          map[string]*entry
	suspectOrDead    map[string]*entry // those that are suspect or dead
	vms              map[string]bronzeconf.VM
	vmsAt            time.Time
	seeds            []bronzelink.Member
	dirty            bool   // the view has to be built again
	takenOver        bool   // others may have owned this node's slots meanwhile
	deathIncarnation uint64 // the highest incarnation that others held dead
	fenced           bool
	partitioned      bool
	catchUp          catchUp
	digests          digests
	updates          map[string]struct{}
	updatesSent      int       // news passed on since the last heartbeat
	lastSync         time.Time // when a comparison of lists was last asked for
	watches          map[string]*watch
	indirectChecks   []indirectCheck
	leaveUnacked     map[string]struct{} // neighbours that don't know of the leave
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

// phase is how far this node has come in its life.
type phase uint8

const (
	joining phase = iota
	joined
	leaving
	left
)

// outgoing is a message that is sent after mu is released.
type outgoing struct {
	to bronzelink.Member
	m  *bronzelink.Message
}

// Run keeps the membership until ctx is done, and then tells the peers that
// this node has left, if Leave was called before. Its errors are ErrNameTaken
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

// View returns the view of now. It is never nil.
func (f *Fleet) View() *View {
	if v := f.view.Load(); v != nil {
		return v
	}
	f.do(func(time.Time) {})
	return f.view.Load()
}

// Lease returns the time until which the view may be trusted. It passes while
// the process is paused, so whoever looks at it before Run does sees the pause
// too: a paused node would otherwise place flows that others own by now.
func (f *Fleet) Lease() time.Time { return time.Unix(0, f.lease.Load()) }

// Join adds members, of which only the ControlAddress need be known, to those
// that are asked for the list of members.
func (f *Fleet) Join(seeds []bronzelink.Member) {
	f.do(func(time.Time) { f.seeds = append(f.seeds, seeds...) })
}

// SetVMs hands over the platform's list of the VMs of balancers. It names
// members to contact, and confirms that dead ones are gone. It never removes
// a member that answers.
func (f *Fleet) SetVMs(vms []bronzeconf.VM) {
	f.do(func(now time.Time) {
		f.vms = make(map[string]bronzeconf.VM, len(vms))
		for _, vm := range vms {
			f.vms[vm.Name] = vm
		}
		f.vmsAt = now
	})
}

// SetRevision tells the peers that the configuration revision is in force
// here. It never goes back.
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
// on, and Run tells at its end that it has left. It returns when all
// neighbours have answered, or with the error of ctx.
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

// announceLeave returns a channel that is closed when the neighbours know.
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
		f.sendHeartbeats(f.neighbours()) // answered after the news, on the same links
		f.ackLeave("")
	}
	if f.phase == joining {
		f.phase = left // nobody knows of this node yet
	}
	if f.leaveAcked == nil {
		f.leaveAcked = make(chan struct{})
		close(f.leaveAcked)
	}
	return f.leaveAcked
}

// ackLeave notes that the neighbour of that name knows that this node leaves.
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

// announceLeft tells the peers that this node is gone, so that they need not find
// out.
func (f *Fleet) announceLeft(time.Time) {
	if f.phase != leaving {
		return
	}
	f.phase = left
	f.self.Status = bronzelink.Left
	f.queueUpdate(f.self.Name)
}

// Handle takes a message from the peer of that name.
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

// handle takes a message about membership.
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

// LinkLost tells that the link to the named peer failed, which is a reason to
// look after it at once.
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

// Admit returns bronzelink.ErrNameTaken if another process of the peer's name
// is alive. It fits Mesh.Accept.
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

// do runs a step under the lock, and then what it left to be done without.
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

// init prepares the zero value.
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

// tick does what is due.
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
	f.callbacks = append(f.callbacks, func() { f.load.pace(f, now) })
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

// interval returns the time between heartbeats at today's size.
func (f *Fleet) interval() time.Duration {
	if f.Interval <= 0 && len(f.entries) >= largeFleet {
		return DefaultLargeInterval
	}
	return orDefault(f.Interval, DefaultInterval)
}

// announced reports whether the others know of this node.
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
