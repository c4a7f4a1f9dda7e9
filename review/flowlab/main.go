package main

import (
	"fmt"
	"os"
	"time"
)

// cases are the scenarios by name. Each returns an error if it could not run.
var cases = map[string]func(l *lab, trouble bool) error{
	"drains":   runDrains,
	"freezes":  runFreezes,
	"ports":    runPorts,
	"restarts": runRestarts,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: flowlab CASE FOLDER")
		return 2
	}
	l, err := newLab(os.Args[2], uint64(time.Now().UnixNano()))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	l.note("case %s, trouble %v", os.Args[1], trouble)
	err = cases[os.Args[1]](l, trouble)
	code := l.finish()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return code
}
