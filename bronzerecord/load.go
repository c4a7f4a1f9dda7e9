package bronzerecord

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzeretry"
)

const (
	// maxPageRetries is how often in a row a page is asked for in vain before the load
	// begins anew: about as long as the longest outage that nodes see at their
	// start, 10 s, takes.
	maxPageRetries = 20
	// meanYieldDelay is how long a node that lets others read first waits, on average,
	// after the store said that it is asked too much. Meanwhile the first of each
	// zone read all pages, and the others have the records from them.
	meanYieldDelay = 2 * time.Second
)

// errOvertaken says that the records came from elsewhere while they were loaded.
var errOvertaken = errors.New("overtaken")

// errRestored says that the store came back from a copy while its records were loaded, or may
// have just before.
var errRestored = errors.New("restored")

// Page is a part of a store's contents, in the order of names.
type Page struct {
	Records []Record
	// Epoch and Revision are the store's when the page was read.
	Epoch    uint64
	Revision uint64
	// More says that there are records after the last one.
	More bool
}

// load reads the whole contents, page by page. Pages are no snapshot: the
// contents are complete up to the lowest revision of any, and a watch from
// there brings the rest.
//
// The first load takes what may be some seconds old. Hundreds of nodes that start need
// many times what they need for the rest of the day, and a tenth of that, which isn't
// counted to the store's limit, gets them started as well. Once the store has come back from a
// copy, what is some seconds old may be of the history before, under the epoch of now: a node
// that took it would tell others of revisions that stand for other writes.
//
// A page that isn't answered is asked for again, and what was read is kept.
// Hundreds of nodes that start at once ask for tens of pages each, many times
// what the store answers in a second; beginning anew with each refusal, none of
// them got to the end in 30 s.
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
		d.Changed = append(d.Changed, p.Records...)
		if !p.More || len(p.Records) == 0 {
			return d, nil
		}
		after = p.Records[len(p.Records)-1].Name
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
