// Command bronzeedge runs a balancer on a platform where packets carry the
// token of their server, servers register themselves in a metadata store that is
// read-only for the balancer, and nothing is kept on a VM.
//
//	bronzeedge --settings /etc/bronzeusher/settings.json
//
// The flag can also be set by the platform's environment variable
// (platform.SettingsVariable). Logs go to standard output as JSON lines. SIGTERM
// makes the node leave gracefully, SIGHUP reloads the settings.
//
// It is a separate program from bronzeusher, whose commands and libraries take
// three milliseconds more of processor time to start. On a VM with a tenth of a
// core that takes ten times as long, and after a power cut callers wait for it.
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
	"bronzeusher.example/bronzeusher/bronzesignal"
	"bronzeusher.example/bronzeusher/platform"
)

// gcPercent is the heap growth in percent that triggers a collection. It halves the memory
// compared with the default, for little processor time.
const gcPercent = 20

// startupTime is how long after the start the default of GOGC applies: several collections
// while the records are read would delay the first packet.
const startupTime = 3 * time.Second

// settingsInterval is how often the settings file is checked. It may change without a
// signal; nothing in it is urgent.
const settingsInterval = 5 * time.Second

// flags are the command-line flags.
type flags struct {
	Settings string `required:"" env:"${settings}" help:"JSON file with the settings of this node." type:"path"`
}

func main() {
	reload := bronzesignal.Hangups()
	time.AfterFunc(startupTime, func() { debug.SetGCPercent(gcPercent) })
	var f flags
	kong.Parse(&f,
		kong.Name("bronzeedge"),
		kong.Description("A balancer for packets that carry the token of their server."),
		kong.Vars{"settings": platform.SettingsVariable},
	)
	if err := run(f.Settings, reload); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(settings string, reload <-chan os.Signal) (err error) {
	cfg, refused, err := bronzeedge.ReadInitialConfig(settings)
	if err != nil {
		return err
	}
	log := bronzeedge.NewLog(os.Stdout)
	defer log.Close()
	e, err := bronzeedge.New(cfg, platform.NewAdapter(cfg.Store), log)
	if err != nil {
		return err
	}
	if refused != nil {
		e.Reload(cfg, refused)
	}
	// A channel of its own keeps a stop from waiting behind reloads, and from being discarded
	// while signals to reload fill the channel.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		e.Leave()
	}()
	go reloadSettings(reload, e, settings)
	return e.Run(context.Background())
}

// reloadSettings reloads the settings on SIGHUP or when the modification time of the file
// changes.
func reloadSettings(reload <-chan os.Signal, e *bronzeedge.Edge, settings string) {
	changed := modTime(settings)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-reload:
		case <-ticker.C:
			at := modTime(settings)
			if at.Equal(changed) {
				continue
			}
			changed = at
		}
		e.Reload(bronzeedge.ReadConfig(settings))
	}
}

// modTime returns when a file was last modified, or the zero time if that can't be read;
// reading the file reports why.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
