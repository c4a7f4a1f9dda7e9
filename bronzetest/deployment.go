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

// deployment is a fleet's zones and services, sized as its operator has them.
type deployment struct {
	Zones    []string
	Services []serviceSize
}

// serviceSize describes one service of a deployment.
type serviceSize struct {
	Customer, Brand, Name string
	SchemaVersion         int
	Bound                 float64
	Endpoint              netip.AddrPort
	Hosts, Slots          int
	// Share is the service's share of the demo's flows.
	Share float64
	// Requests is the number of requests of a flow, 0 means that it stays open.
	// ThinkTime is the mean time between an answer and the next request.
	Requests  int
	ThinkTime time.Duration
	// MaxImbalance is the promised limit of the service's imbalance.
	MaxImbalance float64
}

const (
	connections   = 2000
	longShare     = 0.8
	jobShare      = 0.2
	longThinkTime = time.Second
	jobThinkTime  = 400 * time.Millisecond
	jobRequests   = 3

	openDeadline = 3 * time.Second
	// retryBudget is the share of openings that the demo's services may retry.
	// Services of schema version 1 have it by default.
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
				Hosts:    14, Slots: 2, Share: longShare, ThinkTime: longThinkTime,
			},
			{
				Customer: "vtka", Brand: "Valsts Telpu Karšu Aģentūra", Name: "map-archive",
				SchemaVersion: bronzeconf.SchemaV1, MaxImbalance: 1.10,
				Endpoint: netip.MustParseAddrPort("[2001:db8:10::20]:443"),
				Hosts:    4, Slots: 2, Share: jobShare, ThinkTime: jobThinkTime, Requests: jobRequests,
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
				Hosts:    14, Slots: 3, Share: longShare, ThinkTime: longThinkTime,
			},
			{
				Customer: "titik-timbul", Brand: "Titik Timbul Braille Services", Name: "printout",
				SchemaVersion: bronzeconf.SchemaV1, MaxImbalance: 1.10,
				Endpoint: netip.MustParseAddrPort("[2001:db8:20::20]:9100"),
				Hosts:    4, Slots: 3, Share: jobShare, ThinkTime: jobThinkTime, Requests: jobRequests,
			},
		},
	},
}

// service is the state of a service in a running demo.
type service struct {
	serviceSize
	servers  []*Server
	draining map[string]bool
	// edition is the number of changes. Each adds text to the published brand.
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

func (svc *service) servingIDs() []bronzeflow.ServerID {
	var ids []bronzeflow.ServerID
	for _, s := range svc.serving() {
		ids = append(ids, s.id)
	}
	return ids
}

// imbalance returns the flows of the busiest serving host over the mean.
func (svc *service) imbalance() float64 {
	var counts []int
	for _, s := range svc.serving() {
		counts = append(counts, s.FlowCount())
	}
	return maxOverMean(counts)
}

// record returns the encoded configuration record of the service. reports is
// the base URL of the servers' health and load endpoints.
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
