// Package bronzetest provides small stand-ins for what surrounds the balancers:
// the platform, the fabric, callers and backend servers. They talk to the
// balancers over loopback sockets in the formats of the real ones. They encode
// and decode packets independently of the code under test and count at both
// ends of a flow whether the promises hold. They are not a simulator: time is
// the runtime's clock, and the network is the kernel's.
//
// The Fabric sprays all packets, also those of one flow, over all balancers
// that it believes to be live. A Server is a BackendServer with as much of TCP
// as one request at a time needs. A Caller opens flows, retransmits requests as
// TCP would, and checks that each answer belongs to its request. All of them
// share a Ledger, which detects a request that ran at two servers.
//
// # Usage
//
// Demo runs a whole deployment with real balancers and a disturbance, and
// returns the counts:
//
//	result, err := bronzetest.Demo{Deployment: "riga", Disturb: "rolling"}.Run(ctx)
//	if err != nil {
//		return err
//	}
//	for _, violation := range result.Violations() {
//		fmt.Println(violation)
//	}
//
// The stand-ins can be used without Demo. A test of another balancer opens a
// Fabric with NewFabric, starts Servers on it, adds the balancers' addresses
// with Add, and runs Caller.Flow:
//
//	ledger := &bronzetest.Ledger{}
//	fabric, err := bronzetest.NewFabric(ledger, seed)
//	...
//	fabric.Add(ctx, "balancer-1", "riga-a", edgeAddress, "http://"+httpAddress)
//	caller := &bronzetest.Caller{Fabric: fabric, Address: own, Endpoint: service}
//	outcome := caller.Flow(ctx, requests)
package bronzetest
