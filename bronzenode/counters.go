package bronzenode

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"bronzeusher.example/bronzeusher/bronzecore"
)

// event is a kind of packet path event that is counted without a reason.
type event uint8

const (
	callerPacket event = iota
	serverPacket
	peerPacket
	peerReply
	flowMessage
	flowBytesSent
	sendRefused
	unknownPeer
	unknownAddress
	payloadStripped
	eventCount
)

var eventNames = [eventCount]string{
	"CallerPackets", "ServerPackets", "PeerPackets", "PeerReplies", "FlowMessages", "FlowBytesSent",
	"SendRefused", "UnknownPeer", "UnknownAddress", "PayloadsLeft",
}

// The names of further counters. Those with a reason are named Name.Reason,
// as in Drop.NoService or Malformed.Truncated.
const (
	countControlSent     = "ControlBytesSent"
	countControlReceived = "ControlBytesReceived"
	countPolls           = "Polls"

	countRetry      = "Retry"
	countMalformed  = "Malformed"
	countControl    = "Control"
	countConfig     = "Config"
	countPollFailed = "PollFailed"
)

// metricsInterval is how often counters are published to the metrics reporter.
const metricsInterval = time.Second

// counter is one count, with the value last published to the metrics reporter.
type counter struct {
	value    atomic.Uint64
	reported uint64
	metric   tally.Counter
}

func (c *counter) add(n uint64) {
	c.value.Add(n)
}

// counters holds all counts of a node. Each count is an atomic number, cheap
// for the packet path and readable at any time; tally gets the differences at
// intervals.
type counters struct {
	// actions are the counts of actions, by kind and reason.
	actions [bronzecore.Send + 1][]*counter
	events  [eventCount]*counter

	mu       sync.Mutex
	byName   map[string]*counter
	scope    tally.Scope
	gauges   map[string]tally.Gauge
	closer   io.Closer
	reporter tallyprom.Reporter
}

func newCounters() *counters {
	registry := prom.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:      registry,
		Gatherer:        registry,
		OnRegisterError: func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "bronzeusher",
		CachedReporter:  reporter,
		Separator:       tallyprom.DefaultSeparator,
		SanitizeOptions: &tallyprom.DefaultSanitizerOpts,
		MetricsOption:   tally.OmitInternalMetrics,
	}, metricsInterval)
	c := &counters{
		byName:   make(map[string]*counter),
		gauges:   make(map[string]tally.Gauge),
		scope:    scope,
		closer:   closer,
		reporter: reporter,
	}
	c.initActions()
	for e, name := range eventNames {
		c.events[e] = c.named(name)
	}
	return c
}

// initActions creates a counter for each reason of the actions that have one,
// so that a reason shows as 0 before it first occurs.
func (c *counters) initActions() {
	for kind := bronzecore.Forward; kind <= bronzecore.Send; kind++ {
		table := make([]*counter, len(bronzecore.Reasons()))
		for i := range table {
			table[i] = c.named(kind.String())
		}
		for _, r := range reasonsOf(kind) {
			table[r] = c.withReason(reasonPrefix(kind, r), r.String())
		}
		c.actions[kind] = table
	}
}

// reasonsOf returns the reasons by which actions of kind are counted.
func reasonsOf(kind bronzecore.ActionKind) []bronzecore.Reason {
	switch kind {
	case bronzecore.Drop, bronzecore.Refuse, bronzecore.Abort, bronzecore.Cancel:
		return bronzecore.Reasons()[bronzecore.None+1:]
	case bronzecore.Forward:
		return []bronzecore.Reason{
			bronzecore.ServerRefused, bronzecore.ServerSilent, bronzecore.CallerGone, bronzecore.UnknownFlow,
		}
	default:
		return nil
	}
}

// reasonPrefix returns the counter name that precedes r for actions of kind.
// An opening forwarded because another server failed counts as a retry.
func reasonPrefix(kind bronzecore.ActionKind, r bronzecore.Reason) string {
	if kind == bronzecore.Forward && (r == bronzecore.ServerRefused || r == bronzecore.ServerSilent) {
		return countRetry
	}
	return kind.String()
}

// named returns the counter called name, created on first use.
func (c *counters) named(name string) *counter {
	return c.get(name, func() tally.Counter { return c.scope.Counter(name) })
}

// withReason returns the counter called name for one reason, created on first
// use.
func (c *counters) withReason(name, reason string) *counter {
	return c.get(name+"."+reason, func() tally.Counter {
		return c.scope.Tagged(map[string]string{"Reason": reason}).Counter(name + "Reasons")
	})
}

func (c *counters) get(key string, newCounter func() tally.Counter) *counter {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k, ok := c.byName[key]; ok {
		return k
	}
	k := &counter{metric: newCounter()}
	c.byName[key] = k
	return k
}

// reasonFunc returns a function that counts reasons under name. It fits the
// Count fields of other packages.
func (c *counters) reasonFunc(name string) func(string) {
	return func(reason string) { c.withReason(name, reason).add(1) }
}

// setGauge sets the gauge called name, created on first use.
func (c *counters) setGauge(name string, value float64) {
	c.mu.Lock()
	g, ok := c.gauges[name]
	if !ok {
		g = c.scope.Gauge(name)
		c.gauges[name] = g
	}
	c.mu.Unlock()
	g.Update(value)
}

// publish adds what was counted since the last call to tally's counters.
func (c *counters) publish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.byName {
		v := k.value.Load()
		k.metric.Inc(int64(v - k.reported))
		k.reported = v
	}
}

// snapshot returns all counts by name.
func (c *counters) snapshot() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make(map[string]uint64, len(c.byName))
	for name, k := range c.byName {
		all[name] = k.value.Load()
	}
	return all
}

// handler serves the counts in the Prometheus text format. They are at most
// metricsInterval behind.
func (c *counters) handler() http.Handler {
	return c.reporter.HTTPHandler()
}

func (c *counters) close() (err error) {
	return errors.Wrap(c.closer.Close(), "close metrics")
}
