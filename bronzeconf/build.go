package bronzeconf

import (
	"bytes"
	"cmp"
	"net/netip"
	"slices"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// CheckRecords returns every fault of the records, each on its own and all
// together, sorted by record.
func CheckRecords(records []Record) []Refusal {
	return Build(0, records).Refusals
}

// Build puts records together. What two records claim goes to the one with
// the lower name, whatever their order in the slice; the other loses just
// that part, with a Refusal.
func Build(revision uint64, records []Record) *Snapshot {
	b := builder{
		snapshot: &Snapshot{
			Revision: revision,
			match:    make(map[matchKey]*Service),
			servers:  make(map[bronzeflow.ServerID]serverRef),
		},
		records:   make(map[string]bool),
		names:     make(map[serviceName]string),
		endpoints: make(map[matchKey]string),
		servers:   make(map[bronzeflow.ServerID]string),
		tunnels:   make(map[netip.AddrPort]tunnel),
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

// sortRefusals orders by record and keeps each record's own order.
func sortRefusals(list []Refusal) {
	slices.SortStableFunc(list, func(a, b Refusal) int {
		return cmp.Compare(a.Record, b.Record)
	})
}

// builder holds which record has claimed what so far.
type builder struct {
	snapshot  *Snapshot
	records   map[string]bool
	names     map[serviceName]string
	endpoints map[matchKey]string
	servers   map[bronzeflow.ServerID]string
	tunnels   map[netip.AddrPort]tunnel
}

type serviceName struct {
	customer string
	name     string
}

// tunnel tells who was first to name a tunnel endpoint.
type tunnel struct {
	customer string
	record   string
}

func (b *builder) add(r *Record) {
	f := &faults{record: r.Name}
	defer func() {
		b.snapshot.Refusals = append(b.snapshot.Refusals, f.list...)
	}()
	if b.records[r.Name] {
		f.add("", "another record has the same name")
		return
	}
	b.records[r.Name] = true
	svc := r.Service
	if svc == nil {
		svc, f.list = Decode(r.Name, r.Body)
	}
	if svc == nil || !b.claimName(f, svc) {
		return
	}
	b.put(f, svc)
}

// claimName refuses a whole record whose service exists already: the two
// would share counters and admission.
func (b *builder) claimName(f *faults, svc *Service) (ok bool) {
	name := serviceName{svc.Customer, svc.Name}
	if other, taken := b.names[name]; taken {
		f.add("Name", "%q of %q is taken by record %q", svc.Name, svc.Customer, other)
		return false
	}
	b.names[name] = f.record
	return true
}

func (b *builder) put(f *faults, svc *Service) {
	own := *svc
	own.Pool = b.pool(f, svc)
	b.snapshot.Services = append(b.snapshot.Services, &own)
	claims := new([]matchKey)
	for i := range own.Pool {
		s := &own.Pool[i]
		b.snapshot.servers[s.ID] = serverRef{service: &own, server: s, claims: claims}
	}
	for i, a := range own.Addresses {
		for j, r := range own.Rules {
			key := matchKey{a.As16(), r.Port, r.Protocol}
			if b.claimEndpoint(f, &own, i, j, key) {
				*claims = append(*claims, key)
			}
		}
	}
}

func (b *builder) claimEndpoint(f *faults, svc *Service, address, rule int, key matchKey) (ok bool) {
	if other, taken := b.endpoints[key]; taken {
		field := element("Addresses", address) + " " + element("Rules", rule)
		f.add(field, "%v %v port %d is taken by record %q",
			svc.Addresses[address], key.protocol, key.port, other)
		return false
	}
	b.endpoints[key] = f.record
	b.snapshot.match[key] = svc
	return true
}

// pool returns the servers of svc that no earlier record has claimed.
func (b *builder) pool(f *faults, svc *Service) []BackendServer {
	pool := make([]BackendServer, 0, len(svc.Pool))
	for i, s := range svc.Pool {
		s.ID = bronzeflow.NewServerID(svc.Customer, s.Instance)
		if b.claimServer(f, svc.Customer, element("Pool", i), &s) {
			pool = append(pool, s)
		}
	}
	return pool
}

func (b *builder) claimServer(f *faults, customer, path string, s *BackendServer) (ok bool) {
	if other, taken := b.servers[s.ID]; taken {
		f.add(member(path, "Instance"), "%q is taken by record %q", s.Instance, other)
		return false
	}
	// A tunnel endpoint leads to one machine. Under two customers, packets
	// of one would arrive at the other's server.
	t, taken := b.tunnels[s.Address]
	if taken && t.customer != customer {
		f.add(member(path, "Address"), "%v is taken by record %q of another Customer", s.Address, t.record)
		return false
	}
	if !taken {
		b.tunnels[s.Address] = tunnel{customer: customer, record: f.record}
	}
	b.servers[s.ID] = f.record
	return true
}
