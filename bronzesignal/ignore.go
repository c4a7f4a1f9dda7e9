//go:build !cgo

package bronzesignal

import (
	"os/signal"
	"syscall"
)

func init() { signal.Ignore(syscall.SIGHUP) }
