package main

import (
	"slices"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// Result is what one run measured.
type Result struct {
	// Imbalance is the busiest server's flows over the mean: its average
	// over time and its 99th percentile.
	Imbalance    float64
	ImbalanceP99 float64
	// Exceptions is the share of new flows that went to another server than
	// their first candidate.
	Exceptions float64
	// BrokenByKill is the mean number of flows, of those that the killed
	// owner has, that neither a copy nor derivation would find.
	BrokenByKill float64
	// BrokenByJoinAndKill is the same if a server had joined the pool one
	// second before the kill, so that some flows have a new first candidate.
	BrokenByJoinAndKill float64
	// OwnedFlows is the mean number of flows of an owner.
	OwnedFlows float64
	Opens      int
}

// tally collects samples.
type tally struct {
	imbalance []float64
	broken    float64
	moved     float64
	owned     float64
}

// sample takes the state at one moment.
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

// movedUncopied returns how many flows of an owner a server that joins would
// move off their first candidate, less those copied within a second. Without
// exceptions' copies, as with HashAlone, all of them are lost.
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
			n = max(n-copyPace, 0)
		}
		total += n
	}
	return float64(total) / Owners
}

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
