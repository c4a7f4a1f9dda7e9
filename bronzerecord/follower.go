package bronzerecord

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzeretry"
)

// Errors that a Source returns.
var (
	// ErrCompacted means that the store no longer has the history after the given
	// revision.
	ErrCompacted = errors.New("history is compacted")
	// ErrThrottled means that the store refuses a call because it gets too many.
	ErrThrottled = errors.New("store is throttling calls")
	// ErrUnavailable means that the store answers that it can't serve a call.
	ErrUnavailable = errors.New("store is unavailable")
)

// Source gives access to a store. Its functions return when ctx is done.
type Source struct {
	// Read returns a page of the records after a name, or of the first ones for "". If
	// stale is set, they may be some seconds old, which costs the store a tenth of a
	// current read.
	Read func(ctx context.Context, after string, stale bool) (Page, error)
	// Watch returns the changes after a revision as soon as there are any, or an empty
	// Delta after a time of its own choice. The Delta's Epoch is the present one of the
	// store.
	Watch func(ctx context.Context, after uint64) (Delta, error)
}

// Event describes the outcome of a Follower's call to the store.
type Event struct {
	// Kind is one of the kinds below.
	Kind string
	// Position is the position of the Set after the call.
	Position Position
	// Delta is the answer of the store, if there is one. Applied reports whether the Set
	// applied it; an answer without changes isn't applied.
	Delta   Delta
	Applied bool
	// Stale says that the contents may be some seconds old.
	Stale bool
	Took  time.Duration
	Err   error
}

// Kinds of events.
const (
	// PageRead: a page of the whole contents was read, and more follow.
	PageRead = "PageRead"
	// Loaded: the whole contents were read.
	Loaded = "Loaded"
	// Watched: a watch was answered.
	Watched = "Watched"
	// Compacted: the store no longer has the history, so the contents are read again.
	Compacted = "Compacted"
	// Failed: a call failed.
	Failed = "Failed"
	// Restored: the store was restored from a backup, so the contents are read again.
	Restored = "Restored"
	// Regressed: the store returned an older state than the Set has.
	Regressed = "Regressed"
)

const (
	// minBackoff and maxBackoff bound the pause after a failure. The longest pause lets a
	// node that couldn't reach the store be up to date well within the four seconds that
	// it has after an outage.
	minBackoff = 40 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
	// DefaultBatchDelay is the pause after an answer with changes, in which further
	// changes accumulate for the next one: a rolling replacement changes the store
	// several times a second, and each call is paid for.
	DefaultBatchDelay = 700 * time.Millisecond
	// emptyStoreInterval is the interval at which an empty store is read.
	emptyStoreInterval = 100 * time.Millisecond
	// standbyInterval is the interval at which an inactive follower checks whether it has
	// become active.
	standbyInterval = 100 * time.Millisecond
)

// Follower keeps a Set up to date with a store. While the store is unavailable, the Set
// stays as it is.
type Follower struct {
	Source Source
	Set    *Set
	// BatchDelay is the pause after an answer with changes, DefaultBatchDelay if 0.
	BatchDelay time.Duration
	// Active reports whether this node reads the store at present; nil means always. The
	// other nodes get the records from their peers.
	Active func() bool
	// Yield reports whether this node lets others load the contents first when the store
	// throttles calls; nil means never.
	Yield func() bool
	// OnEvent is called with each event.
	OnEvent func(Event)

	backoff bronzeretry.Backoff
	// reload makes the next call load the whole contents.
	reload bool
}

// Run follows the store until ctx is done and returns the cause.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		bronzeretry.Pause(ctx, f.step(ctx))
	}
	return context.Cause(ctx)
}

// step makes one call and returns the pause before the next.
func (f *Follower) step(ctx context.Context) time.Duration {
	if f.Active != nil && !f.Active() {
		return standbyInterval
	}
	known := f.Set.Position()
	whole := known.IsZero() || f.reload
	// A load may be stale unless it is a reload: the watch that follows returns what has
	// changed since, if the store still has it.
	stale := whole && !f.reload
	start := time.Now()
	d, err := f.call(ctx, whole, stale, known.Revision)
	took := time.Since(start)
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
		// Changes in another epoch can't be applied to the known revision.
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

// unchangedSince reports whether the Set is still at the known position. If a peer has
// advanced it, the peer may have provided what a load would, so a watch is tried first.
func (f *Follower) unchangedSince(known Position) bool { return f.Set.Position() == known }

func (f *Follower) call(ctx context.Context, whole, stale bool, revision uint64) (d Delta, err error) {
	if whole {
		return f.load(ctx, stale)
	}
	return f.Source.Watch(ctx, revision)
}

// apply applies an answer and returns the pause before the next call.
func (f *Follower) apply(d Delta, whole, stale bool, took time.Duration) time.Duration {
	kind := Watched
	if whole {
		kind = Loaded
	}
	if d.position().Before(f.Set.Position()) {
		// Either the store returned an older state, or a peer has advanced the Set
		// meanwhile. The next watch tells which.
		f.reload = false
		f.event(Event{Kind: Regressed, Delta: d, Took: took})
		return f.pause(&f.backoff, nil)
	}
	f.backoff.Reset()
	f.reload = false
	if !whole && len(d.Changed)+len(d.Removed) == 0 {
		// A watch that was waiting while the store lost its history may have missed
		// changes. The next one starts from the same revision and is told that the
		// history is gone.
		d.To = d.From
	}
	applied := f.Set.Apply(d)
	f.event(Event{Kind: kind, Delta: d, Applied: applied, Stale: stale, Took: took})
	if f.Set.Position().IsZero() {
		// An empty store has no revision to watch from.
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
