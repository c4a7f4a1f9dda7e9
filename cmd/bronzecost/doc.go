// Command bronzecost measures what the balancer costs, and fits to each cost
// that grows with something a line over at least four sizes. From the lines it
// works out the tables of docs/CAPACITY.md.
//
// The measurements are Go benchmarks, and tests that count on the paused
// clock. The command runs them by `go test`, so a go tool has to be installed
// and the working directory has to be in the module. Each timing is the
// median of several runs on one processor.
//
// # Usage
//
//	go run ./cmd/bronzecost --out docs/data/cost.json --page docs/CAPACITY.md
//
// measures everything, which takes three to five minutes on a quiet machine,
// prints a table, writes the data file, and rewrites the marked tables of the
// page.
//
//	go run ./cmd/bronzecost --quick
//	go run ./cmd/bronzecost --name Opening
//
// take shorter runs, or only the costs whose name starts with the given one.
//
//	go run ./cmd/bronzecost --from docs/data/cost.json --page docs/CAPACITY.md
//
// rewrites the page from a data file without measuring.
package main
