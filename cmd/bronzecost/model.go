package main

import (
	"math"

	"bronzeusher.example/bronzeusher/bronzecore"
	"bronzeusher.example/bronzeusher/bronzefleet"
)

// model works out what a node spends at the target from the measured lines.
type model struct {
	report *Report
	err    error // the first series that is missing
}

// at returns a cost at a size: the value measured there, or the line's.
func (m *model) at(name string, size float64) float64 {
	s, err := m.report.series(name)
	if err != nil {
		m.err = err
		return 0
	}
	for _, p := range s.Points {
		if p.Size == size {
			return p.Value
		}
	}
	return s.Line.At(size)
}

// slope returns what one more of the size costs.
func (m *model) slope(name string) float64 {
	s, err := m.report.series(name)
	if err != nil {
		m.err = err
		return 0
	}
	return s.Line.Slope
}

// What falls to one node at the target.
const (
	nodeFlows = float64(targetFlows) / targetNodes
	nodeOpens = float64(targetOpens) / targetNodes
	nodePolls = float64(pollers*targetHosts) / targetNodes // a second
	poolHosts = float64(targetHosts) / targetServices
	meanLife  = float64(targetFlows) / targetOpens // seconds

	changes      = changesPerDay / secondsPerDay
	replacements = (replacedPerDay + failedPerDay) / secondsPerDay
	// viewChanges and sweeps a second: a replacement is a leave and a join.
	viewChanges = 2 * replacements
	sweeps      = viewChanges + changes
)

// hostsWithFlows returns on how many of hosts a node has flows.
func hostsWithFlows(hosts float64) float64 {
	return hosts * (1 - math.Exp(-nodeFlows/hosts))
}

// loadInterval returns the seconds from one Load of a node to its next in a
// fleet of that size, with hosts in proportion (bronzefleet's storeOwn).
func (m *model) loadInterval(nodes float64) float64 {
	size := m.at(costLoadBytes, hostsWithFlows(targetHosts/targetNodes*nodes))
	return nodes * size / (bronzefleet.DefaultLoadBytesPerSecond * loadShare)
}

// largestShared returns up to how many nodes Loads are young enough.
func (m *model) largestShared() int {
	n := 2
	for n < targetNodes && m.loadInterval(float64(n+1)) <= staleShare*meanLife {
		n++
	}
	return n
}

// exceptions returns the share of exceptions of an owner that knows old counts
// of the others. One that has started of late, and knows none, has more.
func (m *model) exceptions() float64 {
	return m.at(costHeardOnce, targetNodes) / 100
}

// copyRate returns the copies and ends of copies a second of one owner.
func (m *model) copyRate() float64 { return 2 * nodeOpens * m.exceptions() }

// copyBytes returns the bytes that a node sends for copies in a second, as an
// owner and as a successor. Successors differ, so each copy travels alone.
func (m *model) copyBytes() float64 { return m.copyRate() * m.at(costCopyBytes, 1) }

// mostExceptions returns the share of exceptions whose copies, counted as they
// are sent, keep to their part of the budget.
func (m *model) mostExceptions() float64 {
	return bronzecore.DefaultCopyBytesPerSecond / (2 * nodeOpens * m.at(costCopyBytes, 1))
}

// largestCopied returns up to how many nodes there are no more exceptions than
// that, between the sizes that were measured.
func (m *model) largestCopied() int {
	s, err := m.report.series(costHeardOnce)
	if err != nil {
		m.err = err
		return 0
	}
	most := 100 * m.mostExceptions()
	for i := 1; i < len(s.Points); i++ {
		a, b := s.Points[i-1], s.Points[i]
		if b.Value > most {
			return int(a.Size + (b.Size-a.Size)*max(most-a.Value, 0)/(b.Value-a.Value))
		}
	}
	return targetNodes
}

// changeBytes returns the bytes that a node sends in one change.
func (m *model) changeBytes() float64 {
	return m.at(costChangeAsks, targetNodes) *
		(m.at(costRequestBytes, targetHosts) + m.at(costRecordsBytes, targetHosts))
}

// pollBytes returns the bytes of a node's polls in a second.
func (m *model) pollBytes() float64 { return m.slope(costPollBytes) * nodePolls }

// recoveryBytes returns the bytes of recoveries a second, on average.
func (m *model) recoveryBytes() float64 {
	return nodeFlows * m.at(costRecoveryBytes, targetNodes) / targetNodes * replacements
}

// bytes returns all that a node sends for control in a second.
func (m *model) bytes() float64 {
	return m.at(costMemberBytes, targetNodes) + m.copyBytes() + m.pollBytes() +
		changes*m.changeBytes() + m.recoveryBytes()
}

// pollCore and the other shares of a core that control takes.
func (m *model) pollCore() float64   { return m.slope(costPoll) * nodePolls / 1e9 }
func (m *model) memberCore() float64 { return m.at(costSecond, targetNodes) / 1e9 }
func (m *model) replaceCore() float64 {
	return replacements * m.at(costReplace, targetNodes) / 1e9
}

// rankCore is for finding out who polls whom.
func (m *model) rankCore() float64 {
	return sweeps * targetNodes * m.at(costScore, targetHosts) / 1e9
}

func (m *model) ownedCore() float64 {
	return ownedPerSecond * m.at(costOwned, targetHosts) / 1e9
}

// changeWork returns the nanoseconds that one change costs a node.
func (m *model) changeWork() float64 {
	return m.at(costApply, targetHosts) + m.at(costSnapshot, targetHosts) +
		m.at(costChangeAsks, targetNodes)*m.at(costDiff, targetHosts)
}

func (m *model) changeCore() float64 { return changes * m.changeWork() / 1e9 }

// sweepCore is for the sweeps after changes, with learned flows of that many
// packets a second.
func (m *model) sweepCore(packets float64) float64 {
	return sweeps * (m.at(costSweep, nodeFlows) + m.at(costSweepLearned, m.learned(packets))) / 1e9
}

// core returns the share of a core that control takes.
func (m *model) core() float64 {
	return m.pollCore() + m.memberCore() + m.replaceCore() + m.rankCore() + m.ownedCore() +
		m.changeCore() + m.sweepCore(manyPackets)
}

// knownShare returns the share of all flows that a node knows, when each has
// so many packets a second each way: those of which a packet of the server
// came by in the 30 s of Timing.Learned.
func knownShare(packets float64) float64 { return 1 - math.Exp(-packets*30/targetNodes) }

// learned returns how many flows of others a node remembers.
func (m *model) learned(packets float64) float64 {
	return min(targetFlows*knownShare(packets), tableCapacity-nodeFlows)
}

// tableMemory returns the flow table's memory.
func (m *model) tableMemory(packets float64) float64 {
	return m.slope(costFlowHeap) * (nodeFlows + m.learned(packets))
}

// copyMemory returns that of a successor's copies: as many as a node has
// exceptions.
func (m *model) copyMemory() float64 {
	return m.slope(costCopyHeap) * nodeFlows * m.exceptions()
}

func (m *model) viewMemory() float64 { return heldViews * m.at(costViewHeap, targetNodes) }

// sharedMemory returns that of the other nodes' counts, in the pools and as
// Loads. A Load has the hosts with flows only.
func (m *model) sharedMemory() float64 {
	return m.at(costOwnersHeap, targetNodes) +
		m.at(costLoadsHeap, targetNodes)*hostsWithFlows(targetHosts)/targetHosts
}

// controlMemory returns all but the flow table.
func (m *model) controlMemory() float64 {
	return m.copyMemory() + m.viewMemory() + m.sharedMemory() + m.at(costConfigHeap, targetHosts)
}

// changeSeconds returns the time of a change to all nodes: the delays, and
// the work on the longest way.
func (m *model) changeSeconds() float64 {
	return m.at(costChangeSeconds, targetNodes)/1e3 + hopsToAll*m.changeWork()/1e9
}
