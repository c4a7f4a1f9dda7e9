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
	// PlatformStale: the platform returned an index older than the one in
	// force or one seen before.
	PlatformStale = "PlatformStale"
	// IndexRefused: the index has faults.
	IndexRefused = "IndexRefused"
	// RecordUnread: a record couldn't be read, or only in a revision lower
	// than the index lists.
	RecordUnread = "RecordUnread"
)

const (
	// minBackoff and maxBackoff bound the pause after a failure. The maximum
	// is short enough to read everything within seconds of a recovery.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// minWatchInterval is the minimum time from the start of a watch that
	// brought nothing new to the next, in case the platform doesn't wait.
	minWatchInterval = time.Second
	// inactiveInterval is how often an inactive reader checks whether it has
	// become active.
	inactiveInterval = time.Second
	// concurrentReads is the number of records that are read at once.
	concurrentReads = 8
	// maxReadAttempts is how often reading all records of an index is
	// attempted before the index is applied without the unreadable ones, so
	// that one of them doesn't delay the others.
	maxReadAttempts = 3
)

// Reader keeps a Store up to date from the platform. While the platform is
// unavailable, the Store keeps its content.
type Reader struct {
	Platform Platform
	Store    *Store
	// Active reports whether this node reads the platform now; nil means
	// always. Other nodes get the records from their peers.
	Active func() bool
	// Count, if set, counts an event of the given reason.
	Count func(reason string)
	// OnError, if set, is called with each error of reading the platform.
	OnError func(error)

	// watchedRevision is the platform's revision of the index value that was
	// seen last.
	watchedRevision uint64
	// index is the newest index that was read. pending is set if some of its
	// records still have to be read, and attempts counts the attempts.
	index    Index
	pending  bool
	attempts int
	// bodies are the records that were read but not applied yet.
	bodies  []StoredRecord
	backoff bronzeretry.Backoff
}

// Run follows the platform until ctx is done, and returns the cause.
func (r *Reader) Run(ctx context.Context) error {
	r.backoff = bronzeretry.Backoff{Min: minBackoff, Max: maxBackoff}
	// The pool ends with the context, and has no workers while it is idle.
	pool := pond.NewPool(concurrentReads, pond.WithContext(ctx))
	for ctx.Err() == nil {
		bronzeretry.Pause(ctx, r.watchOnce(ctx, pool))
	}
	return context.Cause(ctx)
}

// watchOnce watches the index once, applies what it returns, and returns how
// long to pause before the next call.
func (r *Reader) watchOnce(ctx context.Context, pool pond.Pool) time.Duration {
	if r.Platform.Watch == nil || r.Active != nil && !r.Active() {
		return inactiveInterval
	}
	start := time.Now()
	changed, ok := r.nextIndex(ctx)
	if ok && changed {
		ok = r.readAll(ctx, pool)
	}
	if !ok {
		return r.backoff.Next()
	}
	r.backoff.Reset()
	if changed {
		return 0
	}
	return max(0, minWatchInterval-time.Since(start))
}

// nextIndex fetches the index. changed reports whether there is an index to
// apply; ok is false if the caller should back off.
func (r *Reader) nextIndex(ctx context.Context) (changed, ok bool) {
	inForce := r.Store.Revision()
	v, err := r.fetch(ctx)
	if ctx.Err() != nil {
		return false, false
	}
	if err != nil {
		r.reportError(PlatformFailed, err)
		return false, false
	}
	if v.Revision < r.watchedRevision {
		// A replica lags behind, or the platform was restored. The index may have been
		// published since under a revision that was seen, so read it before watching on.
		r.watchedRevision = 0
		r.count(PlatformStale)
		return false, false
	}
	if v.Revision == r.watchedRevision {
		return r.pending, true
	}
	r.watchedRevision = v.Revision
	return r.setIndex(v, inForce)
}

// fetch waits for a change of the index, unless records of the present one still
// have to be read.
func (r *Reader) fetch(ctx context.Context) (Value, error) {
	if r.pending {
		return r.Platform.Read(ctx, IndexName)
	}
	return r.Platform.Watch(ctx, IndexName, r.watchedRevision)
}

func (r *Reader) setIndex(v Value, inForce uint64) (changed, ok bool) {
	index, err := ParseIndex(v)
	if err != nil {
		r.reportError(IndexRefused, err)
		return false, false
	}
	if index.Revision < max(inForce, r.index.Revision) {
		// Applying an index older than the one in force would bring back
		// removed servers.
		r.count(PlatformStale)
		return false, false
	}
	r.index, r.pending, r.attempts = index, true, 0
	return true, true
}

// readAll reads the records of the index that the store lacks and applies the
// index. ok is false if some records still have to be read.
func (r *Reader) readAll(ctx context.Context, pool pond.Pool) (ok bool) {
	unread := r.readBodies(ctx, pool)
	if ctx.Err() != nil {
		return false
	}
	r.attempts++
	if unread > 0 && r.attempts < maxReadAttempts {
		return false
	}
	// ErrStale means that a peer has brought a newer index in the meantime.
	// This one is then of no use, and the watch will return the newer one.
	_, err := r.Store.Apply(r.index.Revision, r.index.Records, r.bodies)
	r.bodies = nil
	r.pending = unread > 0 && err == nil
	return !r.pending
}

// readBodies reads the missing records concurrently and returns how many
// couldn't be read.
func (r *Reader) readBodies(ctx context.Context, pool pond.Pool) (unread int) {
	records := r.unreadRecords()
	reader := &bodyReader{platform: &r.Platform}
	group := pool.NewGroupContext(ctx)
	for _, v := range records {
		group.Submit(func() { reader.read(ctx, v) })
	}
	if err := group.Wait(); err != nil {
		return len(records)
	}
	r.bodies = append(r.bodies, reader.bodies...)
	for _, err := range reader.errs {
		r.reportError(RecordUnread, err)
	}
	return len(reader.errs)
}

// unreadRecords returns the records of the index that neither the store nor
// bodies have.
func (r *Reader) unreadRecords() (list []RecordVersion) {
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

func (r *Reader) reportError(reason string, err error) {
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

// bodyReader collects the results of concurrent reads.
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
