package bronzetest

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzeflow"
)

// deployment is a fleet's zones and services, in the sizes of its operator.
type deployment struct {
	Zones    []string
	Services []serviceSize
}

// serviceSize is one service of a deployment.
type serviceSize struct {
	Customer, Brand, Name string
	SchemaVersion         int
	Bound                 float64
	Endpoint              netip.AddrPort
	Hosts, Slots          int
	// Share is the service's part of the demo's flows.
	Share float64
	// Requests is the length of a flow, 0 means that it stays open. Think is
	// the mean time between its requests.
	Requests int
	ThinkTime    time.Duration
	// MaxImbalance is what is promised of the service.
	MaxImbalance float64
}

const (
	connections = 2000
	longShare   = 0.8
	jobShare    = 0.2
	longThink   = time.Second
	jobThink    = 400 * time.Millisecond
	jobRequests = 3

	openDeadline = 3 * time.Second
	// retryBudget is the share of opens that the demo's services may try
	// again; schema version 1 has it as its default.
	retryBudget = bronzeconf.DefaultRetryBudget
)

var deployments = map[string]deployment{
	"riga": {
		Zones: []string{"riga-a", "riga-b", "riga-c", "riga-d"},
		Services: []serviceSize{
			{
				Customer: "vtka", Brand: "Valsts Telpu Karšu Aģentūra", Name: "map-live",
				SchemaVersion: bronzeconf.SchemaV2, Bound: 1.08, MaxImbalance: 1.10,
				Endpoint: netip.MustParseAddrPort("192.0.2.10:7000"),
				Hosts:    14, Slots: 2, Share: longShare, ThinkTime: longThink,
			},
			{
				Customer: "vtka", Brand: "Valsts Telpu Karšu Aģentūra", Name: "map-archive",
				SchemaVersion: bronzeconf.SchemaV1, MaxImbalance: 1.10,
				Endpoint: netip.MustParseAddrPort("[2001:db8:10::20]:443"),
				Hosts:    4, Slots: 2, Share: jobShare, ThinkTime: jobThink, Requests: jobRequests,
			},
		},
	},
	"klang": {
		Zones: []string{"shah-alam", "petaling", "cyberjaya"},
		Services: []serviceSize{
			{
				Customer: "titik-timbul", Brand: "Titik Timbul Braille Services", Name: "proofdesk",
				SchemaVersion: bronzeconf.SchemaV2, Bound: 1.03, MaxImbalance: 1.05,
				Endpoint: netip.MustParseAddrPort("198.51.100.10:8443"),
				Hosts:    14, Slots: 3, Share: longShare, ThinkTime: longThink,
			},
			{
				Customer: "titik-timbul", Brand: "Titik Timbul Braille Services", Name: "printout",
				SchemaVersion: bronzeconf.SchemaV1, MaxImbalance: 1.10,
				Endpoint: netip.MustParseAddrPort("[2001:db8:20::20]:9100"),
				Hosts:    4, Slots: 3, Share: jobShare, ThinkTime: jobThink, Requests: jobRequests,
			},
		},
	},
}

// service is a service of a running demo.
type service struct {
	serviceSize
	servers  []*Server
	draining map[string]bool
	// edition is part of the brand's text, so that a change can be published.
	edition int
}

func newService(size serviceSize, zones []string) *service {
	svc := &service{serviceSize: size, draining: make(map[string]bool)}
	for i := range size.Hosts {
		svc.servers = append(svc.servers, &Server{
			Customer: size.Customer, Service: size.Name,
			Instance:    fmt.Sprintf("%s-%d", size.Name, i+1),
			Zone:        zones[i%len(zones)],
			Addresses:   []netip.Addr{size.Endpoint.Addr()},
			Connections: connections,
		})
	}
	return svc
}

// serving returns the servers that are not draining.
func (svc *service) serving() []*Server {
	var kept []*Server
	for _, s := range svc.servers {
		if !svc.draining[s.Instance] {
			kept = append(kept, s)
		}
	}
	return kept
}

func (svc *service) pool() []bronzeflow.ServerID {
	var ids []bronzeflow.ServerID
	for _, s := range svc.serving() {
		ids = append(ids, s.id)
	}
	return ids
}

// imbalance returns the busiest serving host's flows over the mean.
func (svc *service) imbalance() float64 {
	var counts []int
	for _, s := range svc.serving() {
		counts = append(counts, s.FlowCount())
	}
	return overMean(counts)
}

// record returns the service's record as an operator publishes it. reports
// is the base URL of the servers' health and load endpoints.
func (svc *service) record(reports string) (body []byte, err error) {
	defer annotate(&err, "write record of "+svc.Name)
	v2 := bronzeconf.NewServiceV2()
	v2.Customer, v2.Name = svc.Customer, svc.Name
	v2.Brand = strings.TrimSpace(svc.Brand + strings.Repeat(" +", svc.edition))
	v2.Addresses = []netip.Addr{svc.Endpoint.Addr()}
	v2.Rules = []bronzeconf.RuleV1{{Protocol: bronzeflow.TCP.String(), Port: svc.Endpoint.Port()}}
	for _, s := range svc.servers {
		v2.Pool = append(v2.Pool, svc.poolEntry(s, reports))
	}
	if svc.SchemaVersion == bronzeconf.SchemaV1 {
		return json.Marshal(bronzeconf.ServiceV1{
			SchemaVersion: bronzeconf.SchemaV1, Customer: v2.Customer, Brand: v2.Brand, Name: v2.Name,
			Addresses: v2.Addresses, Rules: v2.Rules, Pool: v2.Pool,
		})
	}
	v2.Policy.ImbalanceBound = svc.Bound
	v2.Retry.Budget = retryBudget
	v2.OpenDeadline = bronzeconf.Duration(openDeadline)
	return json.Marshal(v2)
}

func (svc *service) poolEntry(s *Server, reports string) bronzeconf.BackendServerV1 {
	status := bronzeconf.Serving
	if svc.draining[s.Instance] {
		status = bronzeconf.Draining
	}
	return bronzeconf.BackendServerV1{
		Instance: s.Instance, Address: s.Address(), AvailabilityZone: s.Zone,
		Slots: svc.Slots, Connections: connections, Status: status,
		Report: reports + "/" + s.Instance,
	}
}
