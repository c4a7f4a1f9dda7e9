package bronzeedge

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"bronzeusher.example/bronzeusher/bronzeadmit"
	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzesteer"
)

// Overload holds what operators order for pools without room. The zero Overload orders nothing.
// In JSON it is decoded strictly: a misspelt field would silently drop an order.
type Overload struct {
	// Shares bound what Customers get of each pool that they share with others.
	Shares []CustomerShare `json:",omitempty"`
	// Priorities replace the priorities of routes.
	Priorities []ServicePriority `json:",omitempty"`
	// ClosedPools are pools that take no new flows.
	ClosedPools []string `json:",omitempty"`
	// Shed orders to refuse a part of the openings.
	Shed []PoolShed `json:",omitempty"`

	// invalid is the first fault found while decoding, which Check returns. It isn't an error
	// of decoding, so that the other fields of the settings can be used.
	invalid *FieldError
}

// CustomerShare is the share of a Customer in what a pool admits, from 0 to 1.
type CustomerShare struct {
	Customer   string
	Guaranteed float64
	// Highest is the upper bound, 0 if there is none.
	Highest float64
}

// ServicePriority is the priority of the route of an address and port, 0 for the most urgent.
type ServicePriority struct {
	Service  netip.AddrPort
	Priority int
}

// PoolShed orders to refuse the given part, from 0 to 1, of the openings of a priority and of
// less urgent ones until the given time.
type PoolShed struct {
	Pool     string
	Priority int
	Fraction float64
	Until    time.Time
}

const overloadField = "Overload"

func isOverloadField(field string) bool {
	return field == overloadField || strings.HasPrefix(field, overloadField+".")
}

// UnmarshalJSON decodes the orders. It returns no error; Check returns the first fault.
func (o *Overload) UnmarshalJSON(b []byte) error {
	*o = Overload{}
	if string(b) == "null" {
		return nil
	}
	if faults := bronzeconf.DecodeStrict(overloadField, b, o); len(faults) > 0 {
		*o = Overload{invalid: &FieldError{Field: faults[0].Field, Reason: faults[0].Reason}}
	}
	return nil
}

// Check returns a *FieldError for the first invalid field, with its index.
func (o *Overload) Check() error {
	if o.invalid != nil {
		return o.invalid
	}
	for _, check := range []func() *FieldError{o.checkShares, o.checkPriorities, o.checkClosedPools, o.checkShed} {
		if fault := check(); fault != nil {
			return fault
		}
	}
	return nil
}

// overloadFault returns the fault of a field of an element.
func overloadFault(list string, i int, field, format string, args ...any) *FieldError {
	path := fmt.Sprintf("%s.%s[%d]", overloadField, list, i)
	if field != "" {
		path += "." + field
	}
	return &FieldError{Field: path, Reason: fmt.Sprintf(format, args...)}
}

// shareTolerance absorbs rounding errors of a sum of shares.
const shareTolerance = 1e-9

// checkShares checks the shares. Any Customers may come to share a pool when the routes change,
// so that all guaranteed shares together may be 1 at most.
func (o *Overload) checkShares() *FieldError {
	seen := make(map[string]int, len(o.Shares))
	sum := 0.0
	for i, s := range o.Shares {
		fault := func(field, format string, args ...any) *FieldError {
			return overloadFault("Shares", i, field, format, args...)
		}
		first, twice := seen[s.Customer]
		seen[s.Customer] = i
		sum += s.Guaranteed
		switch {
		case s.Customer == "":
			return fault("Customer", "is missing")
		case twice:
			return fault("Customer", "%q is given twice, first at Overload.Shares[%d]", s.Customer, first)
		case !isFraction(s.Guaranteed):
			return fault("Guaranteed", "%v is not between 0 and 1", s.Guaranteed)
		case !isFraction(s.Highest):
			return fault("Highest", "%v is not between 0 and 1", s.Highest)
		case s.Highest > 0 && s.Highest < s.Guaranteed:
			return fault("Highest", "%v is below the guaranteed %v", s.Highest, s.Guaranteed)
		case sum > 1+shareTolerance:
			return fault("Guaranteed", "%v makes the guaranteed shares add up to %.6g, which is above 1", s.Guaranteed, sum)
		}
	}
	return nil
}

func (o *Overload) checkPriorities() *FieldError {
	seen := make(map[netip.AddrPort]int, len(o.Priorities))
	for i, p := range o.Priorities {
		service := unmap(p.Service)
		first, twice := seen[service]
		seen[service] = i
		switch {
		case !service.IsValid():
			return overloadFault("Priorities", i, "Service", "is missing")
		case service.Port() == 0:
			return overloadFault("Priorities", i, "Service", "%v has port 0", service)
		case twice:
			return overloadFault("Priorities", i, "Service", "%v is given twice, first at Overload.Priorities[%d]", service, first)
		case p.Priority < 0:
			return overloadFault("Priorities", i, "Priority", "%d is below 0", p.Priority)
		}
	}
	return nil
}

func (o *Overload) checkClosedPools() *FieldError {
	seen := make(map[string]int, len(o.ClosedPools))
	for i, name := range o.ClosedPools {
		first, twice := seen[name]
		seen[name] = i
		switch {
		case name == "":
			return overloadFault("ClosedPools", i, "", "is empty")
		case twice:
			return overloadFault("ClosedPools", i, "", "%q is given twice, first at Overload.ClosedPools[%d]", name, first)
		}
	}
	return nil
}

// checkShed accepts rules that have ended: they remain in the file until an operator removes
// them, and must not make it invalid.
func (o *Overload) checkShed() *FieldError {
	for i, s := range o.Shed {
		switch {
		case s.Pool == "":
			return overloadFault("Shed", i, "Pool", "is missing")
		case s.Priority < 0:
			return overloadFault("Shed", i, "Priority", "%d is below 0", s.Priority)
		case !isFraction(s.Fraction):
			return overloadFault("Shed", i, "Fraction", "%v is not between 0 and 1", s.Fraction)
		case s.Until.IsZero():
			return overloadFault("Shed", i, "Until", "is missing")
		}
	}
	return nil
}

func isFraction(x float64) bool { return !math.IsNaN(x) && x >= 0 && x <= 1 }

// unmap returns a with an IPv4-mapped address turned into an IPv4 one, as routes have it.
func unmap(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// Rules converts orders without faults for the steerer. It returns nil if nothing is ordered.
func (o *Overload) Rules() *bronzesteer.Rules {
	if len(o.Shares)+len(o.Priorities)+len(o.ClosedPools)+len(o.Shed) == 0 {
		return nil
	}
	rules := &bronzesteer.Rules{
		Pools:      make(map[string]*bronzeadmit.Rules),
		Priorities: make(map[netip.AddrPort]int, len(o.Priorities)),
	}
	var shares map[string]bronzeadmit.Share
	if len(o.Shares) > 0 {
		shares = make(map[string]bronzeadmit.Share, len(o.Shares))
		rules.Default = &bronzeadmit.Rules{Shares: shares}
	}
	for _, s := range o.Shares {
		shares[s.Customer] = bronzeadmit.Share{Guaranteed: s.Guaranteed, Highest: s.Highest}
	}
	pool := func(name string) *bronzeadmit.Rules {
		r := rules.Pools[name]
		if r == nil {
			r = &bronzeadmit.Rules{Shares: shares}
			rules.Pools[name] = r
		}
		return r
	}
	for _, name := range o.ClosedPools {
		pool(name).Closed = true
	}
	for _, s := range o.Shed {
		r := pool(s.Pool)
		r.Shed = append(r.Shed, bronzeadmit.ShedRule{Priority: s.Priority, Fraction: s.Fraction, Until: s.Until})
	}
	for _, p := range o.Priorities {
		rules.Priorities[unmap(p.Service)] = p.Priority
	}
	return rules
}

// unknownNames returns the pools, services and Customers of orders that the view in force
// doesn't have, sorted, so that a misspelt name shows. They aren't faults: a pool may be without
// servers, and its records may come later.
func (e *Edge) unknownNames(o *Overload) (names []string) {
	v := e.steerer.View()
	if v == nil {
		return nil
	}
	known := make(map[string]bool)
	for i := range v.Table.Routes {
		r := &v.Table.Routes[i]
		known["Customer "+r.Customer], known["Service "+r.Service.String()] = true, true
		for _, p := range r.Pools {
			known["Pool "+p.Pool] = true
		}
	}
	add := func(kind, name string) {
		if !known[kind+" "+name] {
			names = append(names, kind+" "+name)
		}
	}
	for _, s := range o.Shares {
		add("Customer", s.Customer)
	}
	for _, p := range o.Priorities {
		add("Service", unmap(p.Service).String())
	}
	for _, name := range o.ClosedPools {
		add("Pool", name)
	}
	for _, s := range o.Shed {
		add("Pool", s.Pool)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
