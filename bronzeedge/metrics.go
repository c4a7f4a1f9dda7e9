package bronzeedge

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"bronzeusher.example/bronzeusher/bronzegossip"
	"bronzeusher.example/bronzeusher/bronzesteer"
)

// Paths that are served at Config.MetricsAddress.
const (
	metricsPath = "/metrics"
	// StatusPath answers with a Status as JSON.
	StatusPath = "/status"
)

func (e *Edge) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+metricsPath, e.answerMetrics)
	mux.HandleFunc("GET "+StatusPath, e.answerStatus)
	return mux
}

func (e *Edge) answerMetrics(w http.ResponseWriter, _ *http.Request) {
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
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	if _, err := w.Write(e.counts.text()); err != nil {
		e.count("MetricsNotSent")
	}
}

// Status is what a node says of itself to an operator.
type Status struct {
	Name             string
	AvailabilityZone string
	Ready            bool
	Leaving          bool
	// Epoch and Revision are those of the records in force, Version that of the routes,
	// and ConfirmedSeconds how long ago the store said there is none newer.
	Epoch            uint64
	Revision         uint64
	Version          uint64
	Routes           int
	ConfirmedSeconds float64
	ReadsStore       bool
	// DrainedZones take no new flows; FlowsInDrainedZones are open there still.
	DrainedZones        []string
	FlowsInDrainedZones int
	Peers               []bronzegossip.Peer
	Servers             []bronzesteer.ServerStatus
}

// Status returns the node's state.
func (e *Edge) Status() (s Status) {
	now := time.Now()
	p := e.records.Position()
	s = Status{
		Name: e.cfg.Name, AvailabilityZone: e.cfg.AvailabilityZone,
		Ready: e.readyStatus() == http.StatusOK, Leaving: e.isLeaving(),
		Epoch: p.Epoch, Revision: p.Revision, ConfirmedSeconds: e.gossip.SinceConfirmed(now).Seconds(), ReadsStore: e.readsStore(),
		Peers: e.gossip.Peers(now), Servers: e.steerer.Servers(now),
	}
	if v := e.steerer.View(); v != nil {
		s.Version, s.Routes = v.Table.Version, len(v.Table.Routes)
		s.DrainedZones, s.FlowsInDrainedZones = v.DrainedZones, e.steerer.FlowsInDrainedZones()
	}
	return s
}

func (e *Edge) answerStatus(w http.ResponseWriter, _ *http.Request) {
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
