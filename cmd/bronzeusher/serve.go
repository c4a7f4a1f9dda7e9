package main

import (
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"bronzeusher.example/bronzeusher/bronzecore"
	"bronzeusher.example/bronzeusher/bronzenode"
)

// errSecondSignal is returned when a second signal interrupts the leave.
var errSecondSignal = errors.New("ended at once by a second signal")

// serveCommand has flags for the settings of bronzenode.Config. Fields of Config
// and their flags have the same names, so that a FieldError can be reported
// under the flag.
type serveCommand struct {
	Name             string `required:"" help:"Name of this node, one of a kind in the fleet."`
	Fleet            string `required:"" help:"Name of the fleet."`
	Region           string `help:"Region that this node is in."`
	AvailabilityZone string `required:"" help:"Availability zone that this node is in."`

	EdgeAddress    netip.AddrPort `required:"" help:"Address for packets from the fabric and backend servers (UDP)."`
	DataAddress    netip.AddrPort `required:"" help:"Address for packets relayed by other nodes (UDP)."`
	ControlAddress netip.AddrPort `required:"" help:"Address for the links of other nodes (TCP)."`
	HTTPAddress    netip.AddrPort `name:"http-address" required:"" help:"Address for metrics, health and status (TCP)."`
	FabricAddress  netip.AddrPort `required:"" help:"Where packets to callers are sent (UDP)."`

	Platform    string   `help:"Base URL of the platform."`
	Peers       []string `help:"Control addresses of nodes to join through."`
	Certificate string   `help:"PEM file with this node's certificate." type:"path"`
	Key         string   `help:"PEM file with the certificate's key." type:"path"`
	Authority   string   `help:"PEM file with the authority of all nodes' certificates." type:"path"`
	Plain       bool     `help:"Link nodes without certificates, on loopback addresses only."`

	Capacity      int           `help:"Most flows in the table, 0 for the default."`
	Readers       int           `help:"Goroutines for each packet socket, 0 for the default."`
	Heartbeat     time.Duration `help:"Time between heartbeats, 0 for the default."`
	JoinWait      time.Duration `help:"Longest wait for a first peer, 0 for the default."`
	PollInterval  time.Duration `default:"1s" help:"Time between the polls of a backend server's report."`
	ShareInterval time.Duration `default:"250ms" help:"Least time between loads told to other nodes."`
	LeaveQuiet    time.Duration `default:"2s" help:"Time without packets after which a leaving node ends."`
	LeaveLimit    time.Duration `default:"30s" help:"Longest time of leaving."`

	Attempt    time.Duration `help:"Time that a server has to answer an opening, 0 for the default."`
	RetryAfter time.Duration `help:"Time that a refused caller is told to wait, 0 for the default."`
	LogLevel   string        `default:"info" enum:"debug,info,warn,error" help:"Least level that is logged."`
}

// Run serves until the node fails or a signal makes it leave.
func (c *serveCommand) Run(ctx context.Context, p *program) (err error) {
	cfg := c.config()
	if cfg.Log, err = newLog(p.Stderr, c.LogLevel); err != nil {
		return err
	}
	n, err := bronzenode.New(cfg)
	if err != nil {
		return err
	}
	return p.serve(ctx, n)
}

func (c *serveCommand) config() bronzenode.Config {
	return bronzenode.Config{
		Name:             c.Name,
		Fleet:            c.Fleet,
		Region:           c.Region,
		AvailabilityZone: c.AvailabilityZone,
		EdgeAddress:      c.EdgeAddress,
		DataAddress:      c.DataAddress,
		ControlAddress:   c.ControlAddress,
		HTTPAddress:      c.HTTPAddress,
		FabricAddress:    c.FabricAddress,
		Platform:         c.Platform,
		Peers:            c.Peers,
		Certificate:      c.Certificate,
		Key:              c.Key,
		Authority:        c.Authority,
		Plain:            c.Plain,
		Capacity:         c.Capacity,
		Readers:          c.Readers,
		Timing:           bronzecore.Timing{AttemptTimeout: c.Attempt, RetryAfter: c.RetryAfter},
		Heartbeat:        c.Heartbeat,
		JoinWait:         c.JoinWait,
		PollInterval:     c.PollInterval,
		ShareInterval:    c.ShareInterval,
		LeaveQuiet:       c.LeaveQuiet,
		LeaveLimit:       c.LeaveLimit,
	}
}

// newLog returns a logger that writes JSON lines to w.
func newLog(w io.Writer, level string) (log *logrus.Logger, err error) {
	log = logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.JSONFormatter{
		FieldMap: logrus.FieldMap{
			logrus.FieldKeyTime:  "Time",
			logrus.FieldKeyLevel: "Level",
			logrus.FieldKeyMsg:   "Message",
		},
	})
	parsed, err := logrus.ParseLevel(level)
	log.SetLevel(parsed)
	return log, err
}

// serve runs n until it fails or has left. The first signal makes it leave the
// fleet, the second stops it at once.
func (p *program) serve(ctx context.Context, n *bronzenode.Node) (err error) {
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- n.Run(running) }()
	select {
	case err = <-ended:
		return err
	case <-p.Signals:
	}
	left := make(chan struct{})
	go func() {
		defer close(left)
		_, err = n.Leave(running)
	}()
	select {
	case <-left:
		if runErr := <-ended; runErr != nil {
			return runErr
		}
		return err
	case <-p.Signals:
		n.Kill()
		<-left
		if err = <-ended; err != nil {
			return err
		}
		return errSecondSignal
	}
}
