// Command bronzematrix runs the demo under each disturbance, for each
// deployment and seed, one run after another, and writes what was counted to
// a data file, to a section of a page and to a plot.
//
// Everything runs on loopback in real time, so the figures depend on what
// else the machine does meanwhile. The data file names the machine, its load
// average at the start, the revision and the date.
//
// # Usage
//
//	go run ./cmd/bronzematrix --out docs
//
// runs both deployments under all disturbances, and writes
// docs/data/matrix.json, the section of docs/MEASUREMENTS.md between the marks
// bronzematrix:begin and bronzematrix:end, and docs/broken.svg.
//
//	go run ./cmd/bronzematrix --sizes 3,5,7,11,16 --out docs
//
// runs the disturbances none, rolling and kill with these numbers of
// balancers instead. The data file keeps the other part.
//
//	go run ./cmd/bronzematrix --from docs/data/matrix.json --out docs
//
// writes the section and the plot again without a run.
//
//	go run ./cmd/bronzematrix --deployments riga --disturbances kill,drain --duration 4s
//
// tries a part out and prints the tables only.
//
// A run that broke a promise names it in its row, and a run that couldn't be
// made names the cause. All is written nevertheless, and the exit status is 1.
package main
