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

// counters collects metrics with tally and renders them in the Prometheus text format. The
// format is written here because the library that tally uses for it takes half a
// millisecond of processor time at each start, while callers wait.
type counters struct {
	scope tally.TestScope
	// decisions are created when first counted or rendered. Creating all 45 at startup took
	// 4 ms on a node with 0.088 cores while its callers waited.
	decisions [kindCount][reasonCount]atomic.Pointer[decisionCounter]
	// openingTime is the time from an opening to the caller's next packet, decisionTime the
	// time to decide on a packet, and confirmationAge the time since the store confirmed
	// this node's records. answerDelay is by how much later than the first one a message
	// arrived that repeats an answer of the store.
	openingTime     tally.Histogram
	decisionTime    tally.Histogram
	confirmationAge tally.Histogram
	answerDelay     tally.Histogram
	// sent and received count messages between nodes.
	sent     messageCounters
	received messageCounters

	// mu guards the fields below and the creation of decisions.
	mu     sync.Mutex
	calls  map[storeCall]tally.Counter
	events map[string]tally.Counter
	gauges map[string]tally.Gauge
}

// messageCounters counts messages between nodes and their bytes.
type messageCounters struct {
	count tally.Counter
	bytes tally.Counter
}

func newMessageCounters(scope tally.Scope, direction string) messageCounters {
	tagged := scope.Tagged(map[string]string{"Direction": direction})
	return messageCounters{count: tagged.Counter("PeerMessages"), bytes: tagged.Counter("PeerBytes")}
}

func (m *messageCounters) add(bytes int) {
	m.count.Inc(1)
	m.bytes.Inc(int64(bytes))
}

// decisionCounter wraps a counter so that an atomic.Pointer can hold it.
type decisionCounter struct{ tally.Counter }

// kindCount and reasonCount are the numbers of decision kinds and reasons.
const (
	kindCount   = int(bronzesteer.Wait) + 1
	reasonCount = int(bronzesteer.ReasonCount)
)

// storeCall is the kind and outcome of a call to the store.
type storeCall struct{ call, outcome string }

// openingBuckets are the histogram bounds of openingTime, around the 200 ms after which
// callers retransmit an opening.
var openingBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, time.Second,
}

// decisionBuckets are the histogram bounds of decisionTime. A decision takes microseconds
// on a full core and ten times as long on a tenth of one.
var decisionBuckets = tally.DurationBuckets{
	time.Microsecond, 2 * time.Microsecond, 5 * time.Microsecond, 10 * time.Microsecond, 20 * time.Microsecond,
	50 * time.Microsecond, 100 * time.Microsecond, time.Millisecond, 10 * time.Millisecond,
}

// confirmationAgeBuckets are the histogram bounds of confirmationAge, around the three
// seconds within which a change must be in force everywhere.
var confirmationAgeBuckets = tally.DurationBuckets{
	200 * time.Millisecond, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second,
	3 * time.Second, 5 * time.Second, 10 * time.Second, time.Minute,
}

// answerDelayBuckets are the histogram bounds of answerDelay, from the delay of a network to
// that of a node that gets hardly any processor time.
var answerDelayBuckets = tally.DurationBuckets{
	time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second,
}

const metricPrefix = "bronzeusher"

func newCounters() *counters {
	scope := tally.NewTestScope(metricPrefix, nil)
	c := &counters{
		scope: scope, events: make(map[string]tally.Counter), gauges: make(map[string]tally.Gauge),
		calls:           make(map[storeCall]tally.Counter),
		openingTime:     scope.Histogram("OpeningSeconds", openingBuckets),
		decisionTime:    scope.Histogram("DecisionSeconds", decisionBuckets),
		confirmationAge: scope.Histogram("KnowledgeSeconds", confirmationAgeBuckets),
		answerDelay:     scope.Histogram("AnswerDelaySeconds", answerDelayBuckets),
		sent:            newMessageCounters(scope, "Sent"),
		received:        newMessageCounters(scope, "Received"),
	}
	return c
}

// decision counts a decision on a packet.
func (c *counters) decision(d *bronzesteer.Decision) {
	c.decisionCounter(d.Kind, d.Reason).Inc(1)
}

// decisionCounter returns the counter for a kind and reason.
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

// event counts an event by name.
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

// call counts a call to the store by kind and outcome.
func (c *counters) call(call, outcome string) {
	c.mu.Lock()
	k := c.calls[storeCall{call, outcome}]
	if k == nil {
		k = c.scope.Tagged(map[string]string{"Call": call, "Outcome": outcome}).Counter("StoreCalls")
		c.calls[storeCall{call, outcome}] = k
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

// poolGauge sets a gauge of a pool. It is only called while metrics are read.
func (c *counters) poolGauge(name, pool string, value float64) {
	c.scope.Tagged(map[string]string{"Pool": pool}).Gauge(name).Update(value)
}

// text renders all metrics in the Prometheus text format.
func (c *counters) text() []byte {
	for kind := range kindCount {
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
