package bronzeconf

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzeretry"
)

// The reasons that Reader.Count is called with.
const (
	// PlatformFailed: the index couldn't be read.
	PlatformFailed = "PlatformFailed"
	// PlatformStale: the platform showed an older index than is in force.
	PlatformStale = "PlatformStale"
	// IndexRefused: the index has faults.
	IndexRefused = "IndexRefused"
	// RecordUnread: a record couldn't be read, or only in an older revision
	// than its index lists.
	RecordUnread = "RecordUnread"
)

const (
	// minBackoff and maxBackoff bound the pause after a failure. The longest
	// one leaves time to read everything within seconds of a recovery.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// minWatch is the shortest time between two watches without news, in
	// case the platform doesn't wait.
	minWatch = time.Second
	// idleInterval is how often a reader that isn't active looks whether it
	// has become so.
	idleInterval = time.Second
	// readers is how many records are read at once.
	readers = 8
	// wholeTries is how often an index is tried before it is applied without
	// the records that can't be read, so that one of them doesn't hold the
	// others up.
	wholeTries = 3
)

// Reader keeps a Store up to date from the platform. While the platform is
// down, the Store goes on with what it has.
type Reader struct {
	Platform Platform
	Store    *Store
	// Active says whether this node is one of those that read the platform;
	// nil means always. The others get records from their peers.
	Active func() bool
	// Count counts an event of the given reason.
	Count func(reason string)
	// OnError gets each error of the platform, for the log.
	OnError func(error)

	// watched is the platform's revision of the value that was seen last.
	watched uint64
	// index is the newest index that was read, pending whether records of it
	// are left to be read, and tries how often that was tried.
	index   Index
	pending bool
	tries   int
	// bodies are read but not applied yet.
	bodies  []StoredRecord
	backoff bronzeretry.Backoff
}

// Run reads until ctx is done and returns the cause.
func (r *Reader) Run(ctx context.Context) error {
	r.backoff = bronzeretry.Backoff{Min: minBackoff, Max: maxBackoff}
	// The context ends the pool, which has no worker left while it is idle.
	pool := pond.NewPool(readers, pond.WithContext(ctx))
	for ctx.Err() == nil {
		bronzeretry.Pause(ctx, r.step(ctx, pool))
	}
	return context.Cause(ctx)
}

// step does one watch with what follows from it and returns for how long to
// pause before the next.
func (r *Reader) step(ctx context.Context, pool pond.Pool) time.Duration {
	if r.Platform.Watch == nil || r.Active != nil && !r.Active() {
		return idleInterval
	}
	begun := time.Now()
	news, ok := r.next(ctx)
	if ok && news {
		ok = r.readAll(ctx, pool)
	}
	if !ok {
		return r.backoff.Next()
	}
	r.backoff.Reset()
	if news {
		return 0
	}
	return max(0, minWatch-time.Since(begun))
}

// next gets the next index. news says whether it has records to be read, ok
// whether the platform gave something to go on with.
func (r *Reader) next(ctx context.Context) (news, ok bool) {
	inForce := r.Store.Revision()
	v, err := r.fetch(ctx)
	if ctx.Err() != nil {
		return false, false
	}
	if err != nil {
		r.fail(PlatformFailed, err)
		return false, false
	}
	if v.Revision < r.watched {
		// A replica that lags behind. From here on it is watched as it is:
		// should the platform have been restored, it stays that low.
		r.watched = v.Revision
		r.count(PlatformStale)
		return false, false
	}
	if v.Revision == r.watched {
		return r.pending, true
	}
	r.watched = v.Revision
	return r.setIndex(v, inForce)
}

// fetch waits for news, but not while there is something left to be read.
func (r *Reader) fetch(ctx context.Context) (Value, error) {
	if r.pending {
		return r.Platform.Read(ctx, IndexName)
	}
	return r.Platform.Watch(ctx, IndexName, r.watched)
}

func (r *Reader) setIndex(v Value, inForce uint64) (news, ok bool) {
	index, err := ParseIndex(v)
	if err != nil {
		r.fail(IndexRefused, err)
		return false, false
	}
	if index.Revision < max(inForce, r.index.Revision) {
		// What was in force before: acting on it would bring removed
		// servers back.
		r.count(PlatformStale)
		return false, false
	}
	r.index, r.pending, r.tries = index, true, 0
	return true, true
}

// readAll reads what the store lacks of the index and applies it. ok is false
// if something is left to be read.
func (r *Reader) readAll(ctx context.Context, pool pond.Pool) (ok bool) {
	unread := r.readBodies(ctx, pool)
	if ctx.Err() != nil {
		return false
	}
	r.tries++
	if unread > 0 && r.tries < wholeTries {
		return false
	}
	// ErrStale means that a peer had a newer index in the meantime; what this
	// one lists is of no use then, and the watch brings the newer one.
	_, err := r.Store.Apply(r.index.Revision, r.index.Records, r.bodies)
	r.bodies = nil
	r.pending = unread > 0 && err == nil
	return !r.pending
}

// readBodies reads several records at once and returns how many are unread.
func (r *Reader) readBodies(ctx context.Context, pool pond.Pool) (unread int) {
	names := r.wanted()
	read := &bodyReader{platform: &r.Platform}
	group := pool.NewGroupContext(ctx)
	for _, v := range names {
		group.Submit(func() { read.read(ctx, v) })
	}
	if err := group.Wait(); err != nil {
		return len(names)
	}
	r.bodies = append(r.bodies, read.bodies...)
	for _, err := range read.errs {
		r.fail(RecordUnread, err)
	}
	return len(read.errs)
}

// wanted returns the records that neither the store nor bodies have.
func (r *Reader) wanted() (list []RecordVersion) {
	lacks := r.Store.Missing(r.index.Records)
	for _, v := range r.index.Records {
		_, lacking := slices.BinarySearch(lacks, v.Name)
		held := slices.ContainsFunc(r.bodies, func(b StoredRecord) bool {
			return b.Name == v.Name && b.Revision >= v.Revision
		})
		if lacking && !held {
			list = append(list, v)
		}
	}
	return list
}

func (r *Reader) fail(reason string, err error) {
	r.count(reason)
	if r.OnError != nil {
		r.OnError(err)
	}
}

func (r *Reader) count(reason string) {
	if r.Count != nil {
		r.Count(reason)
	}
}

// bodyReader collects what concurrent reads return.
type bodyReader struct {
	platform *Platform

	mu     sync.Mutex
	bodies []StoredRecord
	errs   []error
}

func (b *bodyReader) read(ctx context.Context, want RecordVersion) {
	v, err := b.platform.Read(ctx, want.Name)
	if err == nil && v.Revision < want.Revision {
		err = errors.Errorf("record %q has revision %d, the index lists %d", want.Name, v.Revision, want.Revision)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.errs = append(b.errs, err)
		return
	}
	b.bodies = append(b.bodies, StoredRecord{Name: want.Name, Revision: v.Revision, Body: v.Body})
}
