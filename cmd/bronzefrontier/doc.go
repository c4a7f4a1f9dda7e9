// Command bronzefrontier plots the trade-off between imbalance, exceptions and
// broken flows for several bounds on the load of a server.
//
// It simulates openings and ends of flows in virtual time. Each owner places its
// flows with its own bronzepool.Pool, and receives the counts of the other
// owners and the reports of the servers at intervals like those of the control
// traffic. The simulation has no packets and links. The only failure is the kill
// of an owner, whose broken flows are calculated.
//
// # Usage
//
//	go run ./cmd/bronzefrontier --out docs
//
// writes docs/data/frontier.json and docs/frontier.svg, and prints a table.
// The same seeds give the same results. Each result is the median over several
// seeds, with the lowest and the highest.
package main
