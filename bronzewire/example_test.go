package bronzewire_test

import (
	"fmt"
	"net/netip"

	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzewire"
)

func ExampleParser() {
	caller := netip.MustParseAddrPort("198.51.100.7:40000")
	service := netip.MustParseAddrPort("192.0.2.10:443")
	raw, err := bronzewire.BuildTCP(nil, caller, service, bronzewire.SYN, 1000, 0, nil)
	if err != nil {
		fmt.Println(err)
		return
	}

	var r bronzewire.Parser
	var p bronzeflow.Packet
	fmt.Println(r.FromCaller(raw, &p), p.Kind, p.Key.ServiceAddrPort())
	fmt.Println(bronzewire.Reason(r.FromCaller(raw[:30], &p)))

	// The service has no room: the caller is refused at once.
	refusal, err := bronzewire.Refusal(nil, raw)
	fmt.Println(err, r.FromServer(refusal, &p), p.Kind, p.Key.CallerAddrPort())
	// Output:
	// <nil> Open 192.0.2.10:443
	// Truncated
	// <nil> <nil> Refuse 198.51.100.7:40000
}
