package bronzesoak

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Kind is the kind of an Event.
type Kind string

// The kinds of events. Those with a duration last for the event's ForMS.
const (
	// KillNode kills a node and restarts it after ForMS.
	KillNode Kind = "KillNode"
	// KillAll kills all nodes at once and restarts them after ForMS.
	KillAll Kind = "KillAll"
	// LeaveNode tells a node to leave by SIGTERM and restarts it when it has
	// exited.
	LeaveNode Kind = "LeaveNode"
	// RollNodes does the same with all nodes, one every ForMS.
	RollNodes Kind = "RollNodes"
	// PauseNode suspends a node by SIGSTOP for ForMS.
	PauseNode Kind = "PauseNode"
	// ReloadNode changes a node's settings and sends it SIGHUP.
	ReloadNode Kind = "ReloadNode"
	// CutStore has one node's connections to the store fail as Mode says.
	CutStore Kind = "CutStore"
	// CutPeers cuts a node off from the other nodes.
	CutPeers Kind = "CutPeers"
	// CutZone cuts a zone off from all others and from the store.
	CutZone Kind = "CutZone"
	// LoseZone loses some of the packets between a zone and the others.
	LoseZone Kind = "LoseZone"
	// StoreDown has the store fail for all nodes as Mode says.
	StoreDown Kind = "StoreDown"
	// StoreForgets suppresses watch events for ForMS, then compacts the store's
	// history.
	StoreForgets Kind = "StoreForgets"
	// RestoreStore backs up the store and restores it from the backup after ForMS.
	// Its writers then write again what was lost.
	RestoreStore Kind = "RestoreStore"
	// DrainZone drains a zone, unless a zone is already drained.
	DrainZone Kind = "DrainZone"
	// CrashServer stops a server without draining it; another one starts after
	// ForMS.
	CrashServer Kind = "CrashServer"
	// ReplaceServer starts a server, then drains and stops an old one.
	ReplaceServer Kind = "ReplaceServer"
	// ReuseAddress crashes a server and starts one of another pool at its address
	// after ForMS.
	ReuseAddress Kind = "ReuseAddress"
	// AddRoute and RemoveRoute publish a table with one route more or less.
	AddRoute    Kind = "AddRoute"
	RemoveRoute Kind = "RemoveRoute"
	// Surge doubles the number of callers.
	Surge Kind = "Surge"
	// Overload adds overloadFactor times the plan's callers on the route
	// lessUrgentRoute. In a plan that has it, this route is less urgent than the
	// others of its pool, and overloadSlots and overloadObjective apply.
	Overload Kind = "Overload"
)

// randomKinds are the kinds that NewPlan draws from first. RestoreStore and
// DrainZone are drawn after these, so that a seed keeps its other events.
var randomKinds = []Kind{
	KillNode, KillAll, LeaveNode, RollNodes, PauseNode, ReloadNode, CutStore, CutPeers, CutZone, LoseZone, StoreDown,
	StoreForgets, CrashServer, ReplaceServer, ReuseAddress, AddRoute, RemoveRoute, Surge,
}

var allKinds = append(slices.Clone(randomKinds), RestoreStore, DrainZone, Overload)

// FailureMode is how a connection to the store fails.
type FailureMode string

// The failure modes.
const (
	// Silent: connections stay open but carry nothing.
	Silent FailureMode = "Silent"
	// Reset: all connections are reset.
	Reset FailureMode = "Reset"
	// Slow: each answer is delayed.
	Slow FailureMode = "Slow"
	// AnswersLost: requests arrive, but their answers are lost.
	AnswersLost FailureMode = "AnswersLost"
	// Refused: requests are answered with an error.
	Refused FailureMode = "Refused"
)

var allModes = []FailureMode{Silent, Reset, Slow, AnswersLost, Refused}

// Event is a fault or a change of the deployment.
type Event struct {
	// AtMS is when the event begins, counted from the start of traffic, and ForMS
	// how long it lasts, both in milliseconds.
	AtMS  int
	ForMS int `json:",omitempty"`
	Kind  Kind
	// Target is the index of the node, zone or server, modulo their number.
	Target int         `json:",omitempty"`
	Mode   FailureMode `json:",omitempty"`
}

func (e *Event) offset() time.Duration   { return time.Duration(e.AtMS) * time.Millisecond }
func (e *Event) duration() time.Duration { return time.Duration(e.ForMS) * time.Millisecond }

// Plan is a deployment and a schedule of events.
type Plan struct {
	Seed uint64
	// Seconds is how long callers make requests.
	Seconds float64
	// Zones is the number of zones, each with NodesPerZone nodes and
	// ServersPerZone servers of each pool.
	Zones          int
	NodesPerZone   int
	ServersPerZone int
	// Callers is the number of concurrent callers, and PauseMS the average pause of
	// each between two requests in milliseconds.
	Callers int
	PauseMS int
	// WorkMS is the average service time of a request in milliseconds, without
	// queueing.
	WorkMS int
	Events []Event
}

// recoveryPeriod is the time without new events at the end of a plan, in which
// recovery is checked.
const recoveryPeriod = 6 * time.Second

// NewPlan generates a plan from a seed: independent events, a series of one
// kind, and several events at the same moment, then up to two restores of the
// store and at most one drain of a zone.
func NewPlan(seed uint64, length time.Duration) Plan {
	r := rand.New(rand.NewPCG(seed, 0x50a4))
	p := Plan{
		Seed: seed, Seconds: length.Seconds(), Zones: 2 + r.IntN(2), NodesPerZone: 1 + r.IntN(3), ServersPerZone: 2 + r.IntN(3),
		Callers: 40, PauseMS: 250, WorkMS: 10 + r.IntN(20),
	}
	span := max(int((length - recoveryPeriod - time.Second).Milliseconds()), 1)
	draw := func(kind Kind) Event {
		return Event{
			AtMS: 500 + r.IntN(span), ForMS: 300 + r.IntN(2500), Kind: kind, Target: r.IntN(64), Mode: allModes[r.IntN(len(allModes))],
		}
	}
	for range 3 + r.IntN(6) {
		p.Events = append(p.Events, draw(randomKinds[r.IntN(len(randomKinds))]))
	}
	series := randomKinds[r.IntN(len(randomKinds))]
	for range r.IntN(4) {
		p.Events = append(p.Events, draw(series))
	}
	at := 500 + r.IntN(span)
	for range r.IntN(4) {
		e := draw(randomKinds[r.IntN(len(randomKinds))])
		e.AtMS = at
		p.Events = append(p.Events, e)
	}
	for range r.IntN(3) {
		p.Events = append(p.Events, draw(RestoreStore))
	}
	if r.IntN(2) == 0 {
		e := draw(DrainZone)
		e.AtMS = 500 + r.IntN(span)/2
		e.ForMS = 2*int(settleTime.Milliseconds()) - r.IntN(2000)
		p.Events = append(p.Events, e)
	}
	p.sort()
	return p
}

// NewOverloadPlan generates the plan that NewPlan does, with an Overload. Its
// servers take longer for a request, so that this machine can overload them.
func NewOverloadPlan(seed uint64, length time.Duration) Plan {
	p := NewPlan(seed, length)
	r := rand.New(rand.NewPCG(seed, 0x0ad5))
	p.WorkMS = 35 + r.IntN(20)
	span := max(int((length - recoveryPeriod - time.Second).Milliseconds()), 2)
	p.Events = append(p.Events, Event{AtMS: 1000 + r.IntN(span/2), ForMS: 2000 + r.IntN(1000), Kind: Overload})
	p.sort()
	return p
}

// overloads reports whether the plan has an Overload.
func (p *Plan) overloads() bool {
	return slices.ContainsFunc(p.Events, func(e Event) bool { return e.Kind == Overload })
}

func (p *Plan) sort() {
	slices.SortStableFunc(p.Events, func(a, b Event) int { return a.AtMS - b.AtMS })
}

// ReadPlan reads a plan from a JSON file whose keys are the names of the fields,
// sorts its events by time and checks it.
func ReadPlan(path string) (p Plan, err error) {
	defer func() { err = errors.Wrapf(err, "plan %s", path) }()
	b, err := os.ReadFile(path)
	if err != nil {
		return p, err
	}
	if err = json.Unmarshal(b, &p); err != nil {
		return p, err
	}
	p.sort()
	return p, p.Check()
}

// Check returns an error that names the first invalid field.
func (p *Plan) Check() error {
	switch {
	case p.Seconds <= 0 || p.Seconds > 3600:
		return errors.Errorf("Seconds: %g is not greater than 0 and at most 3600", p.Seconds)
	case p.Zones < 1 || p.Zones > 16:
		return errors.Errorf("Zones: %d is not between 1 and 16", p.Zones)
	case p.NodesPerZone < 1 || p.Zones*p.NodesPerZone > 200:
		return errors.Errorf("NodesPerZone: %d results in no nodes or more than 200", p.NodesPerZone)
	case p.ServersPerZone < 1 || p.Zones*p.ServersPerZone > 200:
		return errors.Errorf("ServersPerZone: %d results in no servers or more than 200 per pool", p.ServersPerZone)
	case p.Callers < 1 || p.Callers > 10_000:
		return errors.Errorf("Callers: %d is not between 1 and 10000", p.Callers)
	case p.PauseMS < 1:
		return errors.Errorf("PauseMS: %d is below 1", p.PauseMS)
	case p.WorkMS < 1:
		return errors.Errorf("WorkMS: %d is below 1", p.WorkMS)
	}
	for i := range p.Events {
		if !slices.Contains(allKinds, p.Events[i].Kind) {
			return errors.Errorf("Events[%d].Kind: %q is not one of %v", i, p.Events[i].Kind, allKinds)
		}
		if m := p.Events[i].Mode; m != "" && !slices.Contains(allModes, m) {
			return errors.Errorf("Events[%d].Mode: %q is not one of %v", i, m, allModes)
		}
	}
	return nil
}
