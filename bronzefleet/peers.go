package bronzefleet

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzelink"
)

const (
	// targetCount is how many members a node monitors; as many monitor it.
	targetCount = 4
	// smallFleet is the number of members up to which all are neighbours.
	smallFleet = 2*targetCount + 1
)

// peers are the members that a node exchanges messages with all the time.
type peers struct {
	targets    []bronzelink.Member // monitored by this node
	neighbours []bronzelink.Member // targets, and those that monitor this node
	loadPeers  []bronzelink.Member // that loads are sent to
}

// ring is an order of members around a circle by hash.
type ring struct {
	salt uint64
	zone bool // of the own zone's members only
}

// rings are two circles of the whole fleet and two of each zone. A node is
// linked with the next and the previous member of each. One circle is enough
// to connect the fleet, also across zones, and gives each member one monitor;
// several with different orders make the ways between any two short (4 or 5
// links at 490 members), and those of the zone keep a zone connected that is
// cut off.
var rings = [targetCount]ring{{salt: 1}, {salt: 2, zone: true}, {salt: 3}, {salt: 4, zone: true}}

func compareNames(a, b bronzelink.Member) int { return strings.Compare(a.Name, b.Name) }

// choosePeers returns the peers of self among the other members.
func choosePeers(self bronzelink.Member, others []bronzelink.Member) *peers {
	var targets, monitors selection
	var extra []bronzelink.Member
	for _, r := range rings {
		extra = append(extra, r.extraTargets(self, others)...)
		targets.add(r.walk(self, others, 1), 1)
		monitors.add(r.walk(self, others, -1), 1)
	}
	// Members that are neighbours on several rings, or a zone of one, leave
	// places that the first ring fills.
	targets.add(rings[0].walk(self, others, 1), targetCount)
	monitors.add(rings[0].walk(self, others, -1), targetCount)
	monitored := union(targets.members, extra)
	if len(others) < smallFleet {
		return &peers{targets: monitored, neighbours: others, loadPeers: others}
	}
	return &peers{
		targets:    monitored,
		neighbours: union(targets.members, monitors.members),
		loadPeers:  union(targets.members[:1], monitors.members[:1]),
	}
}

// union returns the members of both lists by name.
func union(a, b []bronzelink.Member) []bronzelink.Member {
	list := slices.Concat(a, b)
	slices.SortFunc(list, compareNames)
	return slices.CompactFunc(list, func(a, b bronzelink.Member) bool { return a.Name == b.Name })
}

// selection collects up to targetCount members.
type selection struct{ members []bronzelink.Member }

// add takes the first n members of walk that are not chosen yet.
func (c *selection) add(walk []bronzelink.Member, n int) {
	for _, m := range walk {
		if n == 0 || len(c.members) == targetCount {
			return
		}
		if !slices.ContainsFunc(c.members, func(o bronzelink.Member) bool { return o.Name == m.Name }) {
			c.members = append(c.members, m)
			n--
		}
	}
}

// place is a member's place on a ring.
type place struct {
	hash  uint64
	index int
}

// walk returns the first targetCount members after self on the ring, or before
// it if step is negative, the nearest first.
func (r ring) walk(self bronzelink.Member, others []bronzelink.Member, step int) []bronzelink.Member {
	origin := r.hash(self.Name)
	var places []place
	for i := range others {
		if r.zone && others[i].AvailabilityZone != self.AvailabilityZone {
			continue
		}
		distance := r.hash(others[i].Name) - origin
		if step < 0 {
			distance = -distance
		}
		places = append(places, place{hash: distance, index: i})
	}
	n := min(len(places), targetCount)
	walk := make([]bronzelink.Member, n)
	for k := range n {
		nearest := slices.MinFunc(places, func(a, b place) int { return cmp.Compare(a.hash, b.hash) })
		walk[k] = others[nearest.index]
		places = slices.DeleteFunc(places, func(p place) bool { return p == nearest })
	}
	return walk
}

func (r ring) hash(name string) uint64 { return bronzeflow.Mix(xxhash.Sum64String(name), r.salt) }

// maxExtraTargets bounds the members that one ring makes a node monitor.
const maxExtraTargets = 16

// extraTargets returns the members that self monitors beside its target because that
// is suspect: twice as many as there are suspects in a row. A partition cuts
// off many members at once, and most of them lie behind others on the rings;
// found one after the other, the last would be found after a minute.
func (r ring) extraTargets(self bronzelink.Member, others []bronzelink.Member) (list []bronzelink.Member) {
	if !slices.ContainsFunc(others, isSuspect) {
		return nil
	}
	suspects := 0
	for _, m := range r.sorted(self, others) {
		if isSuspect(m) {
			suspects++
		}
		list = append(list, m)
		if len(list) > min(2*suspects, maxExtraTargets) {
			return list
		}
	}
	return list
}

func isSuspect(m bronzelink.Member) bool { return m.Status == bronzelink.Suspect }

// sorted returns the members of the ring in order, beginning after self.
func (r ring) sorted(self bronzelink.Member, others []bronzelink.Member) []bronzelink.Member {
	origin := r.hash(self.Name)
	var list []bronzelink.Member
	for i := range others {
		if !r.zone || others[i].AvailabilityZone == self.AvailabilityZone {
			list = append(list, others[i])
		}
	}
	distance := make(map[string]uint64, len(list))
	for i := range list {
		distance[list[i].Name] = r.hash(list[i].Name) - origin
	}
	slices.SortFunc(list, func(a, b bronzelink.Member) int {
		return cmp.Compare(distance[a.Name], distance[b.Name])
	})
	return list
}

// setPeers chooses the peers from the live members.
func (f *Fleet) setPeers() {
	others := make([]bronzelink.Member, 0, len(f.entries))
	for _, e := range f.entries {
		if e.live() {
			others = append(others, e.m)
		}
	}
	slices.SortFunc(others, compareNames)
	p := choosePeers(f.self, others)
	f.peers.Store(p)
	f.load.setNeighbours(p.loadPeers, len(others))
	f.setWatches(p.targets)
}

func (f *Fleet) targets() []bronzelink.Member {
	if p := f.peers.Load(); p != nil {
		return p.targets
	}
	return nil
}

func (f *Fleet) neighbours() []bronzelink.Member {
	if p := f.peers.Load(); p != nil {
		return p.neighbours
	}
	return nil
}
