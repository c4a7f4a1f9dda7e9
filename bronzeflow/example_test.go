package bronzeflow_test

import (
	"fmt"
	"net/netip"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

func ExampleTable() {
	var t bronzeflow.Table
	caller := netip.MustParseAddrPort("198.51.100.7:40000")
	service := netip.MustParseAddrPort("192.0.2.10:443")
	k := bronzeflow.NewKey(bronzeflow.TCP, caller, service)
	hash := k.Hash()

	t.Put(&k, hash, bronzeflow.Entry{
		Server: bronzeflow.NewServerID("agency", "map-live-3"),
		State:  bronzeflow.Pending,
		Flags:  bronzeflow.Owned,
	})
	t.Update(&k, hash, func(e *bronzeflow.Entry) { e.State = bronzeflow.Established })

	e, ok := t.Touch(&k, hash, 60)
	fmt.Println(ok, e.State == bronzeflow.Established, e.Used)

	// No packet came for ten minutes: the flow expires.
	t.Range(func(_ *bronzeflow.Key, e bronzeflow.Entry) bool { return e.Used+600 > 660 })
	fmt.Println(t.Len())
	// Output:
	// true true 0
	// 0
}
