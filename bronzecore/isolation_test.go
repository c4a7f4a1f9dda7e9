package bronzecore_test

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzecore"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

var customers = []string{"Registry", "Braille", "Archive"}

// customerRecords returns records that give the address a to the Customer with
// the index claims[a]. Each Customer has one server.
func customerRecords(claims []int) (records []bronzeconf.Record) {
	for i, customer := range customers {
		addresses := ""
		for a, claim := range claims {
			if claim != i {
				continue
			}
			if addresses != "" {
				addresses += ", "
			}
			addresses += fmt.Sprintf("%q", customerAddress(a).Addr())
		}
		if addresses == "" {
			continue
		}
		body := fmt.Sprintf(`{"SchemaVersion": 1, "Customer": %q, "Brand": "b", "Name": "s",
			"Addresses": [%s], "Rules": [{"Protocol": "TCP", "Port": 443}, {"Protocol": "UDP", "Port": 443}],
			"Pool": [{"Instance": "h", "Address": "198.51.100.%d:6080", "AvailabilityZone": "a",
			"Slots": 1, "Connections": 100, "Status": "Serving"}]}`, customer, addresses, i+1)
		records = append(records, bronzeconf.Record{Name: customer, Body: []byte(body)})
	}
	return records
}

func customerAddress(a int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(a + 1)}), 443)
}

// Addresses move between Customers while callers use flows, servers send any
// packets for any flow, and a peer sends arbitrary mappings, in any order. A
// caller's packet may go only to a server of the Customer that currently has its
// destination, and only packets of such a server may reach the caller.
func TestNoPacketCrossesCustomers(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.SliceOfN(rapid.IntRange(0, 5), 5, 5), 1, 60).Draw(r, "steps")
		synctest.Test(t, func(t *testing.T) { runIsolationSteps(t, steps) })
	})
}

func runIsolationSteps(t *testing.T, steps [][]int) {
	b := &bronzecore.Balancer{Name: "vm-0"}
	claims := []int{0, 1, 2}
	b.SetSnapshot(bronzeconf.Build(1, customerRecords(claims)))
	for i, s := range steps {
		op, address, caller, server, kind := s[0], s[1]%3, s[2], s[3]%3, s[4]
		protocol := bronzeflow.TCP
		if caller > 3 {
			protocol = bronzeflow.UDP
		}
		from := netip.AddrPortFrom(netip.MustParseAddr("203.0.113.7"), uint16(1024+caller))
		p := &bronzeflow.Packet{Key: bronzeflow.NewKey(protocol, from, customerAddress(address)), Payload: kind}
		id := bronzeflow.NewServerID(customers[server], "h")
		var out []bronzecore.Action
		switch op {
		case 0:
			claims[address] = server
			b.SetSnapshot(bronzeconf.Build(uint64(i+2), customerRecords(claims)))
		case 1, 2:
			p.Kind = []bronzeflow.Kind{1, 1, 2, 2, 3, 4}[kind]
			out = b.FromCaller(p, nil)
		case 3, 4:
			p.Kind = []bronzeflow.Kind{2, 6, 7, 6, 3, 4}[kind]
			out = b.FromServer(p, []bronzeflow.ServerID{id}, nil)
		case 5:
			m := &bronzelink.Mapping{Key: p.Key, Server: id, State: bronzeflow.Established}
			out = b.HandleMessage(&bronzelink.FlowMessage{Learn: m}, "vm-1", nil)
		}
		for _, a := range out {
			switch a.Kind {
			case bronzecore.Forward, bronzecore.Probe, bronzecore.Reply:
				require.Equal(t, bronzeflow.NewServerID(customers[claims[address]], "h"), a.Server, "step %d", i)
			}
		}
	}
}

// Datagrams of a caller go to the server that got the first one, even when that
// server starts to drain and after the flow's owner dies: the next owner has the
// copies of exceptions and computes the servers of all other flows.
func TestDatagramsPinned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 3, 4)
		w.record.Rules = append(w.record.Rules, map[string]any{"Protocol": "UDP", "Port": serviceAddr.Port()})
		w.publish()
		first := make(map[bronzeflow.Key]bronzeflow.ServerID)
		for i := range 40 {
			caller := netip.AddrPortFrom(netip.MustParseAddr("203.0.113.9"), uint16(1024+i))
			first[bronzeflow.NewKey(bronzeflow.UDP, caller, serviceAddr)] = 0
		}
		w.sendDatagrams(first)
		w.drain(0)
		w.run(copyTime)
		w.sendDatagrams(first)
		w.kill(w.names()[0])
		w.setViews(w.names())
		w.run(copyTime)
		w.sendDatagrams(first)
	})
}
