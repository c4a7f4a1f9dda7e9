package bronzeconf

import (
	"net/netip"
	"net/url"
	"strings"
	"time"
	"unicode"
)

// The bounds of a record's fields.
const (
	MaxNameBytes    = 128
	MaxAttempts     = 16
	MaxColdStart    = time.Hour
	MaxOpenDeadline = time.Minute
	MinIdleTimeout  = time.Second
	MaxIdleTimeout  = 7 * 24 * time.Hour
	MaxPriority     = 9
	MaxObjective    = time.Minute
)

func (f *faults) checkV1(v *ServiceV1) {
	f.checkName("Customer", v.Customer)
	// The ID of a BackendServer is derived from "Customer/Instance". With a
	// slash in Customer, instances of two customers could have the same ID,
	// and packets of one would reach the other's server.
	if strings.Contains(v.Customer, "/") {
		f.add("Customer", "%q contains a slash", v.Customer)
	}
	f.checkName("Brand", v.Brand)
	f.checkName("Name", v.Name)
	f.checkAddresses(v.Addresses)
	f.checkRules(v.Rules)
	f.checkPool(v.Pool)
}

func (f *faults) checkV2(v *ServiceV2) {
	f.checkV1(&ServiceV1{
		Customer:  v.Customer,
		Brand:     v.Brand,
		Name:      v.Name,
		Addresses: v.Addresses,
		Rules:     v.Rules,
		Pool:      v.Pool,
	})
	if v.Policy.ImbalanceBound < 1 {
		f.add("Policy.ImbalanceBound", "%v is less than 1", v.Policy.ImbalanceBound)
	}
	f.checkDuration("Policy.ColdStart", v.Policy.ColdStart, 0, MaxColdStart)
	f.checkCount("Limits.HalfOpen", v.Limits.HalfOpen)
	f.checkCount("Limits.Open", v.Limits.Open)
	f.checkCount("Limits.NewPerSecond", v.Limits.NewPerSecond)
	f.checkFraction("Retry.Budget", v.Retry.Budget)
	if v.Retry.Attempts < 1 || v.Retry.Attempts > MaxAttempts {
		f.add("Retry.Attempts", "%d is not between 1 and %d", v.Retry.Attempts, MaxAttempts)
	}
	f.checkDuration("OpenDeadline", v.OpenDeadline, time.Millisecond, MaxOpenDeadline)
	f.checkDuration("IdleTimeout", v.IdleTimeout, MinIdleTimeout, MaxIdleTimeout)
}

func (f *faults) checkV3(v *ServiceV3) {
	w := v.v2()
	f.checkV2(&w)
	if v.Priority < 0 || v.Priority > MaxPriority {
		f.add("Priority", "%d is not between 0 and %d", v.Priority, MaxPriority)
	}
	f.checkDuration("Objective", v.Objective, 0, MaxObjective)
	f.checkFraction("Share.Guaranteed", v.Share.Guaranteed)
	f.checkFraction("Share.Highest", v.Share.Highest)
	if v.Share.Highest > 0 && v.Share.Highest < v.Share.Guaranteed {
		f.add("Share.Highest", "%v is below the guaranteed %v", v.Share.Highest, v.Share.Guaranteed)
	}
	f.checkFraction("Shed.Fraction", v.Shed.Fraction)
	// A time that is over isn't a fault: a record must not become invalid as
	// time passes.
	if v.Shed.Fraction > 0 && v.Shed.Until.IsZero() {
		f.add("Shed.Until", "is missing")
	}
}

func (f *faults) checkFraction(path string, x float64) {
	if x < 0 || x > 1 {
		f.add(path, "%v is not between 0 and 1", x)
	}
}

func (f *faults) checkName(path, s string) {
	switch {
	case s == "":
		f.add(path, "is empty")
	case len(s) > MaxNameBytes:
		f.add(path, "is longer than %d bytes", MaxNameBytes)
	case strings.TrimSpace(s) != s:
		f.add(path, "%q begins or ends with a space", s)
	case strings.ContainsFunc(s, unprintable):
		f.add(path, "%q contains a character that can't be printed", s)
	}
}

func unprintable(r rune) bool {
	return !unicode.IsPrint(r) || r == unicode.ReplacementChar
}

func (f *faults) checkCount(path string, n int) {
	if n < 0 {
		f.add(path, "%d is negative", n)
	}
}

func (f *faults) checkDuration(path string, d Duration, minimum, maximum time.Duration) {
	if v := time.Duration(d); v < minimum || v > maximum {
		f.add(path, "%v is not between %v and %v", v, minimum, maximum)
	}
}

func (f *faults) checkAddresses(addresses []netip.Addr) {
	if len(addresses) == 0 {
		f.add("Addresses", "is empty")
	}
	seen := make(map[netip.Addr]int)
	for i, a := range addresses {
		path := elementPath("Addresses", i)
		if !f.checkAddress(path, a) {
			continue
		}
		if j, ok := seen[a.Unmap()]; ok {
			f.add(path, "%v is given twice, first at %s", a, elementPath("Addresses", j))
			continue
		}
		seen[a.Unmap()] = i
	}
}

func (f *faults) checkAddress(path string, a netip.Addr) (ok bool) {
	switch {
	case !a.IsValid():
		f.add(path, "is not an IP address")
	case a.Zone() != "":
		f.add(path, "%v has an IPv6 zone", a)
	case a.Unmap().IsUnspecified(), a.Unmap().IsMulticast():
		f.add(path, "%v is not a unicast address", a)
	default:
		return true
	}
	return false
}

func (f *faults) checkRules(rules []RuleV1) {
	if len(rules) == 0 {
		f.add("Rules", "is empty")
	}
	seen := make(map[RuleV1]int)
	for i, r := range rules {
		path := elementPath("Rules", i)
		if _, ok := parseProtocol(r.Protocol); !ok {
			f.add(fieldPath(path, "Protocol"), "%q is neither TCP nor UDP", r.Protocol)
		}
		if r.Port == 0 {
			f.add(fieldPath(path, "Port"), "is 0")
		}
		if j, ok := seen[r]; ok {
			f.add(path, "is given twice, first at %s", elementPath("Rules", j))
			continue
		}
		seen[r] = i
	}
}

func (f *faults) checkPool(pool []BackendServerV1) {
	if pool == nil {
		f.add("Pool", "is missing; a service without servers has an empty one")
	}
	instances := make(map[string]int)
	addresses := make(map[netip.AddrPort]int)
	for i, b := range pool {
		path := elementPath("Pool", i)
		f.checkServer(path, b)
		if j, ok := instances[b.Instance]; ok && b.Instance != "" {
			f.add(fieldPath(path, "Instance"), "%q is given twice, first at %s", b.Instance, elementPath("Pool", j))
		} else {
			instances[b.Instance] = i
		}
		a := unmapAddrPort(b.Address)
		if j, ok := addresses[a]; ok && a.IsValid() {
			f.add(fieldPath(path, "Address"), "%v is given twice, first at %s", a, elementPath("Pool", j))
		} else {
			addresses[a] = i
		}
	}
}

func (f *faults) checkServer(path string, b BackendServerV1) {
	f.checkName(fieldPath(path, "Instance"), b.Instance)
	f.checkName(fieldPath(path, "AvailabilityZone"), b.AvailabilityZone)
	f.checkCount(fieldPath(path, "Slots"), b.Slots)
	f.checkCount(fieldPath(path, "Connections"), b.Connections)
	if f.checkAddress(fieldPath(path, "Address"), b.Address.Addr()) && b.Address.Port() == 0 {
		f.add(fieldPath(path, "Address"), "has port 0")
	}
	switch b.Status {
	case "", Serving, Draining:
	default:
		f.add(fieldPath(path, "Status"), "%q is neither %s nor %s", b.Status, Serving, Draining)
	}
	f.checkReport(fieldPath(path, "Report"), b.Report)
}

// checkReport accepts only an IP address as the host: a balancer doesn't use a
// name service, which could be down when the report is needed most.
func (f *faults) checkReport(path, report string) {
	if report == "" {
		return
	}
	u, err := url.Parse(report)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" {
		f.add(path, "%q is not an http or https URL", report)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		f.add(path, "%q doesn't name its host by an IP address", report)
	}
}
