// Package bronzetest holds small stand-ins for what surrounds the balancers:
// the platform, the fabric, callers and backend servers. They talk to the
// balancers over loopback sockets in the forms that the real ones use, build
// and read their packets apart from the code under test, and count at both
// ends of a flow whether the promises hold. They are no simulator: time is
// the runtime's clock, and the network is the kernel's.
//
// The Fabric sprays every packet, also the packets of one flow, over all
// balancers that it believes to be live. A Server is a BackendServer with as
// much of TCP as one request at a time needs. A Caller opens flows, sends
// requests again as TCP would, and checks that each answer is its own. All
// of them share a Ledger, so that a request that ran at two servers shows.
//
// # Usage
//
// Demo runs a whole deployment with real balancers and a disturbance, and
// returns what was counted:
//
//	result, err := bronzetest.Demo{Deployment: "riga", Disturb: "rolling"}.Run(ctx)
//	if err != nil {
//		return err
//	}
//	for _, promise := range result.BrokenPromises() {
//		fmt.Println(promise)
//	}
//
// The parts work alone, too. A test of another balancer opens a Fabric with
// NewFabric, starts Servers on it, tells it where the balancers are with
// Add, and runs Caller.Flow:
//
//	ledger := &bronzetest.Ledger{}
//	fabric, err := bronzetest.NewFabric(ledger, seed)
//	...
//	fabric.Add(ctx, "balancer-1", "riga-a", edgeAddress, "http://"+httpAddress)
//	caller := &bronzetest.Caller{Fabric: fabric, Address: own, Endpoint: service}
//	outcome := caller.Flow(ctx, requests)
package bronzetest
