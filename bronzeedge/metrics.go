package bronzeedge

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"bronzeusher.example/bronzeusher/bronzegossip"
	"bronzeusher.example/bronzeusher/bronzesteer"
)

// Paths served at Config.MetricsAddress.
const (
	metricsPath = "/metrics"
	// StatusPath serves the node's Status as JSON.
	StatusPath = "/status"
)

func (e *Edge) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+metricsPath, e.serveMetrics)
	mux.HandleFunc("GET "+StatusPath, e.serveStatus)
	return mux
}

func (e *Edge) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	p := e.records.Position()
	e.counts.gauge("Epoch", float64(p.Epoch))
	e.counts.gauge("Revision", float64(p.Revision))
	e.counts.gauge("ConfirmedSeconds", e.gossip.SinceConfirmed(now).Seconds())
	e.counts.gauge("Peers", float64(e.gossip.PeerCount(now)))
	e.counts.gauge("Flows", float64(e.steerer.Flows()))
	if v := e.steerer.View(); v != nil {
		e.counts.gauge("DrainedZones", float64(len(v.DrainedZones)))
	}
	e.counts.gauge("FlowsInDrainedZones", float64(e.steerer.FlowsInDrainedZones()))
	for _, p := range e.steerer.Pools(now) {
		e.counts.poolGauge("RoomLimit", p.Pool, p.Limit)
		e.counts.poolGauge("RoomWaiting", p.Pool, p.Waiting)
		e.counts.poolGauge("PoolClosed", p.Pool, boolGauge(p.Rules != nil && p.Rules.Closed))
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	if _, err := w.Write(e.counts.text()); err != nil {
		e.count("MetricsNotSent")
	}
}

// boolGauge returns 1 for true and 0 for false.
func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Status is the state of a node as reported to operators.
type Status struct {
	Name             string
	AvailabilityZone string
	Ready            bool
	Leaving          bool
	// Epoch and Revision are the position of the records in force, and Version is the
	// version of the table. ConfirmedSeconds is the time since the store last confirmed
	// that the records are the newest.
	Epoch            uint64
	Revision         uint64
	Version          uint64
	Routes           int
	ConfirmedSeconds float64
	ReadsStore       bool
	// DrainedZones take no new flows; FlowsInDrainedZones counts the flows still open
	// there.
	DrainedZones        []string
	FlowsInDrainedZones int
	Peers               []bronzegossip.Peer
	Servers             []bronzesteer.ServerStatus
	// Pools are the pools with the operators' rules in force, Priorities the routes whose
	// priority an operator has replaced.
	Pools      []bronzesteer.PoolStatus
	Priorities []bronzesteer.RoutePriority
}

// Status returns the node's current state.
func (e *Edge) Status() (s Status) {
	now := time.Now()
	p := e.records.Position()
	s = Status{
		Name: e.cfg.Name, AvailabilityZone: e.cfg.AvailabilityZone,
		Ready: e.readyStatus() == http.StatusOK, Leaving: e.isLeaving(),
		Epoch: p.Epoch, Revision: p.Revision, ConfirmedSeconds: e.gossip.SinceConfirmed(now).Seconds(), ReadsStore: e.readsStore(),
		Peers: e.gossip.Peers(now), Servers: e.steerer.Servers(now),
		Pools: e.steerer.Pools(now), Priorities: e.steerer.Priorities(),
	}
	if v := e.steerer.View(); v != nil {
		s.Version, s.Routes = v.Table.Version, len(v.Table.Routes)
		s.DrainedZones, s.FlowsInDrainedZones = v.DrainedZones, e.steerer.FlowsInDrainedZones()
	}
	return s
}

func (e *Edge) serveStatus(w http.ResponseWriter, _ *http.Request) {
	b, err := json.MarshalIndent(e.Status(), "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err = fmt.Fprintln(w, string(b)); err != nil {
		e.count("StatusNotSent")
	}
}

// count counts an event.
func (e *Edge) count(event string) { e.counts.event(event) }
