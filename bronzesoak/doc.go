// Package bronzesoak is a fault-injection soak test. It runs real balancers as
// processes between stand-ins of their platform, injects faults from outside,
// and checks invariants on what callers and BackendServers observe.
//
// A Plan schedules the faults and other events of a run. It is generated from a
// seed or read from a file. Nodes are processes of the program under test that
// are stopped, paused, killed and restarted by signals. Proxies on loopback
// addresses between nodes, the store and the servers delay, reset, stall, drop
// or block traffic. Callers and servers are stand-ins in this process.
//
// Observations of callers and servers are checked against what was published
// and injected: see Invariant. An invariant with a time bound is checked only
// where the node, the server or the store concerned has been undisturbed for
// four seconds. Refusals for lack of room are checked in the nodes' logs, which
// have the load that a refusal was based on, in plans with an Overload. Nodes
// store nothing and their clocks are not changed, so there are no faults of disks
// or clocks.
//
// # Usage
//
//	plan := bronzesoak.NewPlan(7, 15*time.Second)
//	result, err := bronzesoak.Run(ctx, plan, bronzesoak.Options{Program: "target/bronzeedge"})
//	fmt.Println(result.Broken)
package bronzesoak
