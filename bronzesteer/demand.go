package bronzesteer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

const (
	// demandBuckets buckets of demandBucket each hold the demand of the last second.
	demandBuckets = 16
	demandBucket  = 64 * time.Millisecond
	// maxSums bounds the pools in a node's demand, by the bytes available in its messages.
	// Those with the highest demand are sent.
	maxSums = 4
	// maxNodeDemand bounds what a peer says it is asked, in requests per second. It is forty
	// times what the largest fleet does.
	maxNodeDemand = 1e6
	// maxDemandNodes bounds the peers whose demand is kept. It is more than are heard of
	// within the longest time that demand is used.
	maxDemandNodes = 256
	// minDemandNodes is the number of nodes from which a zone's demand is taken. With fewer,
	// the median of them doesn't bound what a node that lies can do.
	minDemandNodes = 3
	// demandMaxAge is how long a peer's demand is used while enough nodes of its zone are
	// heard of. In a large fleet that is six nodes per second of all zones together, so that
	// it is longer with more than three zones: zoneDemandMaxAge for each. If fewer than
	// minDemandNodes are heard of within that time, as in one case of eight at five nodes on
	// average, the last ones are used for twice as long.
	demandMaxAge     = 2500 * time.Millisecond
	zoneDemandMaxAge = demandMaxAge / 3
	// maxDemandRatio is how many times the median of its zone's nodes a node's demand counts
	// at most, so that one node that lies has little effect. minDemandBound is the least
	// bound, in requests per second, for zones where most nodes happen to be idle.
	maxDemandRatio = 4.0
	minDemandBound = 1.0
	// minDemandChange is how many standard deviations demand must have changed by to count as
	// changed at once. Smaller changes are averaged over steadyTime: five nodes with 13
	// requests per second each show their zone's demand no better than to an eighth, more
	// coarsely if they differ in size.
	minDemandChange = 3.0
	steadyTime      = 4 * time.Second
	// minNodeSpread is the least standard deviation of the sizes of nodes that is assumed, as
	// a fraction of their mean: three to five nodes may happen to be alike.
	minNodeSpread = 0.3
	// shareMaxAge is how long the shares of zones are reused.
	shareMaxAge = 250 * time.Millisecond
)

// Sum is what callers of one node ask of one pool.
type Sum struct {
	// Pool is a hash of the pool's name.
	Pool uint32
	// Rate is in requests and refused openings per second.
	Rate float64
}

func poolID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// demandRate counts what this node's callers ask of a pool in the last second. Each bucket
// holds the number of its time span in the upper half and its count in the lower one, so that
// no lock is needed. All methods may be called concurrently.
type demandRate struct{ buckets [demandBuckets]atomic.Uint64 }

// add counts a request, or a refused opening.
func (d *demandRate) add(at time.Duration) {
	span := uint32(at / demandBucket)
	b := &d.buckets[span%demandBuckets]
	for {
		old := b.Load()
		next := old + 1
		if uint32(old>>32) != span {
			next = uint64(span)<<32 | 1
		}
		if b.CompareAndSwap(old, next) {
			return
		}
	}
}

// rate returns the mean over the last second, per second.
func (d *demandRate) rate(at time.Duration) float64 {
	span := uint32(at / demandBucket)
	count := uint32(0)
	for i := range d.buckets {
		if b := d.buckets[i].Load(); span-uint32(b>>32) < demandBuckets {
			count += uint32(b)
		}
	}
	return float64(count) / (time.Duration(demandBuckets-1)*demandBucket + at%demandBucket).Seconds()
}

// countRefused counts an opening that no server may take, in the pool chosen by the weights of
// its route.
func (vs *viewState) countRefused(route *bronzeroute.Route, p *Packet, at time.Duration) {
	name, _ := route.Pick(p.Key.Hash())
	if members := vs.membersOf(name); len(members) > 0 {
		members[0].backend.stats.demand.add(at)
	}
}

// demandTable holds what peers say they are asked. All methods may be called concurrently.
type demandTable struct {
	mu    sync.Mutex
	nodes map[string]*nodeDemand
	// live is the number of live nodes in each zone, including this one.
	live map[string]int
}

// nodeDemand is the demand that a node has reported.
type nodeDemand struct {
	zone string
	at   time.Duration
	// sums holds the first count entries, one for each pool.
	sums  [maxSums]demandSum
	count int
}

// demandSum is the demand for a pool that a node has reported, and this node's own at the time
// when it was received.
type demandSum struct {
	pool      uint32
	rate, own float64
}

// Demand returns what this node's callers ask of the pools with the highest demand, at most
// four. Pools that nobody asks count too, so that an idle node isn't taken for one that tells
// nothing.
func (s *Steerer) Demand(now time.Time) (sums []Sum) {
	s.init()
	at := s.sinceStart(now)
	s.mu.Lock()
	for _, ps := range s.poolStats {
		sums = append(sums, Sum{Pool: ps.id, Rate: ps.demand.rate(at)})
	}
	s.mu.Unlock()
	slices.SortFunc(sums, func(a, b Sum) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Pool, b.Pool))
	})
	return sums[:min(len(sums), maxSums)]
}

// SetDemand records the demand reported by another node in the given zone. Values that no node
// can have are bounded, and of several for one pool the first counts.
func (s *Steerer) SetDemand(node, zone string, sums []Sum, now time.Time) {
	s.init()
	if len(sums) == 0 {
		return
	}
	at := s.sinceStart(now)
	n := &nodeDemand{zone: zone, at: at}
	for _, sum := range sums[:min(len(sums), maxSums)] {
		if n.find(sum.Pool) != nil || math.IsNaN(sum.Rate) {
			continue
		}
		n.sums[n.count] = demandSum{pool: sum.Pool, rate: min(max(sum.Rate, 0), maxNodeDemand), own: s.ownDemand(sum.Pool, at)}
		n.count++
	}
	t := &s.demands
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.nodes == nil {
		t.nodes = make(map[string]*nodeDemand)
	}
	t.expire(at)
	if _, known := t.nodes[node]; known || len(t.nodes) < maxDemandNodes {
		t.nodes[node] = n
	}
}

// SetZoneNodes sets the number of live nodes in each zone, including this one. The Steerer
// keeps the map.
func (s *Steerer) SetZoneNodes(counts map[string]int) {
	s.demands.mu.Lock()
	defer s.demands.mu.Unlock()
	s.demands.live = counts
}

// ownDemand returns this node's own demand for a pool.
func (s *Steerer) ownDemand(pool uint32, at time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ps := range s.poolStats {
		if ps.id == pool {
			return ps.demand.rate(at)
		}
	}
	return 0
}

// find returns the entry for a pool, or nil.
func (n *nodeDemand) find(pool uint32) *demandSum {
	for i := range n.sums[:n.count] {
		if n.sums[i].pool == pool {
			return &n.sums[i]
		}
	}
	return nil
}

// of returns the node's demand for a pool. It is unknown if the node has named as many others
// as it can.
func (n *nodeDemand) of(pool uint32) (sum demandSum, ok bool) {
	if found := n.find(pool); found != nil {
		return *found, true
	}
	return demandSum{pool: pool}, n.count < maxSums
}

// expire removes reports that are too old to be used. The caller holds the lock.
func (t *demandTable) expire(at time.Duration) {
	for name, n := range t.nodes {
		if at-n.at > 2*t.maxAge() {
			delete(t.nodes, name)
		}
	}
}

// maxAge returns how long a report is used. The caller holds the lock.
func (t *demandTable) maxAge() time.Duration {
	return max(demandMaxAge, time.Duration(len(t.live))*zoneDemandMaxAge)
}

// demandSample is the demand of one node for a pool.
type demandSample struct {
	age       time.Duration
	rate, own float64
}

// samples returns the recent demand of a zone's peers for a pool, the latest first. The caller
// holds the lock.
func (t *demandTable) samples(zone string, pool uint32, at time.Duration) (list []demandSample) {
	for _, n := range t.nodes {
		if n.zone != zone || at-n.at > 2*t.maxAge() {
			continue
		}
		if sum, ok := n.of(pool); ok {
			list = append(list, demandSample{age: at - n.at, rate: sum.rate, own: sum.own})
		}
	}
	slices.SortFunc(list, func(a, b demandSample) int {
		return cmp.Or(cmp.Compare(a.age, b.age), cmp.Compare(a.rate, b.rate))
	})
	return list
}

// zoneDemand is the demand of a zone for a pool, in requests per second, and its standard
// deviation. own is this node's mean own demand at the times when the zone's nodes reported
// theirs.
type zoneDemand struct{ rate, deviation, own float64 }

// steadyDemand is the demand of a zone, averaged for as long as it doesn't change.
type steadyDemand struct {
	rate float64
	at   time.Duration
}

// update returns the average with d, which is that of at.
func (sd steadyDemand) update(d zoneDemand, at time.Duration) steadyDemand {
	rate := d.rate
	if at-sd.at < steadyTime && math.Abs(rate-sd.rate) <= minDemandChange*d.deviation {
		rate = smooth(sd.rate, rate, at-sd.at)
	}
	return steadyDemand{rate: rate, at: at}
}

// smooth moves former towards next by the time that has passed.
func smooth(former, next float64, passed time.Duration) float64 {
	return next + (former-next)*math.Exp(-max(passed.Seconds(), 0)/steadyTime.Seconds())
}

// zoneDemand returns the demand of a zone for a pool. In the own zone, own, this node's own
// demand, is known exactly and counts once. If scale is set, the reports of peers are scaled
// with its change since they came; otherwise it counts as it was then. The caller holds the
// lock.
func (t *demandTable) zoneDemand(zone string, pool uint32, inZone, scale bool, own float64, at time.Duration) (d zoneDemand, ok bool) {
	live := t.live[zone]
	if live == 0 {
		return d, !inZone
	}
	others, enough := float64(live), minDemandNodes
	if inZone {
		others--
		enough--
	}
	list := t.samples(zone, pool, at)
	if len(list) < enough || list[0].age > t.maxAge() {
		return d, false
	}
	recent := enough
	for recent < len(list) && list[recent].age <= t.maxAge() {
		recent++
	}
	list = list[:recent]
	rates := make([]float64, len(list), len(list)+1)
	for i := range list {
		if scale {
			list[i].rate *= demandChange(list[i].own, own)
		}
		rates[i] = list[i].rate
	}
	if inZone {
		rates = append(rates, own)
	}
	bound := demandBound(rates)
	mean, squares, n := 0.0, 0.0, float64(len(list))
	for _, sample := range list {
		rate := min(sample.rate, bound)
		mean += rate / n
		squares += rate * rate / n
		d.own += sample.own / n
	}
	// The variance of a count is the count itself. What the nodes differ by beyond that
	// matters as far as not all of them have been heard of.
	size := max(squares-mean*mean-mean, minNodeSpread*mean*minNodeSpread*mean) * max(1-n/others, 0)
	d.rate, d.deviation = mean*others, math.Sqrt((mean+size)/n)*others
	switch {
	case inZone && scale:
		d.rate += own
	case inZone:
		d.rate += d.own
	}
	return d, true
}

// demandBound returns the highest demand that counts for any of a zone's nodes. It sorts the
// rates.
func demandBound(rates []float64) float64 {
	slices.Sort(rates)
	return max(maxDemandRatio*rates[(len(rates)-1)/2], minDemandBound)
}

// demandChange returns this node's demand divided by its former demand, or 1 if
// they differ by no more than chance would explain. A surge of the zone's callers shows in the
// node's own demand a second or two before it shows in what peers report.
func demandChange(was, is float64) float64 {
	// Both are counts of about a second, whose variances are the counts themselves.
	if math.Abs(is-was) <= minDemandChange*math.Sqrt(is+was) || was == 0 {
		return 1
	}
	return min(max(is/was, 1/maxDemandRatio), maxDemandRatio)
}

// fleetRatio returns the demand of all nodes for a pool divided by this node's own, at least
// 1, or the number of nodes if too little is known. Own demand is that of the times at which
// peers reported theirs: in a surge it would otherwise rise first, and the ratio would fall. It
// is computed at most every shareMaxAge.
func (s *Steerer) fleetRatio(ps *poolStats, at time.Duration) float64 {
	ratio, expired := ps.ratio.get(at)
	if expired {
		former := ratio
		if ratio = s.newFleetRatio(ps, at); former > 0 && ratio > 0 {
			ratio = smooth(former, ratio, at-ps.ratio.setAt())
		}
		ps.ratio.set(ratio, at)
	}
	if ratio == 0 {
		return s.nodeCount()
	}
	return ratio
}

// newFleetRatio computes the ratio of the fleet's demand to this node's own, 0 if it is
// unknown.
func (s *Steerer) newFleetRatio(ps *poolStats, at time.Duration) float64 {
	own := ps.demand.rate(at)
	t := &s.demands
	t.mu.Lock()
	defer t.mu.Unlock()
	nodes, fleet, then := 0.0, 0.0, 0.0
	// The sum of floats depends on their order, and decisions must not depend on that of a map.
	for _, zone := range slices.Sorted(maps.Keys(t.live)) {
		live := t.live[zone]
		d, ok := t.zoneDemand(zone, ps.id, zone == s.AvailabilityZone, false, own, at)
		if !ok {
			return 0
		}
		nodes += float64(live)
		fleet += d.rate
		then += d.own * float64(live)
	}
	if then == 0 {
		return 0
	}
	return min(max(fleet*nodes/then, 1), max(maxDemandRatio*nodes, 1))
}

// nodeCount returns the number of live nodes, including this one.
func (s *Steerer) nodeCount() float64 {
	s.demands.mu.Lock()
	defer s.demands.mu.Unlock()
	nodes := 0
	for _, n := range s.demands.live {
		nodes += n
	}
	if nodes == 0 {
		return float64(s.peers.Load() + 1)
	}
	return float64(nodes)
}
