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

var brands = []string{"Registry", "Braille", "Archive"}

// brandRecords gives each address in claims to the Customer of that number.
// Each Customer has one server.
func brandRecords(claims []int) (records []bronzeconf.Record) {
	for i, customer := range brands {
		addresses := ""
		for a, claim := range claims {
			if claim != i {
				continue
			}
			if addresses != "" {
				addresses += ", "
			}
			addresses += fmt.Sprintf("%q", brandAddress(a).Addr())
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

func brandAddress(a int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(a + 1)}), 443)
}

// Addresses move between Customers while callers open flows and go on with
// them, servers answer whatever they like for any flow, and a peer tells
// mappings of its own. In any order: a caller's packet goes only to a server
// of the Customer that has its destination then, and only such a server's
// packets reach the caller.
func TestNoPacketCrossesBrands(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.SliceOfN(rapid.IntRange(0, 5), 5, 5), 1, 60).Draw(r, "steps")
		synctest.Test(t, func(t *testing.T) { brandStory(t, steps) })
	})
}

func brandStory(t *testing.T, steps [][]int) {
	b := &bronzecore.Balancer{Name: "vm-0"}
	claims := []int{0, 1, 2}
	b.SetSnapshot(bronzeconf.Build(1, brandRecords(claims)))
	for i, s := range steps {
		op, address, caller, server, kind := s[0], s[1]%3, s[2], s[3]%3, s[4]
		protocol := bronzeflow.TCP
		if caller > 3 {
			protocol = bronzeflow.UDP
		}
		from := netip.AddrPortFrom(netip.MustParseAddr("203.0.113.7"), uint16(1024+caller))
		p := &bronzeflow.Packet{Key: bronzeflow.NewKey(protocol, from, brandAddress(address)), Payload: kind}
		id := bronzeflow.NewServerID(brands[server], "h")
		var out []bronzecore.Action
		switch op {
		case 0:
			claims[address] = server
			b.SetSnapshot(bronzeconf.Build(uint64(i+2), brandRecords(claims)))
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
				require.Equal(t, bronzeflow.NewServerID(brands[claims[address]], "h"), a.Server, "step %d", i)
			}
		}
	}
}

// Datagrams of a caller stay with the server that got the first one, also
// when that server starts to leave, and after the owner of the flow dies: the
// next one has the copy of an exception, and computes the rest.
func TestDatagramsStay(t *testing.T) {
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
		w.settle(copyTime)
		w.sendDatagrams(first)
		w.kill(w.names()[0])
		w.setViews(w.names())
		w.settle(copyTime)
		w.sendDatagrams(first)
	})
}
