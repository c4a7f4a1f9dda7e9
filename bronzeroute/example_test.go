package bronzeroute_test

import (
	"fmt"
	"net/netip"
	"time"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzeroute"
)

func Example() {
	service := netip.MustParseAddrPort("198.18.0.1:443")
	var d bronzeroute.Directory
	d.SetTable(&bronzeroute.Table{
		Version: 1,
		Routes: []bronzeroute.Route{{
			Service: service,
			Pools:   []bronzeroute.WeightedPool{{Pool: "map-live", Weight: 1}},
		}},
	}, time.Now())
	d.Register(bronzeroute.Server{BackendServer: bronzeconf.BackendServer{Instance: "host-1"}, Pool: "map-live"})

	view := d.View()
	for _, s := range view.Pool(view.Route(service).Pools[0].Pool) {
		fmt.Println(s.Instance, s.Status)
	}
	// Output: host-1 Serving
}
