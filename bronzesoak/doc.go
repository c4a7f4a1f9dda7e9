// Package bronzesoak runs real balancers as processes between stand-ins of
// their platform, does harm to them from outside, and checks meanwhile what
// callers and BackendServers are promised, from what these see.
//
// A Plan says what happens when: it is drawn from a seed, or read from a file.
// Nodes are processes of the program under test, stopped, paused, killed and
// restarted by signals. Between them, the store and the servers stand proxies
// on loopback that delay, reset, silence, lose or cut. Callers and servers are
// stand-ins in this process, with an address of their own each.
//
// What callers and servers see is checked against what was published and done:
// see Promise for what must hold. A promise with a bound in time counts only
// where the node, the server and the store concerned have been left alone for
// settled. Clocks of nodes are not set, and they store nothing.
//
// # Usage
//
//	plan := bronzesoak.NewPlan(7, 15*time.Second)
//	result, err := bronzesoak.Run(ctx, plan, bronzesoak.Options{Program: "target/bronzeedge"})
//	fmt.Println(result.Broken)
package bronzesoak
