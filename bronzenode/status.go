package bronzenode

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzecore"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// The paths that the HTTP address serves.
const (
	MetricsPath = "/metrics"
	HealthPath  = "/healthz"
	ReadyPath   = "/readyz"
	StatusPath  = "/Status"
)

// Status is the state of a node as operators see it.
type Status struct {
	Name             string
	Fleet            string
	Region           string
	AvailabilityZone string
	// Ready is true if the fabric should send packets to the node.
	Ready   bool
	Leaving bool
	// Fenced is true while the node checks its state with its peers after a
	// pause, Split while another part of the fleet may be partitioned off.
	Fenced bool
	Split  bool
	// ReadsPlatform is true if the node is one of those that read the platform.
	ReadsPlatform bool
	// Balancer has the configuration in force, the services with their
	// backend servers, and the refused records.
	Balancer bronzecore.Status
	Peers    []Peer
	Counters map[string]uint64
}

// Peer is another node of the fleet in a Status.
type Peer struct {
	Name             string
	Status           string
	AvailabilityZone string
	ControlAddress   string
	DataAddress      string
	Revision         uint64
	// Version is the version of the inner protocol on the open link, 0 if
	// there is none.
	Version uint8
}

// Status returns the node's current state.
func (n *Node) Status() Status {
	v := n.members.Load().view
	return Status{
		Name:             n.cfg.Name,
		Fleet:            n.cfg.Fleet,
		Region:           n.cfg.Region,
		AvailabilityZone: n.cfg.AvailabilityZone,
		Ready:            n.Ready(),
		Leaving:          n.leaving.Load(),
		Fenced:           v.Fenced,
		Split:            v.Partitioned,
		ReadsPlatform:    n.cfg.Platform != "" && n.readsPlatform(),
		Balancer:         n.balancer.Status(),
		Peers:            n.peers(),
		Counters:         n.Counters(),
	}
}

// Ready reports whether the fabric should send packets to this node: it knows
// its peers and a configuration, isn't fenced, and is not leaving.
func (n *Node) Ready() bool {
	v := n.members.Load().view
	return v.Ready && !v.Fenced && n.Revision() > 0 && !n.leaving.Load()
}

func (n *Node) peers() (peers []Peer) {
	v := n.members.Load().view
	for _, name := range sortedNames(v.Members) {
		if name == n.cfg.Name {
			continue
		}
		m := v.Members[name]
		version, _ := n.mesh.Version(name)
		peers = append(peers, Peer{
			Name:             name,
			Status:           statusName(m.Status),
			AvailabilityZone: m.AvailabilityZone,
			ControlAddress:   m.ControlAddress,
			DataAddress:      m.DataAddress,
			Revision:         m.Revision,
			Version:          version,
		})
	}
	return peers
}

func statusName(s bronzelink.Status) string {
	names := []string{"Unknown", "Alive", "Suspect", "Leaving", "Dead", "Left"}
	if int(s) < len(names) {
		return names[s]
	}
	return names[0]
}

// handler serves the HTTP address. During a Pause all requests wait.
func (n *Node) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+MetricsPath, n.counters.handler())
	mux.HandleFunc("GET "+HealthPath, func(w http.ResponseWriter, _ *http.Request) { writeHealth(w, true) })
	mux.HandleFunc("GET "+ReadyPath, func(w http.ResponseWriter, _ *http.Request) { writeHealth(w, n.Ready()) })
	mux.HandleFunc("GET "+StatusPath, n.serveStatus)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.gate.wait()
		mux.ServeHTTP(w, r)
	})
}

func writeHealth(w http.ResponseWriter, ok bool) {
	if !ok {
		http.Error(w, "no", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(n.Status()); err != nil {
		n.log.WithError(err).Debug("status not sent")
	}
}

func (n *Node) serveHTTP(s *http.Server) error {
	err := s.Serve(n.http)
	if errors.Is(err, http.ErrServerClosed) || isClosed(err) {
		return nil
	}
	return err
}

// setGauges updates the gauges.
func (n *Node) setGauges() {
	s := n.balancer.Status()
	n.counters.setGauge("Flows", float64(s.Flows))
	n.counters.setGauge("Attempts", float64(s.Attempts))
	n.counters.setGauge("Copies", float64(s.Copies))
	n.counters.setGauge("CopiesDue", float64(s.CopiesDue))
	n.counters.setGauge("Revision", float64(s.Revision))
	n.counters.setGauge("Peers", float64(len(n.members.Load().addresses)))
	n.counters.setGauge("Refusals", float64(len(s.Refusals)))
}
