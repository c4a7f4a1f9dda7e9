// Package bronzesignal keeps SIGHUP from ending a program that is still starting. Its default
// action ends the process, and the signal that tells a daemon to reload its settings may come
// at any time. Where cgo is available, SIGHUP is ignored from before the Go runtime starts, and
// otherwise from the initialization of this package on.
//
// # Usage
//
//	func main() {
//		reload := bronzesignal.Hangups()
//		...
//	}
//
// A program that has nothing to reload imports the package for its effect alone.
package bronzesignal

import (
	"os"
	"os/signal"
	"syscall"
)

// Hangups returns a channel that receives SIGHUP from now on. Signals that come while one is
// waiting are dropped. Earlier signals are lost, so settings are to be read after the call.
func Hangups() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}
