package bronzerecord

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzeretry"
)

// Errors that a Source returns.
var (
	// ErrCompacted says that the store no longer has the history after the
	// revision that was asked for.
	ErrCompacted = errors.New("history is compacted")
	// ErrThrottled says that the store has answered that it is asked too much.
	ErrThrottled = errors.New("store asks to be asked less")
	// ErrUnavailable says that the store has answered that it can't.
	ErrUnavailable = errors.New("store is unavailable")
)

// Source reads a store. Its functions return when ctx is done.
type Source struct {
	// Read returns the records after a name, or the first ones for "", as many as
	// a page has. If stale, they may be those of some seconds ago, which costs the store
	// a tenth.
	Read func(ctx context.Context, after string, stale bool) (Page, error)
	// Watch returns what changed after a revision, as soon as something has,
	// or an empty Delta after a wait of its own choice. The Delta tells the epoch that
	// the store is in now.
	Watch func(ctx context.Context, after uint64) (Delta, error)
}

// Event is something that a Follower reports.
type Event struct {
	// Kind is one of the Event constants.
	Kind string
	// Position is that of the Set then.
	Position Position
	// Delta is what the store answered, if it did, and Applied says that the Set
	// took it in: one without news has nothing to take in.
	Delta   Delta
	Applied bool
	// Stale says that the contents may be those of some seconds ago.
	Stale bool
	Took  time.Duration
	Err   error
}

// The kinds of events.
const (
	// Loaded: the whole contents were read.
	Loaded = "Loaded"
	// Watched: a watch was answered.
	Watched = "Watched"
	// Compacted: the history was gone, so the contents are read again.
	Compacted = "Compacted"
	// Failed: a call failed.
	Failed = "Failed"
	// Restored: the store came back from a copy, so the contents are read again.
	Restored = "Restored"
	// Regressed: the store showed an older state than is known.
	Regressed = "Regressed"
)

const (
	// minBackoff and maxBackoff bound the pause after a failure. The longest
	// lets a node that could not reach the store be up to date well within the
	// four seconds that it has after an outage.
	minBackoff = 40 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
	// DefaultBatchDelay is the pause after an answer with news, in which further
	// changes gather for the next: a rolling replacement changes the store
	// several times a second, and each answer is a call that is paid for.
	DefaultBatchDelay = 700 * time.Millisecond
	// emptyStoreInterval is how often an empty store is read.
	emptyStoreInterval = 100 * time.Millisecond
	// standbyInterval is how often a follower that isn't active looks whether
	// it has become so.
	standbyInterval = 100 * time.Millisecond
)

// Follower keeps a Set up to date from a store. While the store is away, the
// Set stays as it is.
type Follower struct {
	Source Source
	Set    *Set
	// BatchDelay is the pause after an answer with news, DefaultGather if 0.
	BatchDelay time.Duration
	// Active says whether this node is one of those that read the store; nil
	// means always. The others get the records from their peers.
	Active func() bool
	// Yield says whether this node lets others load the contents first where the
	// store is asked too much; nil means that it doesn't.
	Yield func() bool
	// OnEvent is called with each event.
	OnEvent func(Event)

	backoff bronzeretry.Backoff
	// reload asks for the whole contents next.
	reload bool
}

// Run follows until ctx is done and returns the cause.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		bronzeretry.Pause(ctx, f.step(ctx))
	}
	return context.Cause(ctx)
}

// step makes one call and returns for how long to pause before the next.
func (f *Follower) step(ctx context.Context) time.Duration {
	if f.Active != nil && !f.Active() {
		return standbyInterval
	}
	known := f.Set.Position()
	whole := known.IsZero() || f.reload
	// A watch brings what changed since, if the store still has it.
	stale := whole && !f.reload
	begun := time.Now()
	d, err := f.call(ctx, whole, stale, known.Revision)
	took := time.Since(begun)
	if ctx.Err() != nil {
		return 0
	}
	if errors.Is(err, ErrCompacted) {
		f.reload = f.unchangedSince(known)
		f.event(Event{Kind: Compacted, Took: took, Err: err})
		return 0
	}
	if errors.Is(err, errOvertaken) {
		return 0
	}
	if errors.Is(err, errRestored) || err == nil && !whole && known.Epoch < d.Epoch {
		// Events of another history than that of the known revision lead nowhere.
		f.reload = f.unchangedSince(known)
		f.event(Event{Kind: Restored, Delta: d, Took: took})
		return 0
	}
	if err != nil {
		f.event(Event{Kind: Failed, Took: took, Err: err})
		return f.pause(&f.backoff, err)
	}
	return f.apply(d, whole, stale, took)
}

// unchangedSince reports whether no peer has brought the Set further than a position. One that
// has may have brought the records that a load would, so that a watch is tried first.
func (f *Follower) unchangedSince(known Position) bool { return f.Set.Position() == known }

func (f *Follower) call(ctx context.Context, whole, stale bool, revision uint64) (d Delta, err error) {
	if whole {
		return f.load(ctx, stale)
	}
	return f.Source.Watch(ctx, revision)
}

// apply applies an answer.
func (f *Follower) apply(d Delta, whole, stale bool, took time.Duration) time.Duration {
	kind := Watched
	if whole {
		kind = Loaded
	}
	if d.position().Before(f.Set.Position()) {
		// What it shows was in force before, or records came from a peer meanwhile: a
		// watch tells which.
		f.reload = false
		f.event(Event{Kind: Regressed, Delta: d, Took: took})
		return f.pause(&f.backoff, nil)
	}
	f.backoff.Reset()
	f.reload = false
	if !whole && len(d.Changed)+len(d.Removed) == 0 {
		// A watch that waited while the store lost its history may have missed
		// changes. The next one starts from where this one did, and is told.
		d.To = d.From
	}
	applied := f.Set.Apply(d)
	f.event(Event{Kind: kind, Delta: d, Applied: applied, Stale: stale, Took: took})
	if f.Set.Position().IsZero() {
		// An empty store has nothing to watch from.
		return emptyStoreInterval
	}
	if whole || len(d.Changed)+len(d.Removed) == 0 {
		return 0
	}
	if f.BatchDelay != 0 {
		return f.BatchDelay
	}
	return DefaultBatchDelay
}

func (f *Follower) event(e Event) {
	if f.OnEvent != nil {
		e.Position = f.Set.Position()
		f.OnEvent(e)
	}
}
