package bronzeedge

import (
	"encoding/json"
	"net/netip"
	"os"
	"reflect"
	"time"

	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzerecord"
	"bronzeusher.example/bronzeusher/bronzeroute"
	"bronzeusher.example/bronzeusher/bronzesteer"
)

// Defaults of Config's fields.
const (
	// DefaultGrace is how long a leaving node may take where nothing else is
	// said.
	DefaultGrace = 6 * time.Second
	// DefaultQuiet is how long no packet may have come before a leaving node
	// ends. Callers repeat themselves after 200 ms, and routers ask twice a
	// second whether the node is ready.
	DefaultQuiet = 700 * time.Millisecond
)

// Config is what an Edge is told at its start, as JSON with the fields' names.
type Config struct {
	Name             string
	Region           string
	AvailabilityZone string
	// Regions names the region of each availability zone.
	Regions map[string]string
	// DataAddress takes callers' packets (UDP). Packets to callers go to the
	// port of the same number.
	DataAddress netip.AddrPort
	// ReadyAddress answers whether this node takes packets (HTTP).
	ReadyAddress netip.AddrPort
	// ControlAddress answers other nodes' requests for records (HTTP).
	ControlAddress netip.AddrPort
	// PeerAddress takes other nodes' datagrams (UDP).
	PeerAddress netip.AddrPort
	// PeerPublicAddress is where other nodes reach PeerAddress, if that is another
	// address, as where addresses are translated on the way.
	PeerPublicAddress netip.AddrPort
	// MetricsAddress serves metrics and the node's state (HTTP), none if it is
	// left out.
	MetricsAddress netip.AddrPort
	// Seeds are addresses of nodes to join through. Only their hosts count:
	// ports are the same on all VMs.
	Seeds []netip.AddrPort
	// Store is where the store of records listens.
	Store string
	// MemoryMB is how much memory the node may use, 0 if that isn't told.
	MemoryMB float64
	// GraceSeconds is how long the node may take to leave, and QuietSeconds for
	// how long no packet may have come before it ends; 0 means the defaults.
	GraceSeconds float64
	QuietSeconds float64
}

// FieldError is a fault of one field of a Config.
type FieldError struct {
	Field  string
	Reason string
}

// Error names the field.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// ReadConfig reads a Config from a file and checks it. An error about a field
// is a *FieldError.
func ReadConfig(path string) (cfg Config, err error) {
	defer func() { err = errors.Wrapf(err, "settings %s", path) }()
	b, err := os.ReadFile(path)
	if err != nil {
		return cfg, err
	}
	return ParseConfig(b)
}

// ParseConfig reads and checks a Config.
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

// Check returns a *FieldError for the first field that can't be used.
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
	return nil
}

// differs returns the names of the fields that other has different and that a
// running node can't take in.
func (c *Config) differs(other *Config) (fields []string) {
	a, b := reflect.ValueOf(c).Elem(), reflect.ValueOf(other).Elem()
	for i := range a.NumField() {
		name := a.Type().Field(i).Name
		if name != "Seeds" && name != "GraceSeconds" && !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			fields = append(fields, name)
		}
	}
	return fields
}

func (c *Config) grace() time.Duration { return seconds(c.GraceSeconds, DefaultGrace) }

func (c *Config) quiet() time.Duration { return seconds(c.QuietSeconds, DefaultQuiet) }

// seconds returns n seconds, or d if n is 0.
func seconds(n float64, d time.Duration) time.Duration {
	if n == 0 {
		return d
	}
	return time.Duration(n * float64(time.Second))
}

// Adapter are what the daemon speaks to the outside by.
type Adapter struct {
	Wire Wire
	// Source returns what the store is read by; count is called with the kind of
	// each call and how it went.
	Source  func(count func(call, outcome string)) bronzerecord.Source
	Decoder Decoder
	// ReadyPath is the path that is asked whether the node is ready.
	ReadyPath string
}

// Wire is the form of packets.
type Wire struct {
	// MaxDatagram is the longest datagram in bytes.
	MaxDatagram int
	Parse       func(b []byte) (bronzesteer.Packet, error)
	// AppendForward appends what takes the packet b to a server.
	AppendForward func(dst, b []byte, incarnation uint64, token uint32) []byte
	// AppendReset appends what ends the flow of p for its caller.
	AppendReset func(dst []byte, p *bronzesteer.Packet) []byte
}

// Decoder reads records.
type Decoder struct {
	IsTable func(name string) bool
	// ServerName and DrainedZone return the server that a record registers, and the
	// AvailabilityZone that one has drained while it is there.
	ServerName  func(name string) (instance string, ok bool)
	DrainedZone func(name string) (zone string, ok bool)
	Table       func(r bronzerecord.Record) (*bronzeroute.Table, error)
	Server      func(r bronzerecord.Record, now time.Time) (bronzeroute.Server, error)
	// CheckDrain returns what is wrong with a record that has a zone drained.
	CheckDrain func(r bronzerecord.Record) error
}
