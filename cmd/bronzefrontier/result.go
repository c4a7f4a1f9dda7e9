package main

import (
	"slices"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// Result is the result of one run.
type Result struct {
	// Imbalance is the number of flows of the busiest server divided by the
	// mean, averaged over time. ImbalanceP99 is its 99th percentile.
	Imbalance    float64
	ImbalanceP99 float64
	// Exceptions is the fraction of new flows that were placed on another server
	// than their first candidate.
	Exceptions float64
	// BrokenByKill is the mean number of flows of a killed owner whose server is
	// known neither from a copy nor from the hash: exceptions without a copy.
	BrokenByKill float64
	// BrokenByJoinAndKill is the same if a server joins the pool one second
	// before the kill, so that some flows have a new first candidate.
	BrokenByJoinAndKill float64
	// OwnedFlows is the mean number of flows of an owner.
	OwnedFlows float64
	// Opens is the number of flows opened after the warm-up.
	Opens int
}

// tally collects samples of a run.
type tally struct {
	imbalance []float64
	broken    float64
	moved     float64
	owned     float64
}

// sample adds the current state to the tally.
func (m *model) sample() {
	m.measuring = true
	mean := float64(m.open) / float64(len(m.loads))
	if mean == 0 {
		return
	}
	m.tally.imbalance = append(m.tally.imbalance, float64(slices.Max(m.loads))/mean)
	m.tally.owned += float64(m.open) / Owners
	uncopied := m.countUncopied()
	m.tally.broken += float64(uncopied) / Owners
	m.tally.moved += float64(uncopied)/Owners + m.movedUncopied()
}

// countUncopied returns how many open flows are exceptions without a copy.
func (m *model) countUncopied() int {
	n := 0
	for _, o := range m.owners {
		for _, f := range o.uncopied {
			if !f.ended {
				n++
			}
		}
	}
	return n
}

// movedUncopied returns for how many flows of an owner a joining server would
// become the first candidate, less those that are copied within a second. With
// HashAlone there are no copies, so all of these flows break.
func (m *model) movedUncopied() float64 {
	joined := newServer(m.workload, m.workload.Servers).ID
	moved := make([]int, Owners)
	for _, f := range m.ends {
		if f.exception {
			continue
		}
		id := m.service.Pool[f.server].ID
		if bronzeflow.Mix(f.hash, uint64(joined)) > bronzeflow.Mix(f.hash, uint64(id)) {
			moved[f.owner]++
		}
	}
	total := 0
	for _, n := range moved {
		if m.setting.Placement != HashAlone {
			n = max(n-copiesPerSecond, 0)
		}
		total += n
	}
	return float64(total) / Owners
}

// result returns the result of the collected samples.
func (m *model) result() Result {
	t := &m.tally
	n := float64(max(len(t.imbalance), 1))
	sum := 0.0
	for _, v := range t.imbalance {
		sum += v
	}
	slices.Sort(t.imbalance)
	r := Result{
		Imbalance:           sum / n,
		BrokenByKill:        t.broken / n,
		BrokenByJoinAndKill: t.moved / n,
		OwnedFlows:          t.owned / n,
		Opens:               m.opens,
	}
	if len(t.imbalance) > 0 {
		r.ImbalanceP99 = t.imbalance[len(t.imbalance)*99/100]
	}
	if m.opens > 0 {
		r.Exceptions = float64(m.exceptions) / float64(m.opens)
	}
	return r
}
