// Command standins runs a case of the review: the nodes of a small deployment as
// separate processes, between stand-ins of the platform's store and routers, of
// backend servers and of callers, on loopback addresses.
//
//	standins --case 2 --trouble --record review/2/record.txt
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the
// case couldn't run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// runLimit bounds a run, including its start.
const runLimit = 100 * time.Second

func main() {
	name := flag.String("case", "", "case to run: 1, 2 or 3")
	trouble := flag.Bool("trouble", false, "cause the disruption of the case")
	path := flag.String("record", "", "file for the record of the run")
	flag.Parse()
	os.Exit(run(*name, *trouble, *path))
}

func run(name string, trouble bool, path string) (code int) {
	scenario, known := scenarios[name]
	if !known || path == "" {
		fmt.Fprintln(os.Stderr, "usage: standins --case 1|2|3 [--trouble] --record FILE")
		return exitNoRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	rec := &record{start: time.Now()}
	err := runCase(ctx, rec, scenario, trouble)
	if writeErr := rec.write(path); err == nil {
		err = writeErr
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNoRun
	}
	if n := rec.violationCount(); n > 0 {
		fmt.Printf("rule broken %d times\n", n)
		return exitBroken
	}
	fmt.Println("rule held")
	return exitHeld
}

// runCase starts a deployment, runs a scenario in it and stops it.
func runCase(ctx context.Context, rec *record, scenario func(context.Context, *deployment, bool) error, trouble bool) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	d, err := newDeployment(rec)
	if err != nil {
		cancel()
		return err
	}
	defer d.stop()
	defer cancel()
	if err = d.start(ctx); err != nil {
		return err
	}
	if err = scenario(ctx, d, trouble); err != nil {
		return err
	}
	return d.checkTraffic()
}
