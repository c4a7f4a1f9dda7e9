package bronzenode

import (
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"runtime"
	"time"

	"github.com/sirupsen/logrus"

	"bronzeusher.example/bronzeusher/bronzecore"
)

// The defaults of a Config's zero fields.
const (
	DefaultLeaveQuiet    = 2 * time.Second
	DefaultLeaveLimit    = 30 * time.Second
	DefaultPollInterval  = time.Second
	DefaultShareInterval = 250 * time.Millisecond
	maxDefaultReaders    = 4
)

// Config holds the settings of a Node. Zero durations and counts select the
// defaults. Ports may be 0; the Node's methods return the bound addresses.
type Config struct {
	// Name is the node's name, unique in the fleet.
	Name string
	// Fleet is the name of the fleet; nodes of other fleets are refused.
	Fleet            string
	Region           string
	AvailabilityZone string
	// EdgeAddress takes encapsulated packets from the fabric and from
	// backend servers (UDP).
	EdgeAddress netip.AddrPort
	// DataAddress takes relayed packets and flow messages from other nodes
	// (UDP). It is advertised to them, so its IP can't be unspecified.
	DataAddress netip.AddrPort
	// ControlAddress takes the control links of other nodes (TCP). It is
	// advertised to them, so its IP can't be unspecified.
	ControlAddress netip.AddrPort
	// HTTPAddress serves metrics, health and status to operators (TCP).
	HTTPAddress netip.AddrPort
	// FabricAddress is where packets to callers are sent (UDP).
	FabricAddress netip.AddrPort
	// Platform is the base URL of the platform; empty means none.
	Platform string
	// Peers are the control addresses of nodes to join through.
	Peers []string
	// Certificate, Key and Authority are PEM files for mutual TLS on control
	// links; they are read again when they change. Without them Plain must
	// be set, which is accepted on loopback addresses only.
	Certificate string
	Key         string
	Authority   string
	Plain       bool
	// Capacity bounds the number of entries in the flow table.
	Capacity int
	// Readers is the number of goroutines that serve each packet socket.
	Readers int
	// Timing holds the durations of the decisions.
	Timing bronzecore.Timing
	// Heartbeat is the fleet's heartbeat interval, JoinWait bounds the wait
	// for a first peer; 0 selects the fleet's default.
	Heartbeat time.Duration
	JoinWait  time.Duration
	// PollInterval is the time between two rounds of polls for backend
	// servers' reports, each of at most pollsPerInterval servers.
	PollInterval time.Duration
	// ShareInterval is the minimum time between two loads sent to the other
	// nodes. The fleet's byte budget may make it longer.
	ShareInterval time.Duration
	// LeaveQuiet is how long a leaving node must have received no caller's
	// packet from the fabric before it ends.
	LeaveQuiet time.Duration
	// LeaveLimit bounds the total time that leaving takes.
	LeaveLimit time.Duration

	// Log takes the node's log; nil means the standard logger.
	Log *logrus.Logger
	// Client makes the requests to the platform and for reports; nil means a
	// client of the node's own.
	Client *http.Client
	// Partitioned, if set, reports whether datagrams and control links from
	// one address to another are lost. Tests and demos simulate network
	// partitions with it.
	Partitioned func(from, to netip.AddrPort) bool
}

// FieldError reports which field of a Config is invalid, and why.
type FieldError struct {
	Field  string
	Reason string
}

// Error returns the field and the reason.
func (e *FieldError) Error() string {
	return e.Field + ": " + e.Reason
}

// Check returns the first invalid field of c as a *FieldError, or nil.
func (c *Config) Check() error {
	checks := []func() *FieldError{
		c.checkNames,
		c.checkAddresses,
		c.checkPlatform,
		c.checkCredentials,
		c.checkNumbers,
	}
	for _, check := range checks {
		if fault := check(); fault != nil {
			return fault
		}
	}
	return nil
}

func (c *Config) checkNames() *FieldError {
	names := []struct{ field, value string }{
		{"Name", c.Name},
		{"Fleet", c.Fleet},
		{"AvailabilityZone", c.AvailabilityZone},
	}
	for _, n := range names {
		if n.value == "" {
			return &FieldError{Field: n.field, Reason: "is required"}
		}
	}
	return nil
}

func (c *Config) checkAddresses() *FieldError {
	addresses := []struct {
		field      string
		value      netip.AddrPort
		advertised bool
	}{
		{"EdgeAddress", c.EdgeAddress, false},
		{"DataAddress", c.DataAddress, true},
		{"ControlAddress", c.ControlAddress, true},
		{"HTTPAddress", c.HTTPAddress, false},
		{"FabricAddress", c.FabricAddress, true},
	}
	for _, a := range addresses {
		if !a.value.IsValid() {
			return &FieldError{Field: a.field, Reason: "must be an IP address and a port"}
		}
		if a.advertised && a.value.Addr().IsUnspecified() {
			return &FieldError{Field: a.field, Reason: "must be an address that others can reach, not " + a.value.String()}
		}
	}
	if c.FabricAddress.Port() == 0 {
		return &FieldError{Field: "FabricAddress", Reason: "must have a port"}
	}
	return c.checkPeers()
}

func (c *Config) checkPeers() *FieldError {
	for _, peer := range c.Peers {
		address, err := netip.ParseAddrPort(peer)
		if err != nil || address.Port() == 0 {
			return &FieldError{Field: "Peers", Reason: fmt.Sprintf("%q is not an IP address and a port", peer)}
		}
	}
	return nil
}

func (c *Config) checkPlatform() *FieldError {
	if c.Platform == "" {
		return nil
	}
	u, err := url.Parse(c.Platform)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return &FieldError{Field: "Platform", Reason: fmt.Sprintf("%q is not an HTTP URL", c.Platform)}
	}
	return nil
}

func (c *Config) checkCredentials() *FieldError {
	if c.Plain {
		return c.checkPlain()
	}
	files := []struct{ field, value string }{
		{"Certificate", c.Certificate},
		{"Key", c.Key},
		{"Authority", c.Authority},
	}
	for _, f := range files {
		if f.value == "" {
			return &FieldError{Field: f.field, Reason: "is required unless Plain is set"}
		}
	}
	return nil
}

// checkPlain confines unauthenticated links to one machine: elsewhere anyone
// could join the fleet and have callers' packets relayed to them.
func (c *Config) checkPlain() *FieldError {
	if !c.ControlAddress.Addr().IsLoopback() {
		return &FieldError{Field: "Plain", Reason: "is accepted only if ControlAddress is a loopback address"}
	}
	if c.Certificate != "" || c.Key != "" || c.Authority != "" {
		return &FieldError{Field: "Plain", Reason: "excludes Certificate, Key and Authority"}
	}
	return nil
}

func (c *Config) checkNumbers() *FieldError {
	numbers := []struct {
		field string
		value int64
	}{
		{"Capacity", int64(c.Capacity)},
		{"Readers", int64(c.Readers)},
		{"Heartbeat", int64(c.Heartbeat)},
		{"JoinWait", int64(c.JoinWait)},
		{"PollInterval", int64(c.PollInterval)},
		{"ShareInterval", int64(c.ShareInterval)},
		{"LeaveQuiet", int64(c.LeaveQuiet)},
		{"LeaveLimit", int64(c.LeaveLimit)},
	}
	for _, n := range numbers {
		if n.value < 0 {
			return &FieldError{Field: n.field, Reason: "must not be negative"}
		}
	}
	return nil
}

// withDefaults returns c with its zero fields filled in.
func (c Config) withDefaults() Config {
	setDefault(&c.PollInterval, DefaultPollInterval)
	setDefault(&c.ShareInterval, DefaultShareInterval)
	setDefault(&c.LeaveQuiet, DefaultLeaveQuiet)
	setDefault(&c.LeaveLimit, DefaultLeaveLimit)
	setDefault(&c.Readers, min(maxDefaultReaders, runtime.GOMAXPROCS(0)))
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	if c.Client == nil {
		c.Client = &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()}
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
