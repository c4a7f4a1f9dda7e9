package bronzecore_test

import (
	"fmt"
	"net/netip"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzecore"
	"bronzeusher.example/bronzeusher/bronzeflow"
)

// A minimal driver: it passes packets as plain structs, without transport
// headers, and prints the actions that it would have to carry out.
func Example() {
	record := []byte(`{"SchemaVersion": 1, "Customer": "Registry", "Brand": "Maps", "Name": "live",
		"Addresses": ["192.0.2.1"], "Rules": [{"Protocol": "TCP", "Port": 443}],
		"Pool": [{"Instance": "host-1", "Address": "198.51.100.1:6080", "AvailabilityZone": "a",
			"Slots": 2, "Connections": 2000, "Status": "Serving"}]}`)
	b := &bronzecore.Balancer{Name: "vm-1"}
	b.SetSnapshot(bronzeconf.Build(1, []bronzeconf.Record{{Name: "live", Body: record}}))

	key := bronzeflow.NewKey(bronzeflow.TCP,
		netip.MustParseAddrPort("203.0.113.7:4000"), netip.MustParseAddrPort("192.0.2.1:443"))
	server := bronzeflow.NewServerID("Registry", "host-1")
	show := func(out []bronzecore.Action) {
		for i := range out {
			fmt.Println(out[i].Kind, out[i].Packet.Kind, out[i].Reason)
		}
	}
	show(b.FromCaller(&bronzeflow.Packet{Key: key, Kind: bronzeflow.Open}, nil))
	show(b.FromServer(&bronzeflow.Packet{Key: key, Kind: bronzeflow.Accept}, []bronzeflow.ServerID{server}, nil))
	show(b.FromCaller(&bronzeflow.Packet{Key: key, Kind: bronzeflow.Data, Payload: 100}, nil))
	show(b.FromCaller(&bronzeflow.Packet{Key: key, Kind: bronzeflow.Close}, nil))
	// Output:
	// Forward Open None
	// Reply Accept None
	// Forward Data None
	// Forward Close None
}
