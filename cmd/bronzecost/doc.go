// Command bronzecost measures the processor time, memory and traffic of the
// balancer. It measures each cost at four or more sizes, such as numbers of
// nodes or flows, and fits a line to them. From the values and lines it
// calculates the tables of docs/CAPACITY.md.
//
// The measurements are Go benchmarks, and tests that count messages and bytes
// in a synctest bubble. The command runs them with `go test`, so the go tool
// must be installed and the working directory must be in the module. Each
// timing is the median of several runs on one processor.
//
// # Usage
//
//	go run ./cmd/bronzecost --out docs/data/cost.json --page docs/CAPACITY.md
//
// measures all costs, which takes three to five minutes on an idle machine,
// prints a table, writes the data file, and rewrites the marked tables of the
// page.
//
//	go run ./cmd/bronzecost --quick
//	go run ./cmd/bronzecost --name Opening
//
// use shorter runs, or measure only the costs whose names start with the given
// prefix.
//
//	go run ./cmd/bronzecost --from docs/data/cost.json --page docs/CAPACITY.md
//
// rewrites the page from a data file without measuring.
package main
