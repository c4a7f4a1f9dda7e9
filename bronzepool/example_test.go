package bronzepool_test

import (
	"fmt"
	"net/netip"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzepool"
)

func service() *bronzeconf.Service {
	svc := &bronzeconf.Service{Customer: "Acme", Name: "web"}
	svc.Policy.ImbalanceBound = 1.05
	svc.Limits.HalfOpen = 1
	for _, instance := range []string{"web-1", "web-2"} {
		svc.Pool = append(svc.Pool, bronzeconf.BackendServer{
			ID:          bronzeflow.NewServerID(svc.Customer, instance),
			Instance:    instance,
			Connections: 2000,
			Status:      bronzeconf.Serving,
		})
	}
	return svc
}

func ExamplePool() {
	var p bronzepool.Pool
	p.SetService(service())
	p.SetOwners(1)

	caller := netip.MustParseAddrPort("198.51.100.7:40000")
	key := bronzeflow.NewKey(bronzeflow.TCP, caller, netip.MustParseAddrPort("192.0.2.1:443"))
	id, first, ok := p.Choose(key.Hash(), nil, false)
	fmt.Println(first, ok)

	// The server refused: another one is chosen, which is an exception.
	p.Refused(id, false)
	other, first, ok := p.Choose(key.Hash(), []bronzeflow.ServerID{id}, false)
	fmt.Println(other != id, first, ok)
	p.Opened(other)
	// Output:
	// true true
	// true false true
}

func ExampleBudget() {
	b := bronzepool.Budget{Share: 0.5, Burst: 1}
	b.CountOpen()
	fmt.Println(b.TryRetry(), b.TryRetry())
	b.CountOpen()
	b.CountOpen()
	fmt.Println(b.TryRetry())
	// Output:
	// true false
	// true
}

func ExampleAdmission() {
	var a bronzepool.Admission
	acc := a.SetService(service())
	fmt.Println(acc.Admit(), acc.Admit())
	acc.Established()
	fmt.Println(acc.Admit())
	// Output:
	// Admitted HalfOpenDenied
	// Admitted
}
