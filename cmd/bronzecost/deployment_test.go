package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzecore"
	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// self is the node whose costs are measured.
const self = "riga-a-0"

// deployments are sizes of the configuration, from that of a single Customer up
// to the target.
var deployments = []deployment{{4, 18}, {20, 320}, {100, 1600}, {320, 5100}}

// sharingDeployments are sizes of the configuration at which a node shares its
// counts.
var sharingDeployments = []deployment{{4, 18}, {20, 320}, {100, 1600}, {300, 4900}}

// targetDeployment is the target size.
var targetDeployment = deployments[len(deployments)-1]

// fleets are the measured fleet sizes.
var fleets = []int{7, 40, 82, targetNodes}

// deployment is a configuration whose hosts are divided evenly among the
// services. Each service has one address.
type deployment struct{ services, hosts int }

// serviceAddress returns the address of service i.
func serviceAddress(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{203, 0, byte(i >> 8), byte(i)})
}

// hostAddress returns the tunnel endpoint of host j.
func hostAddress(j int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(j >> 8), byte(j)}), 6080)
}

// records returns the records of d, all at the given revision.
func (d deployment) records(revision uint64) (list []bronzeconf.StoredRecord) {
	for i := range d.services {
		v := bronzeconf.NewServiceV2()
		v.Customer = fmt.Sprintf("Customer%03d", i)
		v.Brand = "Brand"
		v.Name = fmt.Sprintf("service-%03d", i)
		v.Addresses = []netip.Addr{serviceAddress(i)}
		v.Limits = bronzeconf.LimitsV2{} // no limits: flows are opened as fast as possible
		v.Rules = []bronzeconf.RuleV1{{Protocol: "TCP", Port: 443}}
		for j := i * d.hosts / d.services; j < (i+1)*d.hosts/d.services; j++ {
			v.Pool = append(v.Pool, bronzeconf.BackendServerV1{
				Instance:         fmt.Sprintf("host-%04d", j),
				Address:          hostAddress(j),
				AvailabilityZone: fmt.Sprintf("riga-%c", 'a'+j%4),
				Slots:            2,
				Connections:      1_000_000,
				Report:           fmt.Sprintf("http://%s:8080/report", hostAddress(j).Addr()),
			})
		}
		body, err := json.Marshal(&v)
		if err != nil {
			panic(err)
		}
		list = append(list, bronzeconf.StoredRecord{Name: v.Customer + "/" + v.Name, Revision: revision, Body: body})
	}
	return list
}

// versions returns the names and revisions of records.
func versions(list []bronzeconf.StoredRecord) (present []bronzeconf.RecordVersion) {
	for _, r := range list {
		present = append(present, bronzeconf.RecordVersion{Name: r.Name, Revision: r.Revision})
	}
	return present
}

// store returns a Store with d in force.
func (d deployment) store(t testing.TB) *bronzeconf.Store {
	s := &bronzeconf.Store{}
	list := d.records(1)
	_, err := s.Apply(1, versions(list), list)
	require.NoError(t, err)
	require.Empty(t, s.Snapshot().Refusals)
	require.Len(t, s.Snapshot().Services, d.services)
	return s
}

// balancer returns a Balancer with d in force and without a view.
func (d deployment) balancer(t testing.TB) *bronzecore.Balancer {
	b := &bronzecore.Balancer{Name: self}
	b.SetSnapshot(d.store(t).Snapshot())
	return b
}

// key returns the key of flow i. Flows are assigned to the services in turn.
func (d deployment) key(i int) bronzeflow.Key {
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(i >> 20), byte(i >> 12), byte(i >> 4)}), uint16(1024+i&15))
	return bronzeflow.NewKey(bronzeflow.TCP, caller, netip.AddrPortFrom(serviceAddress(i%d.services), 443))
}

// openFlow establishes the flow with the given key and returns its server.
func openFlow(t testing.TB, b *bronzecore.Balancer, key bronzeflow.Key) bronzeflow.ServerID {
	out := b.FromCaller(&bronzeflow.Packet{Key: key, Kind: bronzeflow.Open}, nil)
	require.Equal(t, bronzecore.Forward, out[0].Kind, out[0].Reason)
	id := out[0].Server
	out = b.FromServer(&bronzeflow.Packet{Key: key, Kind: bronzeflow.Accept, Echo: 1}, []bronzeflow.ServerID{id}, nil)
	require.Equal(t, bronzecore.Reply, out[0].Kind, out[0].Reason)
	return id
}

// members returns n members of a fleet in six zones of two regions. The first
// is self.
func members(n int) (list []bronzelink.Member) {
	for i := range n {
		region, zone := "riga", i%6
		if zone >= 3 {
			region = "klang"
		}
		list = append(list, bronzelink.Member{
			Name:             fmt.Sprintf("%s-%c-%d", region, 'a'+zone%3, i),
			Incarnation:      uint64(i+1) << 16,
			Status:           bronzelink.Alive,
			AvailabilityZone: fmt.Sprintf("%s-%c", region, 'a'+zone%3),
			Region:           region,
			ControlAddress:   fmt.Sprintf("10.1.%d.%d:7000", i>>8, i&255),
			DataAddress:      fmt.Sprintf("10.1.%d.%d:7001", i>>8, i&255),
		})
	}
	return list
}

// view returns the view that self has of a fleet of n members without recent
// changes.
func view(n int) *bronzefleet.View {
	long := time.Now().Add(-time.Hour)
	v := bronzefleet.NewView(self, members(n), nil, long)
	v.Ready = true
	return v
}

// keysByOwner returns n keys of flows that self owns in v, or, if own is false,
// that other nodes own.
func (d deployment) keysByOwner(v *bronzefleet.View, n int, own bool) (keys []bronzeflow.Key) {
	for i := 0; len(keys) < n; i++ {
		key := d.key(i)
		if (v.Owner(key.Hash()) == self) == own {
			keys = append(keys, key)
		}
	}
	return keys
}

// heapOf returns the bytes of heap that the result of build retains.
func heapOf[T any](build func() T) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// benchHeap reports the heap that the result of build retains.
func benchHeap[T any](b *testing.B, name string, build func() T) {
	b.Run(name, func(b *testing.B) {
		heap := 0.0
		for b.Loop() {
			heap = heapOf(build)
		}
		b.ReportMetric(heap, "B-heap")
	})
}
