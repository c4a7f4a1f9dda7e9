// Bronzefrontier draws how imbalance, exceptions and broken flows trade off
// against each other for different bounds on a server's load.
//
// It is a model, not a cluster: one loop over openings and ends of flows in
// virtual time, in which each owner places its flows with its own
// bronzepool.Pool and hears from the others at the pace of the control
// traffic. Packets, links and failures other than the one kill that is
// measured are left out.
//
// # Usage
//
//	go run ./cmd/bronzefrontier --out docs
//
// writes docs/data/frontier.json and docs/frontier.svg, and prints a table.
// The same seeds give the same figures; each is the
// median of several seeds, with the lowest and the highest.
package main
