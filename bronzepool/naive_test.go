package bronzepool

import (
	"cmp"
	"slices"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzeflow"
)

// naiveOrder returns ids sorted by score for hash.
func naiveOrder(hash uint64, ids []bronzeflow.ServerID) []bronzeflow.ServerID {
	order := slices.Clone(ids)
	slices.SortFunc(order, func(a, b bronzeflow.ServerID) int {
		if c := cmp.Compare(bronzeflow.Mix(hash, uint64(b)), bronzeflow.Mix(hash, uint64(a))); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return order
}

// counts holds numbers of flows by server.
type counts map[bronzeflow.ServerID]float64

// peerReport holds the counts that a peer reported, and this node's own counts
// at that time.
type peerReport struct{ theirs, mine counts }

// naive is a reference model of a Pool. It keeps the Pool's history in maps and
// computes each choice from scratch.
type naive struct {
	pool        Pool
	svc         *bronzeconf.Service
	now         time.Time
	owners      int
	own         counts
	peerReports map[string]peerReport
	leaving     map[bronzeflow.ServerID]time.Time
	placed      []placement
}

// placement is a placed flow, with its server's part of the total weight and
// whether it was a trial of a server that had failed.
type placement struct {
	id    bronzeflow.ServerID
	part  float64
	trial bool
}

func newNaive(svc *bronzeconf.Service) *naive {
	n := &naive{svc: svc, now: time.Unix(1000, 0), owners: 1}
	n.own = counts{}
	n.peerReports = make(map[string]peerReport)
	n.leaving = make(map[bronzeflow.ServerID]time.Time)
	n.pool.Now = func() time.Time { return n.now }
	n.pool.SetService(svc)
	return n
}

func (n *naive) end(id bronzeflow.ServerID) {
	n.pool.Ended(id)
	n.own[id] = max(n.own[id]-1, 0)
}

func (n *naive) share(t *rapid.T, ids []bronzeflow.ServerID) {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "Origin")
	if rapid.IntRange(0, 4).Draw(t, "Forget") == 0 {
		n.pool.SetOwned(name, nil)
		delete(n.peerReports, name)
		return
	}
	reported := make(map[bronzeflow.ServerID]uint32)
	w := peerReport{counts{}, counts{}}
	for _, id := range ids {
		reported[id] = rapid.Uint32Range(0, 4).Draw(t, "Count")
		w.theirs[id] = float64(reported[id])
		w.mine[id] = n.own[id]
	}
	n.pool.SetOwned(name, reported)
	n.peerReports[name] = w
}

func (n *naive) leave(id bronzeflow.ServerID) {
	n.pool.SetLeaving(id, 2*time.Second)
	n.leaving[id] = n.now.Add(2 * time.Second)
}

func (n *naive) advance(ms int) {
	n.now = n.now.Add(time.Duration(ms) * time.Millisecond)
}

// open compares a choice with the model's and checks the invariants of a choice.
func (n *naive) open(t *rapid.T, hash uint64, tried []bronzeflow.ServerID, ignoreLoad bool) {
	want, wantOK := n.choose(hash, tried, ignoreLoad)
	id, first, ok := n.pool.Choose(hash, tried, ignoreLoad)
	require.Equal(t, wantOK, ok)
	if !ok {
		return
	}
	require.Equal(t, want, id)
	require.Equal(t, naiveOrder(hash, serverIDs(n.svc))[0] == id, first)
	require.NotContains(t, tried, id)
	require.False(t, n.now.Before(n.leaving[id]), "leaving")
	require.True(t, n.pool.Available(id))
	n.pool.Opened(id)
	n.own[id]++
	n.placed = append(n.placed, placement{id, n.part(id), n.pool.index[id].fails > 0})
}

// trials returns Pool.trials, computed from all placements.
func (n *naive) trials() float64 {
	trials := 0.0
	for _, pl := range n.placed {
		trials = max(trials-trialShare, 0)
		if pl.trial {
			trials++
		}
	}
	return trials
}

// part returns the weight of id as a fraction of the weight of all serving
// servers.
func (n *naive) part(id bronzeflow.ServerID) float64 {
	var own, all float64
	for _, b := range n.svc.Pool {
		if b.ID == id {
			own = float64(b.Connections)
		}
		if !n.now.Before(n.leaving[b.ID]) && n.pool.index[b.ID].fails < excludeAfterFails {
			all += float64(b.Connections)
		}
	}
	if all == 0 {
		return maxQuota
	}
	return own / all
}

// excess returns Pool.excess of id, computed from all placements; part is the
// server's present part of the total weight.
func (n *naive) excess(id bronzeflow.ServerID, part float64) float64 {
	excess, last := 0.0, 0
	for i, pl := range n.placed {
		if pl.id != id {
			continue
		}
		excess = max(excess-min(quotaFactor*pl.part, maxQuota)*float64(i-last), 0)
		excess = min(excess+1, 2*quotaBurst)
		last = i + 1
	}
	return max(excess-min(quotaFactor*part, maxQuota)*float64(len(n.placed)-last), 0)
}

func (n *naive) total(id bronzeflow.ServerID) float64 {
	total := n.own[id]
	missingPeers := max(n.owners-1-len(n.peerReports), 0)
	change := float64(missingPeers) * n.own[id]
	for _, w := range n.peerReports {
		total += w.theirs[id]
		change += n.own[id] - w.mine[id]
	}
	return max(total+change/2, n.own[id])
}

// choose returns the choice that the Pool should make.
func (n *naive) choose(hash uint64, tried []bronzeflow.ServerID, ignoreLoad bool) (id bronzeflow.ServerID, ok bool) {
	loads, weights := counts{}, counts{}
	all, weight := 1.0, 0.0
	for _, b := range n.svc.Pool {
		if !n.now.Before(n.leaving[b.ID]) {
			loads[b.ID] = n.total(b.ID)
			weights[b.ID] = float64(b.Connections)
			if n.pool.index[b.ID].fails < excludeAfterFails {
				all += loads[b.ID]
				weight += weights[b.ID]
			}
		}
	}
	var allowed, ready, fit, underQuota []bronzeflow.ServerID
	for _, id := range naiveOrder(hash, serverIDs(n.svc)) {
		if _, serving := loads[id]; !serving || loads[id]+1 > weights[id] || slices.Contains(tried, id) {
			continue
		}
		allowed = append(allowed, id)
		if n.now.UnixNano() < n.pool.index[id].retryAt {
			continue
		}
		if n.pool.index[id].fails > 0 && n.trials() >= trialBurst {
			continue
		}
		ready = append(ready, id)
		share := all * weights[id] / weight
		if weight == 0 || loads[id]+1 > n.limit(share)+loadTolerance {
			continue
		}
		fit = append(fit, id)
		if n.excess(id, weights[id]/weight)+1 <= quotaBurst {
			underQuota = append(underQuota, id)
		}
	}
	top := naiveOrder(hash, serverIDs(n.svc))[0]
	switch {
	case len(allowed) == 0:
		return 0, false
	case ignoreLoad:
		return n.chooseIgnoringLoad(allowed), true
	case slices.Contains(fit, top):
		return top, true
	case len(underQuota) > 0:
		choices := underQuota[:min(len(underQuota), exceptionChoices)]
		return slices.MinFunc(choices, func(a, b bronzeflow.ServerID) int {
			return cmp.Compare(loads[a]*weights[b], loads[b]*weights[a])
		}), true
	case len(ready) > 0:
		return ready[0], true
	default:
		return n.earliestRetry(allowed), true
	}
}

func (n *naive) chooseIgnoringLoad(allowed []bronzeflow.ServerID) bronzeflow.ServerID {
	for _, id := range allowed {
		s := n.pool.index[id]
		if !s.silent || n.now.UnixNano() >= s.retryAt {
			return id
		}
	}
	return allowed[0]
}

func (n *naive) limit(share float64) float64 {
	const slots = 2
	limit := max(share*n.svc.Policy.ImbalanceBound, share+1)
	if share <= slots {
		return min(limit, slots)
	}
	return limit
}

func (n *naive) earliestRetry(allowed []bronzeflow.ServerID) bronzeflow.ServerID {
	return slices.MinFunc(allowed, func(a, b bronzeflow.ServerID) int {
		return cmp.Compare(n.pool.index[a].retryAt, n.pool.index[b].retryAt)
	})
}
