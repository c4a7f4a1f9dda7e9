package bronzeedge

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"bronzeusher.example/bronzeusher/bronzesteer"
)

// counters counts by tally and serves the counts in the usual text format.
// The format is written here: the library that tally takes for it needs half
// a millisecond of processor time at each start, when callers wait.
type counters struct {
	scope tally.TestScope
	// decisions are made when they are first counted or shown: made at the start,
	// all 45 took 4 ms of a node with 0.088 cores while its callers waited.
	decisions [kinds][reasons]atomic.Pointer[decisionCounter]
	// opening is the time from an opening to the caller's next packet, deciding
	// that to a decision on a packet, and knowledge how long ago the store
	// confirmed this node's records.
	opening   tally.Histogram
	deciding  tally.Histogram
	knowledge tally.Histogram
	// sent and received are of messages between nodes.
	sent     messages
	received messages

	// mu guards what follows, and the making of decisions.
	mu     sync.Mutex
	calls  map[callOutcome]tally.Counter
	events map[string]tally.Counter
	gauges map[string]tally.Gauge
}

// messages counts messages between nodes, and their bytes.
type messages struct {
	count tally.Counter
	bytes tally.Counter
}

func newMessages(scope tally.Scope, direction string) messages {
	tagged := scope.Tagged(map[string]string{"Direction": direction})
	return messages{count: tagged.Counter("PeerMessages"), bytes: tagged.Counter("PeerBytes")}
}

func (m *messages) add(bytes int) {
	m.count.Inc(1)
	m.bytes.Inc(int64(bytes))
}

// decisionCounter is a counter behind one pointer.
type decisionCounter struct{ tally.Counter }

// kinds and reasons are how many there are.
const (
	kinds   = int(bronzesteer.Wait) + 1
	reasons = int(bronzesteer.ReasonCount)
)

// callOutcome is a kind of call to the store, and how it went.
type callOutcome struct{ call, outcome string }

// openingBuckets are the bounds of the times from an opening to the caller's
// next packet, around the 200 ms after which callers repeat an opening.
var openingBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, time.Second,
}

// decidingBuckets are the bounds of the times to a decision, which takes
// microseconds on a core and ten times as long on a tenth of one.
var decidingBuckets = tally.DurationBuckets{
	time.Microsecond, 2 * time.Microsecond, 5 * time.Microsecond, 10 * time.Microsecond, 20 * time.Microsecond,
	50 * time.Microsecond, 100 * time.Microsecond, time.Millisecond, 10 * time.Millisecond,
}

// knowledgeBuckets are the bounds of the ages of what a node knows, around the
// three seconds in which a change is to be in force everywhere.
var knowledgeBuckets = tally.DurationBuckets{
	200 * time.Millisecond, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second,
	3 * time.Second, 5 * time.Second, 10 * time.Second, time.Minute,
}

const metricPrefix = "bronzeusher"

func newCounters() *counters {
	scope := tally.NewTestScope(metricPrefix, nil)
	c := &counters{
		scope: scope, events: make(map[string]tally.Counter), gauges: make(map[string]tally.Gauge),
		calls:     make(map[callOutcome]tally.Counter),
		opening:   scope.Histogram("OpeningSeconds", openingBuckets),
		deciding:  scope.Histogram("DecisionSeconds", decidingBuckets),
		knowledge: scope.Histogram("KnowledgeSeconds", knowledgeBuckets),
		sent:      newMessages(scope, "Sent"),
		received:  newMessages(scope, "Received"),
	}
	return c
}

// decision counts what was decided of a packet.
func (c *counters) decision(d *bronzesteer.Decision) {
	c.decisionCounter(d.Kind, d.Reason).Inc(1)
}

// decisionCounter returns the counter of decisions of a kind for a reason.
func (c *counters) decisionCounter(kind bronzesteer.Kind, reason bronzesteer.Reason) tally.Counter {
	at := &c.decisions[kind][reason]
	if k := at.Load(); k != nil {
		return k.Counter
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := at.Load(); k != nil {
		return k.Counter
	}
	tags := map[string]string{"Kind": kind.String(), "Reason": reason.String()}
	k := &decisionCounter{c.scope.Tagged(tags).Counter("Decisions")}
	at.Store(k)
	return k.Counter
}

// event counts something by its name.
func (c *counters) event(name string) {
	c.mu.Lock()
	k := c.events[name]
	if k == nil {
		k = c.scope.Tagged(map[string]string{"Event": name}).Counter("Events")
		c.events[name] = k
	}
	c.mu.Unlock()
	k.Inc(1)
}

// call counts a call to the store by its kind and how it went.
func (c *counters) call(call, outcome string) {
	c.mu.Lock()
	k := c.calls[callOutcome{call, outcome}]
	if k == nil {
		k = c.scope.Tagged(map[string]string{"Call": call, "Outcome": outcome}).Counter("StoreCalls")
		c.calls[callOutcome{call, outcome}] = k
	}
	c.mu.Unlock()
	k.Inc(1)
}

func (c *counters) gauge(name string, value float64) {
	c.mu.Lock()
	g := c.gauges[name]
	if g == nil {
		g = c.scope.Gauge(name)
		c.gauges[name] = g
	}
	c.mu.Unlock()
	g.Update(value)
}

// text returns all counts in the text format of Prometheus.
func (c *counters) text() []byte {
	for kind := range kinds {
		for _, r := range bronzesteer.Reasons() {
			c.decisionCounter(bronzesteer.Kind(kind), r)
		}
	}
	var out bytes.Buffer
	s := c.scope.Snapshot()
	for _, k := range slices.Sorted(maps.Keys(s.Counters())) {
		counter := s.Counters()[k]
		fmt.Fprintf(&out, "%s%s %d\n", metricName(counter.Name()), labels(counter.Tags()), counter.Value())
	}
	for _, k := range slices.Sorted(maps.Keys(s.Gauges())) {
		gauge := s.Gauges()[k]
		fmt.Fprintf(&out, "%s%s %g\n", metricName(gauge.Name()), labels(gauge.Tags()), gauge.Value())
	}
	for _, k := range slices.Sorted(maps.Keys(s.Histograms())) {
		writeHistogram(&out, s.Histograms()[k])
	}
	return out.Bytes()
}

func writeHistogram(out *bytes.Buffer, h tally.HistogramSnapshot) {
	name, total := metricName(h.Name()), int64(0)
	for _, bound := range slices.Sorted(maps.Keys(h.Durations())) {
		total += h.Durations()[bound]
		le := "+Inf"
		if bound < math.MaxInt64 {
			le = fmt.Sprint(bound.Seconds())
		}
		fmt.Fprintf(out, "%s_bucket{le=%q} %d\n", name, le, total)
	}
	fmt.Fprintf(out, "%s_count %d\n", name, total)
}

func metricName(name string) string { return strings.ReplaceAll(name, ".", "_") }

func labels(tags map[string]string) string {
	if len(tags) == 0 {
		return ""
	}
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(tags)) {
		parts = append(parts, fmt.Sprintf("%s=%q", k, tags[k]))
	}
	return "{" + strings.Join(parts, ",") + "}"
}
