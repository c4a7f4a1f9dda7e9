package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	// Nothing is reloaded here, and SIGHUP must not end a serving node.
	_ "bronzeusher.example/bronzeusher/bronzesignal"
)

func main() {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	p := program{Stdout: os.Stdout, Stderr: os.Stderr, Signals: signals}
	os.Exit(p.run(context.Background(), os.Args[1:]))
}
