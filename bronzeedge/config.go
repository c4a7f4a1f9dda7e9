package bronzeedge

import (
	"encoding/json"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"time"

	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzerecord"
	"bronzeusher.example/bronzeusher/bronzeroute"
	"bronzeusher.example/bronzeusher/bronzesteer"
)

// Defaults of Config fields.
const (
	// DefaultGrace is the time a leaving node may take if GraceSeconds is 0.
	DefaultGrace = 6 * time.Second
	// DefaultQuiet is how long a leaving node must have received no packets before it
	// exits. Callers retransmit after 200 ms, and routers poll readiness twice a second.
	DefaultQuiet = 700 * time.Millisecond
)

// Config holds the settings of an Edge. In JSON it uses the Go field names.
type Config struct {
	Name             string
	Region           string
	AvailabilityZone string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	// DataAddress receives callers' packets (UDP). Resets for callers are sent to the same
	// port number.
	DataAddress netip.AddrPort
	// ReadyAddress serves the readiness check (HTTP).
	ReadyAddress netip.AddrPort
	// ControlAddress serves other nodes' requests for records (HTTP).
	ControlAddress netip.AddrPort
	// PeerAddress receives other nodes' datagrams (UDP).
	PeerAddress netip.AddrPort
	// PeerPublicAddress is the address at which other nodes reach PeerAddress, if it
	// differs, for example behind address translation.
	PeerPublicAddress netip.AddrPort
	// MetricsAddress serves metrics and the node's status (HTTP). It is optional.
	MetricsAddress netip.AddrPort
	// Seeds are addresses of nodes to join through. Only the hosts are used; the peer port
	// is the same on all VMs.
	Seeds []netip.AddrPort
	// Store is the address of the metadata store.
	Store string
	// MemoryMB is how much memory the node may use, 0 if unknown.
	MemoryMB float64
	// GraceSeconds is how long the node may take to leave. QuietSeconds is how long it must
	// have received no packets before it exits. 0 means the default.
	GraceSeconds float64
	QuietSeconds float64
	// Overload holds what operators order for pools without room. It may be left out.
	Overload Overload
}

// FieldError reports an invalid field of a Config.
type FieldError struct {
	Field  string
	Reason string
}

// Error returns the field name followed by the reason.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// ReadConfig reads and validates the Config in a file. An error in a field is a
// *FieldError.
func ReadConfig(path string) (cfg Config, err error) {
	defer func() { err = errors.Wrapf(err, "settings %s", path) }()
	b, err := os.ReadFile(path)
	if err != nil {
		return cfg, err
	}
	return ParseConfig(b)
}

// ReadInitialConfig reads the Config of a node that starts. Unlike ReadConfig, it leaves an
// invalid Overload out and returns its fault as refused. A running node goes on by its former
// settings then, but a node that starts has none: if nodes with a faulty Overload didn't start,
// none would serve after a power cut.
func ReadInitialConfig(path string) (cfg Config, refused, err error) {
	cfg, err = ReadConfig(path)
	var field *FieldError
	if errors.As(err, &field) && isOverloadField(field.Field) {
		cfg.Overload = Overload{}
		return cfg, err, nil
	}
	return cfg, nil, err
}

// ParseConfig decodes and validates a Config.
func ParseConfig(b []byte) (cfg Config, err error) {
	if err = json.Unmarshal(b, &cfg); err != nil {
		var mismatch *json.UnmarshalTypeError
		if errors.As(err, &mismatch) && mismatch.Field != "" {
			return cfg, &FieldError{Field: mismatch.Field, Reason: "is a " + mismatch.Value + ", not a " + mismatch.Type.String()}
		}
		return cfg, err
	}
	return cfg, cfg.Check()
}

// Check returns a *FieldError for the first invalid field. Overload is checked last.
func (c *Config) Check() error {
	switch {
	case c.Name == "":
		return &FieldError{Field: "Name", Reason: "is missing"}
	case c.AvailabilityZone == "":
		return &FieldError{Field: "AvailabilityZone", Reason: "is missing"}
	case !c.DataAddress.IsValid():
		return &FieldError{Field: "DataAddress", Reason: "is missing"}
	case !c.ReadyAddress.IsValid():
		return &FieldError{Field: "ReadyAddress", Reason: "is missing"}
	case !c.ControlAddress.IsValid():
		return &FieldError{Field: "ControlAddress", Reason: "is missing"}
	case !c.PeerAddress.IsValid():
		return &FieldError{Field: "PeerAddress", Reason: "is missing"}
	case c.Store == "":
		return &FieldError{Field: "Store", Reason: "is missing"}
	case c.MemoryMB < 0:
		return &FieldError{Field: "MemoryMB", Reason: "is below 0"}
	case c.GraceSeconds < 0:
		return &FieldError{Field: "GraceSeconds", Reason: "is below 0"}
	case c.QuietSeconds < 0:
		return &FieldError{Field: "QuietSeconds", Reason: "is below 0"}
	}
	return c.Overload.Check()
}

// reloadedFields are the fields that change in a running node.
var reloadedFields = []string{"Seeds", "GraceSeconds", "Overload"}

// restartFields returns the names of the fields that differ in other and that a running
// node can't change.
func (c *Config) restartFields(other *Config) (fields []string) {
	a, b := reflect.ValueOf(c).Elem(), reflect.ValueOf(other).Elem()
	for i := range a.NumField() {
		name := a.Type().Field(i).Name
		if !slices.Contains(reloadedFields, name) && !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			fields = append(fields, name)
		}
	}
	return fields
}

func (c *Config) grace() time.Duration { return secondsOr(c.GraceSeconds, DefaultGrace) }

func (c *Config) quiet() time.Duration { return secondsOr(c.QuietSeconds, DefaultQuiet) }

// secondsOr returns n seconds, or d if n is 0.
func secondsOr(n float64, d time.Duration) time.Duration {
	if n == 0 {
		return d
	}
	return time.Duration(n * float64(time.Second))
}

// Adapter connects the daemon to its platform.
type Adapter struct {
	Wire Wire
	// Source returns the source of records. It calls count with the kind and outcome of
	// each call to the store.
	Source  func(count func(call, outcome string)) bronzerecord.Source
	Decoder Decoder
	// ReadyPath is the HTTP path of the readiness check.
	ReadyPath string
}

// Wire parses and encodes packets.
type Wire struct {
	// MaxDatagram is the length of the longest datagram, in bytes.
	MaxDatagram int
	Parse       func(b []byte) (bronzesteer.Packet, error)
	// AppendForward appends the datagram that carries the packet b to a server.
	AppendForward func(dst, b []byte, incarnation uint64, token uint32) []byte
	// AppendReset appends the packet that ends the flow of p at its caller.
	AppendReset func(dst []byte, p *bronzesteer.Packet) []byte
}

// Decoder decodes records of the store.
type Decoder struct {
	IsTable func(name string) bool
	// ServerName returns the instance that a record registers. DrainedZone returns the
	// AvailabilityZone that a record drains for as long as it exists.
	ServerName  func(name string) (instance string, ok bool)
	DrainedZone func(name string) (zone string, ok bool)
	Table       func(r bronzerecord.Record) (*bronzeroute.Table, error)
	Server      func(r bronzerecord.Record, now time.Time) (bronzeroute.Server, error)
	// CheckDrain reports what is wrong with a record that drains a zone.
	CheckDrain func(r bronzerecord.Record) error
}
