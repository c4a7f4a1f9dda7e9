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
	// smallFleet is the number of members up to which all are neighbours of
	// each other.
	smallFleet = 2*targetCount + 1
)

// peers are the members that a node regularly exchanges messages with.
type peers struct {
	targets    []bronzelink.Member // monitored by this node
	neighbours []bronzelink.Member // the members that this node targets, and those that monitor it
	loadPeers  []bronzelink.Member // that loads are sent to
}

// ring is a circular order of members by hash.
type ring struct {
	salt uint64
	zone bool // only of the members in the node's own zone
}

// rings are two rings of the whole fleet and two of each zone. A node is linked
// with the next and the previous member on each. One ring is enough to connect
// the fleet, also across zones, and gives each member one monitor. Several with
// different orders make the paths between any two members short (4 or 5 links
// at 490 members), and those of the zone keep a partitioned zone connected.
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
	// If the same member is next on several rings, or the node is alone in its
	// zone, the remaining peers are taken from the first ring.
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

// union returns the members of both lists, sorted by name and each once.
func union(a, b []bronzelink.Member) []bronzelink.Member {
	list := slices.Concat(a, b)
	slices.SortFunc(list, compareNames)
	return slices.CompactFunc(list, func(a, b bronzelink.Member) bool { return a.Name == b.Name })
}

// selection collects up to targetCount different members.
type selection struct{ members []bronzelink.Member }

// add adds the first n members of walk that are not selected yet.
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

// ringPosition is a member's distance on a ring and its index in a list.
type ringPosition struct {
	hash  uint64
	index int
}

// walk returns the first targetCount members after self on the ring, or before
// it if step is negative, the nearest first.
func (r ring) walk(self bronzelink.Member, others []bronzelink.Member, step int) []bronzelink.Member {
	origin := r.hash(self.Name)
	var positions []ringPosition
	for i := range others {
		if r.zone && others[i].AvailabilityZone != self.AvailabilityZone {
			continue
		}
		distance := r.hash(others[i].Name) - origin
		if step < 0 {
			distance = -distance
		}
		positions = append(positions, ringPosition{hash: distance, index: i})
	}
	n := min(len(positions), targetCount)
	walk := make([]bronzelink.Member, n)
	for k := range n {
		nearest := slices.MinFunc(positions, func(a, b ringPosition) int { return cmp.Compare(a.hash, b.hash) })
		walk[k] = others[nearest.index]
		positions = slices.DeleteFunc(positions, func(p ringPosition) bool { return p == nearest })
	}
	return walk
}

func (r ring) hash(name string) uint64 { return bronzeflow.Mix(xxhash.Sum64String(name), r.salt) }

// maxExtraTargets bounds the members beyond its target that a node monitors on
// one ring.
const maxExtraTargets = 16

// extraTargets returns the members that self monitors on the ring while there are
// suspects: its target, and beyond that twice as many as there are suspects in
// the list. A partition makes many members unreachable at once, and most of them
// come after others on the rings; detected one after the other, the last would
// be detected after a minute. It returns nil if no member is suspect.
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

// sorted returns the members of the ring in its order, starting after self.
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
