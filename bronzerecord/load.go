package bronzerecord

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzeretry"
)

const (
	// maxPageRetries is how often in a row a page is retried before the load starts over.
	// That takes about as long as the longest outage that nodes see at their start, 10 s.
	maxPageRetries = 20
	// meanYieldDelay is how long, on average, a node that lets others load first waits
	// after it was throttled. Meanwhile the first node of each zone reads all pages, and
	// the others get the records from it.
	meanYieldDelay = 2 * time.Second
)

// errOvertaken means that the Set got records from elsewhere while they were being
// loaded.
var errOvertaken = errors.New("overtaken")

// errRestored means that the store was restored from a backup during a load, or may have
// been just before.
var errRestored = errors.New("restored")

// Page is a part of a store's contents, in the order of names.
type Page struct {
	Records []Record
	// Epoch and Revision are those of the store when the page was read.
	Epoch    uint64
	Revision uint64
	// More says that there are records after the last one.
	More bool
}

// load reads the whole contents page by page. The pages are no consistent snapshot: the
// contents are complete up to the lowest revision of any page, and a watch from there
// returns the rest. Until then records are missing that were removed while pages were read, up to
// the highest revision of any page.
//
// The first load accepts stale pages. Hundreds of nodes that start need many times the
// calls of the rest of the day, and stale reads, which cost a tenth and aren't counted
// towards the store's limit, are good enough to start with. Once the store was restored
// from a backup, a stale page may show the earlier history under the present epoch: a
// node that accepted it would advertise revisions that stand for other writes.
//
// A failed page is retried, and what was read is kept. Hundreds of nodes that start at
// once request tens of pages each, many times what the store serves in a second. If each
// refusal made them start over, none would have all pages within 30 s.
func (f *Follower) load(ctx context.Context, stale bool) (d Delta, err error) {
	d.Whole = true
	empty, after, fails := f.Set.Position().IsZero(), "", 0
	var backoff bronzeretry.Backoff
	for {
		p, err := f.Source.Read(ctx, after, stale)
		if empty && !f.Set.Position().IsZero() {
			return d, errOvertaken
		}
		if err != nil {
			fails++
			if after == "" || fails > maxPageRetries || ctx.Err() != nil {
				return d, err
			}
			f.event(Event{Kind: Failed, Err: err})
			bronzeretry.Pause(ctx, f.pause(&backoff, err))
			continue
		}
		if after != "" && p.Epoch != d.Epoch || stale && p.Epoch > 0 {
			return d, errRestored
		}
		fails = 0
		backoff.Reset()
		if after == "" || p.Revision < d.To {
			d.Epoch, d.To = p.Epoch, p.Revision
		}
		d.Latest = max(d.Latest, p.Revision)
		d.Changed = append(d.Changed, p.Records...)
		if !p.More || len(p.Records) == 0 {
			return d, nil
		}
		after = p.Records[len(p.Records)-1].Name
		f.event(Event{Kind: PageRead})
	}
}

// pause returns how long to wait after a failure.
func (f *Follower) pause(backoff *bronzeretry.Backoff, err error) time.Duration {
	backoff.Min, backoff.Max = minBackoff, maxBackoff
	pause := backoff.Next()
	if errors.Is(err, ErrThrottled) && f.Yield != nil && f.Yield() {
		return meanYieldDelay/2 + rand.N(meanYieldDelay)
	}
	return pause
}
