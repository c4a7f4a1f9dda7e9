// Command bronzeedge runs a balancer on a platform where packets carry the
// token of their server, servers register themselves in a store that can only
// be read, and nothing lasts on a VM.
//
//	bronzeedge --settings /etc/bronzeusher/settings.json
//
// The flag can be set by the environment variable that the platform names
// (platform.SettingsVariable). Logs go to standard output as JSON lines. SIGTERM leaves gracefully, SIGHUP reads the
// settings again.
//
// It is a program of its own beside bronzeusher, whose commands and libraries
// take three milliseconds more of processor time to start: on a VM with a
// tenth of a core callers wait ten times as long for it after a power cut.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"bronzeusher.example/bronzeusher/bronzeedge"
	"bronzeusher.example/bronzeusher/platform"
)

// gcPercent is by how much the heap grows before it is collected: half the memory of
// the default, for little processor time.
const gcPercent = 20

// startFor is how long after the start the heap may grow as far as it does by
// default: collected several times while the records are read, it would have the first
// packet wait.
const startFor = 3 * time.Second

// settingsInterval is how often the settings file is looked at. It may change
// without a signal; nothing in it is urgent.
const settingsInterval = 5 * time.Second

// flags is the grammar of the command line.
type flags struct {
	Settings string `required:"" env:"${settings}" help:"JSON file with the settings of this node." type:"path"`
}

func main() {
	time.AfterFunc(startFor, func() { debug.SetGCPercent(gcPercent) })
	var f flags
	kong.Parse(&f,
		kong.Name("bronzeedge"),
		kong.Description("A balancer for packets that carry the token of their server."),
		kong.Vars{"settings": platform.SettingsVariable},
	)
	if err := run(f.Settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(settings string) (err error) {
	cfg, err := bronzeedge.ReadConfig(settings)
	if err != nil {
		return err
	}
	log := bronzeedge.NewLog(os.Stdout)
	defer log.Close()
	e, err := bronzeedge.New(cfg, platform.NewAdapter(cfg.Store), log)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	go handle(signals, e, settings)
	return e.Run(context.Background())
}

// handle makes the node leave at a signal to end, and take in its settings
// when a signal or the file's time says that they changed.
func handle(signals <-chan os.Signal, e *bronzeedge.Edge, settings string) {
	changed := fileTime(settings)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				e.Leave()
				return
			}
		case <-ticker.C:
			at := fileTime(settings)
			if at.Equal(changed) {
				continue
			}
			changed = at
		}
		e.Reload(bronzeedge.ReadConfig(settings))
	}
}

// fileTime returns when a file was last changed, the zero time if that can't
// be told: reading it will say why.
func fileTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
