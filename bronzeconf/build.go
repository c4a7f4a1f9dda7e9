package bronzeconf

import (
	"bytes"
	"cmp"
	"math"
	"net/netip"
	"slices"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// CheckRecords returns the faults of each record and the conflicts between
// records, sorted by record name.
func CheckRecords(records []Record) []Refusal {
	return Build(0, records).Refusals
}

// Build combines records into a Snapshot. If two records claim the same thing,
// the one with the lower name gets it, whatever their order in the slice. The
// other one loses only that part, which is listed in Refusals.
func Build(revision uint64, records []Record) *Snapshot {
	b := builder{
		snapshot: &Snapshot{
			Revision: revision,
			match:    make(map[matchKey]*Service),
			servers:  make(map[bronzeflow.ServerID]serverRef),
		},
		recordNames:  make(map[string]bool),
		serviceNames: make(map[serviceName]string),
		endpoints:    make(map[matchKey]string),
		servers:      make(map[bronzeflow.ServerID]string),
		tunnels:      make(map[netip.AddrPort]tunnelClaim),
		guaranteed:   make(map[string]int64),
	}
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, compareRecords)
	for i := range sorted {
		b.add(&sorted[i])
	}
	sortRefusals(b.snapshot.Refusals)
	return b.snapshot
}

func compareRecords(a, b Record) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), bytes.Compare(a.Body, b.Body))
}

// sortRefusals sorts by record and keeps the order within each record.
func sortRefusals(list []Refusal) {
	slices.SortStableFunc(list, func(a, b Refusal) int {
		return cmp.Compare(a.Record, b.Record)
	})
}

// builder builds a Snapshot and holds what records have claimed so far, with
// the name of the claiming record.
type builder struct {
	snapshot     *Snapshot
	recordNames  map[string]bool
	serviceNames map[serviceName]string
	endpoints    map[matchKey]string
	servers      map[bronzeflow.ServerID]string
	tunnels      map[netip.AddrPort]tunnelClaim
	// guaranteed holds the guaranteed share of each customer in shareUnits,
	// guaranteedSum their sum.
	guaranteed    map[string]int64
	guaranteedSum int64
}

type serviceName struct {
	customer string
	name     string
}

// tunnelClaim is the first claim of a tunnel endpoint.
type tunnelClaim struct {
	customer string
	record   string
}

func (b *builder) add(r *Record) {
	f := &faults{record: r.Name}
	defer func() {
		b.snapshot.Refusals = append(b.snapshot.Refusals, f.list...)
	}()
	if b.recordNames[r.Name] {
		f.add("", "another record has the same name")
		return
	}
	b.recordNames[r.Name] = true
	svc := r.Service
	if svc == nil {
		svc, f.list = Decode(r.Name, r.Body)
	}
	if svc == nil || !b.claimName(f, svc) {
		return
	}
	b.addService(f, svc)
}

// claimName claims the name of the service. If it is taken, the whole record is
// refused, since the two services would share counters and admission.
func (b *builder) claimName(f *faults, svc *Service) (ok bool) {
	name := serviceName{svc.Customer, svc.Name}
	if other, taken := b.serviceNames[name]; taken {
		f.add("Name", "%q of %q is taken by record %q", svc.Name, svc.Customer, other)
		return false
	}
	b.serviceNames[name] = f.record
	return true
}

func (b *builder) addService(f *faults, svc *Service) {
	accepted := *svc
	accepted.Pool = b.claimPool(f, svc)
	accepted.Share = b.claimShare(f, svc)
	b.snapshot.Services = append(b.snapshot.Services, &accepted)
	claims := new([]matchKey)
	for i := range accepted.Pool {
		s := &accepted.Pool[i]
		b.snapshot.servers[s.ID] = serverRef{service: &accepted, server: s, claims: claims}
	}
	for i, a := range accepted.Addresses {
		for j, r := range accepted.Rules {
			key := matchKey{a.As16(), r.Port, r.Protocol}
			if b.claimEndpoint(f, &accepted, i, j, key) {
				*claims = append(*claims, key)
			}
		}
	}
}

func (b *builder) claimEndpoint(f *faults, svc *Service, address, rule int, key matchKey) (ok bool) {
	if other, taken := b.endpoints[key]; taken {
		field := elementPath("Addresses", address) + " " + elementPath("Rules", rule)
		f.add(field, "%v %v port %d is taken by record %q",
			svc.Addresses[address], key.protocol, key.port, other)
		return false
	}
	b.endpoints[key] = f.record
	b.snapshot.match[key] = svc
	return true
}

// shareUnits is the number of units in a share of 1. Sums of whole units are
// exact in any order, so that every balancer comes to the same result.
const shareUnits = 1e9

// claimShare returns the share of svc, or none if the guaranteed shares of all
// customers would then add up to more than 1. The highest of the guaranteed
// shares in a customer's records counts.
func (b *builder) claimShare(f *faults, svc *Service) Share {
	former := b.guaranteed[svc.Customer]
	share := max(int64(math.Round(svc.Share.Guaranteed*shareUnits)), former)
	if left := shareUnits - b.guaranteedSum + former; share > left {
		f.add("Share.Guaranteed", "%v is more than the %v that other Customers' guaranteed shares leave",
			svc.Share.Guaranteed, float64(left)/shareUnits)
		return Share{}
	}
	b.guaranteed[svc.Customer] = share
	b.guaranteedSum += share - former
	return svc.Share
}

// claimPool claims the servers of svc and returns those that no earlier record
// has claimed.
func (b *builder) claimPool(f *faults, svc *Service) []BackendServer {
	pool := make([]BackendServer, 0, len(svc.Pool))
	for i, s := range svc.Pool {
		s.ID = bronzeflow.NewServerID(svc.Customer, s.Instance)
		if b.claimServer(f, svc.Customer, elementPath("Pool", i), &s) {
			pool = append(pool, s)
		}
	}
	return pool
}

func (b *builder) claimServer(f *faults, customer, path string, s *BackendServer) (ok bool) {
	if other, taken := b.servers[s.ID]; taken {
		f.add(fieldPath(path, "Instance"), "%q is taken by record %q", s.Instance, other)
		return false
	}
	// A tunnel endpoint leads to one machine. If two customers claimed it,
	// packets of one would reach the other's server.
	t, taken := b.tunnels[s.Address]
	if taken && t.customer != customer {
		f.add(fieldPath(path, "Address"), "%v is taken by record %q of another Customer", s.Address, t.record)
		return false
	}
	if !taken {
		b.tunnels[s.Address] = tunnelClaim{customer: customer, record: f.record}
	}
	b.servers[s.ID] = f.record
	return true
}
