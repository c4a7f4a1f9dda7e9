// Command bronzematrix runs the demo under each disturbance, for each
// deployment and seed, one run after another, and writes what was counted to
// a data file, to a section of a page and to a plot.
//
// Everything runs on loopback in real time, so the figures depend on the other
// load of the machine. The data file records the machine, its load average at
// the start, the revision and the date.
//
// # Usage
//
//	go run ./cmd/bronzematrix --out docs
//
// runs both deployments under all disturbances, and writes
// docs/data/matrix.json, the section of docs/MEASUREMENTS.md between the markers
// bronzematrix:begin and bronzematrix:end, and docs/broken.svg.
//
//	go run ./cmd/bronzematrix --sizes 3,5,7,11,16 --out docs
//
// runs the disturbances none, rolling and kill with these numbers of
// balancers instead. The data file keeps the runs of all disturbances.
//
//	go run ./cmd/bronzematrix --from docs/data/matrix.json --out docs
//
// regenerates the section and the plot from the data file, without a run.
//
//	go run ./cmd/bronzematrix --deployments riga --disturbances kill,drain --duration 4s
//
// runs a part of the matrix and prints the tables only.
//
// The row of a run names the promises that it broke, or the error if the run
// failed. All results are written in either case, and the exit status is 1.
package main
