package bronzesoak

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Kind is what an Event does.
type Kind string

// The kinds of events.
const (
	// KillNode kills a node; it starts again after For.
	KillNode Kind = "KillNode"
	// KillAll kills all nodes at once; they start again after For.
	KillAll Kind = "KillAll"
	// LeaveNode tells a node to end by SIGTERM; it starts again when it has.
	LeaveNode Kind = "LeaveNode"
	// RollNodes does that to all nodes, one each For.
	RollNodes Kind = "RollNodes"
	// PauseNode stops a node for For, by SIGSTOP.
	PauseNode Kind = "PauseNode"
	// ReloadNode changes a node's settings and sends it SIGHUP.
	ReloadNode Kind = "ReloadNode"
	// CutStore cuts a node off from the store for For: Mode says how.
	CutStore Kind = "CutStore"
	// CutPeers cuts a node off from the other nodes for For.
	CutPeers Kind = "CutPeers"
	// CutZone cuts a zone off from all others and the store for For.
	CutZone Kind = "CutZone"
	// LoseZone loses some packets between a zone and the others for For.
	LoseZone Kind = "LoseZone"
	// StoreDown has the store answer nobody, or with errors, for For.
	StoreDown Kind = "StoreDown"
	// StoreForgets has watches hear nothing for For, then drops the history.
	StoreForgets Kind = "StoreForgets"
	// RestoreStore copies the store, and after For has it come back from the copy. Its
	// writers write again what it lost.
	RestoreStore Kind = "RestoreStore"
	// DrainZone drains a zone for For, unless another one is.
	DrainZone Kind = "DrainZone"
	// CrashServer ends a server without a word; another one starts after For.
	CrashServer Kind = "CrashServer"
	// ReplaceServer has a server drain and leave when another one has started.
	ReplaceServer Kind = "ReplaceServer"
	// ReuseAddress crashes a server and gives its address to one of another
	// pool after For.
	ReuseAddress Kind = "ReuseAddress"
	// AddRoute and RemoveRoute publish a new table.
	AddRoute    Kind = "AddRoute"
	RemoveRoute Kind = "RemoveRoute"
	// Surge has twice the callers for For.
	Surge Kind = "Surge"
)

// randomKinds are the kinds that a plan is randomKinds from first; RestoreStore and DrainZone come on
// top, so that the seeds of before have their events still.
var randomKinds = []Kind{
	KillNode, KillAll, LeaveNode, RollNodes, PauseNode, ReloadNode, CutStore, CutPeers, CutZone, LoseZone, StoreDown,
	StoreForgets, CrashServer, ReplaceServer, ReuseAddress, AddRoute, RemoveRoute, Surge,
}

var allKinds = append(slices.Clone(randomKinds), RestoreStore, DrainZone)

// FailureMode is how a connection to the store fails.
type FailureMode string

// The modes.
const (
	// Silent: open connections carry nothing more, new ones don't open.
	Silent FailureMode = "Silent"
	// Reset: all connections are reset.
	Reset FailureMode = "Reset"
	// Slow: each answer takes longer.
	Slow FailureMode = "Slow"
	// AnswersLost: requests arrive, their answers don't.
	AnswersLost FailureMode = "AnswersLost"
	// Refused: the store answers with an error.
	Refused FailureMode = "Refused"
)

var allModes = []FailureMode{Silent, Reset, Slow, AnswersLost, Refused}

// Event is something that is done to the deployment.
type Event struct {
	// AtMS is when it begins, counted from the start of traffic, and ForMS how
	// long it lasts, in milliseconds.
	AtMS  int
	ForMS int `json:",omitempty"`
	Kind  Kind
	// Target is the index of the node, zone or server.
	Target int         `json:",omitempty"`
	Mode   FailureMode `json:",omitempty"`
}

func (e *Event) offset() time.Duration   { return time.Duration(e.AtMS) * time.Millisecond }
func (e *Event) duration() time.Duration { return time.Duration(e.ForMS) * time.Millisecond }

// Plan is a deployment and what is done to it.
type Plan struct {
	Seed uint64
	// Seconds is how long callers come. The last Quiet of them are without events.
	Seconds float64
	// Zones has NodesPerZone nodes and ServersPerZone servers of each pool each.
	Zones          int
	NodesPerZone   int
	ServersPerZone int
	// Callers open flows; each makes a request about every PauseMS.
	Callers int
	PauseMS int
	// WorkMS is what a request takes at a server, on average.
	WorkMS int
	Events []Event
}

// recoveryPeriod is how long the end of a plan is left alone, so that what recovers can
// be seen to.
const recoveryPeriod = 6 * time.Second

// NewPlan draws a plan from a seed: some events by themselves, a series of one
// kind, and several at the same moment.
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

func (p *Plan) sort() {
	slices.SortStableFunc(p.Events, func(a, b Event) int { return a.AtMS - b.AtMS })
}

// ReadPlan reads a plan from a JSON file with the fields' names.
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

// Check returns an error that names the first field that can't be used.
func (p *Plan) Check() error {
	switch {
	case p.Seconds <= 0 || p.Seconds > 3600:
		return errors.Errorf("Seconds: %g is not over 0 and at most 3600", p.Seconds)
	case p.Zones < 1 || p.Zones > 16:
		return errors.Errorf("Zones: %d is not between 1 and 16", p.Zones)
	case p.NodesPerZone < 1 || p.Zones*p.NodesPerZone > 200:
		return errors.Errorf("NodesPerZone: %d makes no nodes, or over 200", p.NodesPerZone)
	case p.ServersPerZone < 1 || p.Zones*p.ServersPerZone > 200:
		return errors.Errorf("ServersPerZone: %d makes no servers, or over 200 a pool", p.ServersPerZone)
	case p.Callers < 1 || p.Callers > 10_000:
		return errors.Errorf("Callers: %d is not between 1 and 10000", p.Callers)
	case p.PauseMS < 1:
		return errors.Errorf("PauseMS: %d is below 1", p.PauseMS)
	case p.WorkMS < 1:
		return errors.Errorf("WorkMS: %d is below 1", p.WorkMS)
	}
	for i := range p.Events {
		if !slices.Contains(allKinds, p.Events[i].Kind) {
			return errors.Errorf("Events[%d].Kind: %q is none of %v", i, p.Events[i].Kind, allKinds)
		}
		if m := p.Events[i].Mode; m != "" && !slices.Contains(allModes, m) {
			return errors.Errorf("Events[%d].Mode: %q is none of %v", i, m, allModes)
		}
	}
	return nil
}
