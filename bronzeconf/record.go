package bronzeconf

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// The schema versions of records that this build knows.
const (
	SchemaV1     = 1
	SchemaV2     = 2
	SchemaV3     = 3
	SchemaNewest = SchemaV3
)

// MaxRecordBytes is the maximum length of a record. The platform holds values up
// to this size.
const MaxRecordBytes = 1 << 20

// The defaults of fields that a record leaves out. Version 1 has none of these
// fields.
const (
	DefaultImbalanceBound = 1.08
	DefaultColdStart      = 30 * time.Second
	// The limits apply to one balancer. They are wide enough for a service
	// that is alone on it, yet below the size of its flow table.
	DefaultHalfOpen     = 20_000
	DefaultOpen         = 300_000
	DefaultNewPerSecond = 10_000
	DefaultRetryBudget  = 0.1
	DefaultAttempts     = 3
	DefaultOpenDeadline = 3 * time.Second
	// DefaultIdleTimeout follows RFC 5382: TCP keep-alives are sent after two
	// hours, so a flow without packets for longer has ended.
	DefaultIdleTimeout = 2*time.Hour + 4*time.Minute
)

// Record is a published record with its name.
type Record struct {
	Name string
	Body []byte
	// Service is the decoded form of Body. If it is nil, Build decodes Body;
	// otherwise Build uses Service without checking it again.
	Service *Service
}

// Duration is a time.Duration that is encoded as a string such as "3s".
type Duration time.Duration

// MarshalText returns d in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText sets d from a string that time.ParseDuration accepts.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return errors.New("is not a duration such as 3s")
	}
	*d = Duration(v)
	return nil
}

// ServiceV1 is a record of schema version 1. Its fields have the same names in
// JSON.
type ServiceV1 struct {
	SchemaVersion int
	Customer      string
	Brand         string
	Name          string
	Addresses     []netip.Addr
	Rules         []RuleV1
	Pool          []BackendServerV1
}

// RuleV1 is a Rule in a record. Protocol is "TCP" or "UDP".
type RuleV1 struct {
	Protocol string
	Port     uint16
}

// BackendServerV1 is a BackendServer in a record. An empty Status means
// Serving.
type BackendServerV1 struct {
	Instance         string
	Address          netip.AddrPort
	AvailabilityZone string
	Slots            int          `json:",omitempty"`
	Connections      int          `json:",omitempty"`
	Status           ServerStatus `json:",omitempty"`
	Report           string       `json:",omitempty"`
}

// ServiceV2 is a record of schema version 2. OpenDeadline, IdleTimeout and the
// fields of Policy, Limits and Retry have defaults, which NewServiceV2 sets.
type ServiceV2 struct {
	SchemaVersion int
	Customer      string
	Brand         string
	Name          string
	Addresses     []netip.Addr
	Rules         []RuleV1
	Pool          []BackendServerV1
	Policy        PolicyV2
	Limits        LimitsV2
	Retry         RetryV2
	OpenDeadline  Duration
	IdleTimeout   Duration
}

// PolicyV2 is a Policy in a record.
type PolicyV2 struct {
	ImbalanceBound float64
	ColdStart      Duration
}

// LimitsV2 is a Limits in a record.
type LimitsV2 struct {
	HalfOpen     int
	Open         int
	NewPerSecond int
}

// RetryV2 is a Retry in a record.
type RetryV2 struct {
	Budget     float64
	Attempts   int
	Idempotent bool
}

// ServiceV3 is a record of schema version 3. Its fields that version 2 doesn't
// have are zero if they are left out, and then order nothing.
type ServiceV3 struct {
	SchemaVersion int
	Customer      string
	Brand         string
	Name          string
	Addresses     []netip.Addr
	Rules         []RuleV1
	Pool          []BackendServerV1
	Policy        PolicyV2
	Limits        LimitsV2
	Retry         RetryV2
	OpenDeadline  Duration
	IdleTimeout   Duration
	Priority      int
	Objective     Duration
	Share         ShareV3
	Closed        bool
	Shed          ShedV3
}

// ShareV3 is a Share in a record.
type ShareV3 struct {
	Guaranteed float64
	Highest    float64
}

// ShedV3 is a Shed in a record. Until is in the format of RFC 3339.
type ShedV3 struct {
	Fraction float64
	Until    time.Time
}

// NewServiceV3 returns a record with all defaults set and no names, addresses,
// rules or pool.
func NewServiceV3() ServiceV3 {
	v := NewServiceV2()
	return v.V3()
}

// NewServiceV2 returns a record with all defaults set and no names, addresses,
// rules or pool.
func NewServiceV2() ServiceV2 {
	return ServiceV2{
		SchemaVersion: SchemaV2,
		Policy: PolicyV2{
			ImbalanceBound: DefaultImbalanceBound,
			ColdStart:      Duration(DefaultColdStart),
		},
		Limits: LimitsV2{
			HalfOpen:     DefaultHalfOpen,
			Open:         DefaultOpen,
			NewPerSecond: DefaultNewPerSecond,
		},
		Retry: RetryV2{
			Budget:   DefaultRetryBudget,
			Attempts: DefaultAttempts,
		},
		OpenDeadline: Duration(DefaultOpenDeadline),
		IdleTimeout:  Duration(DefaultIdleTimeout),
	}
}

// V2 returns the equivalent record of schema version 2.
func (v *ServiceV1) V2() ServiceV2 {
	w := NewServiceV2()
	w.Customer = v.Customer
	w.Brand = v.Brand
	w.Name = v.Name
	w.Addresses = v.Addresses
	w.Rules = v.Rules
	w.Pool = v.Pool
	return w
}

// V3 returns the equivalent record of schema version 3.
func (v *ServiceV2) V3() ServiceV3 {
	return ServiceV3{
		SchemaVersion: SchemaV3,
		Customer:      v.Customer,
		Brand:         v.Brand,
		Name:          v.Name,
		Addresses:     v.Addresses,
		Rules:         v.Rules,
		Pool:          v.Pool,
		Policy:        v.Policy,
		Limits:        v.Limits,
		Retry:         v.Retry,
		OpenDeadline:  v.OpenDeadline,
		IdleTimeout:   v.IdleTimeout,
	}
}

// v2 returns the part of the record that version 2 has.
func (v *ServiceV3) v2() ServiceV2 {
	return ServiceV2{
		SchemaVersion: SchemaV2,
		Customer:      v.Customer,
		Brand:         v.Brand,
		Name:          v.Name,
		Addresses:     v.Addresses,
		Rules:         v.Rules,
		Pool:          v.Pool,
		Policy:        v.Policy,
		Limits:        v.Limits,
		Retry:         v.Retry,
		OpenDeadline:  v.OpenDeadline,
		IdleTimeout:   v.IdleTimeout,
	}
}

// Service converts a record that has no faults.
func (v *ServiceV3) Service() *Service {
	w := v.v2()
	svc := w.Service()
	svc.SchemaVersion = SchemaV3
	svc.Priority = v.Priority
	svc.Objective = time.Duration(v.Objective)
	svc.Share = Share(v.Share)
	svc.Closed = v.Closed
	svc.Shed = Shed{Fraction: v.Shed.Fraction, Until: v.Shed.Until.UTC()}
	return svc
}

// Service converts a record that has no faults.
func (v *ServiceV1) Service() *Service {
	w := v.V2()
	svc := w.Service()
	svc.SchemaVersion = SchemaV1
	return svc
}

// Service converts a record that has no faults.
func (v *ServiceV2) Service() *Service {
	return &Service{
		Customer:      v.Customer,
		Brand:         v.Brand,
		Name:          v.Name,
		SchemaVersion: SchemaV2,
		Addresses:     unmapAddrs(v.Addresses),
		Rules:         convertRules(v.Rules),
		Pool:          convertServers(v.Customer, v.Pool),
		Policy: Policy{
			ImbalanceBound: v.Policy.ImbalanceBound,
			ColdStart:      time.Duration(v.Policy.ColdStart),
		},
		Limits:       Limits(v.Limits),
		Retry:        Retry(v.Retry),
		OpenDeadline: time.Duration(v.OpenDeadline),
		IdleTimeout:  time.Duration(v.IdleTimeout),
	}
}

func unmapAddrs(list []netip.Addr) []netip.Addr {
	out := make([]netip.Addr, len(list))
	for i, a := range list {
		out[i] = a.Unmap()
	}
	return out
}

func convertRules(list []RuleV1) []Rule {
	out := make([]Rule, len(list))
	for i, r := range list {
		p, _ := parseProtocol(r.Protocol)
		out[i] = Rule{Protocol: p, Port: r.Port}
	}
	return out
}

func convertServers(customer string, list []BackendServerV1) []BackendServer {
	out := make([]BackendServer, len(list))
	for i, b := range list {
		out[i] = BackendServer{
			ID:               bronzeflow.NewServerID(customer, b.Instance),
			Instance:         b.Instance,
			Address:          unmapAddrPort(b.Address),
			AvailabilityZone: b.AvailabilityZone,
			Slots:            b.Slots,
			Connections:      b.Connections,
			Status:           b.Status,
			Report:           b.Report,
		}
		if b.Status == "" {
			out[i].Status = Serving
		}
	}
	return out
}

func unmapAddrPort(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// parseProtocol is the inverse of bronzeflow.Protocol.String.
func parseProtocol(name string) (p bronzeflow.Protocol, ok bool) {
	for _, p := range []bronzeflow.Protocol{bronzeflow.TCP, bronzeflow.UDP} {
		if p.String() == name {
			return p, true
		}
	}
	return 0, false
}
