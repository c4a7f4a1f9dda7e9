package main

import (
	"math"

	"bronzeusher.example/bronzeusher/bronzecore"
	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzepool"
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
	// duePolls are the hosts that a node has to ask, nodePolls those that it
	// asks in a second.
	duePolls  = float64(pollers*targetHosts) / targetNodes
	nodePolls = min(duePolls, pollsPerSecond)
	poolHosts = float64(targetHosts) / targetServices
	meanLife  = float64(targetFlows) / targetOpens // seconds

	changes      = changesPerDay / secondsPerDay
	replacements = (replacedPerDay + failedPerDay) / secondsPerDay
	// viewChanges and sweeps a second: a replacement is a leave and a join.
	viewChanges = 2 * replacements
	sweeps      = viewChanges + changes
)

// A host that a change adds becomes the first candidate of a part of its
// service's flows, which are exceptions from then on. That each change adds
// one is the most that changes can make.
const (
	newExceptions  = changes * nodeFlows / targetServices / (poolHosts + 1) // a second
	heldExceptions = newExceptions * meanLife
)

// hostsPerNode is the target's proportion of hosts to nodes.
const hostsPerNode = float64(targetHosts) / targetNodes

// largestShared returns how many nodes with hosts in proportion share their
// counts.
func largestShared() float64 {
	return math.Floor(math.Sqrt(bronzepool.MaxSharedPairs / hostsPerNode))
}

// largestYoung returns how many nodes have Loads that are young enough.
func (m *model) largestYoung() float64 {
	n := 2.0
	for n < targetNodes && m.loadInterval(n+1) <= staleShare*meanLife {
		n++
	}
	return n
}

// loadInterval returns the seconds from one Load of a node to its next in a
// fleet of that size with hosts in proportion (bronzefleet's ownWait), if it
// shares its counts.
func (m *model) loadInterval(nodes float64) float64 {
	hosts := hostsPerNode * nodes
	withFlows := hosts * (1 - math.Exp(-nodeFlows/hosts))
	return nodes * m.at(costLoadBytes, withFlows) / (bronzefleet.DefaultLoadBytesPerSecond * loadShare)
}

// leastFlows returns how many flows on a host a service needs for the hash
// alone to keep imbalanceBound. What goes over the mean falls with the root of
// the flows.
func (m *model) leastFlows() float64 {
	over := (m.at(costBusiestBySize, targetFlows/targetHosts) - 1) / (imbalanceBound - 1)
	return float64(targetFlows/targetHosts) * over * over
}

// Seconds from a server's own word that it is leaving to all nodes: the next
// poll of one of its two pollers, and the way of the news. The poll comes after
// a third of a round on average, and after a whole one if both have just been
// there.
func (m *model) leaveMean() float64 {
	return duePolls/nodePolls/3 + shareInterval/2 + m.at(costLeavingSeconds, targetNodes)/1e3
}

func (m *model) leaveMost() float64 {
	return math.Ceil(duePolls/nodePolls) + shareInterval + m.at(costLeavingSeconds, targetNodes)/1e3
}

// leaversAtOnce returns how many servers may say at once that they are leaving
// for the news of both pollers to be sent in leaveWithinTarget.
func (m *model) leaversAtOnce() float64 {
	bytes := float64(bronzefleet.DefaultLoadBytesPerSecond) * (2*loadBurst + leaveWithinTarget)
	return bytes / (pollers * m.at(costLeavingBytes, 1))
}

// copyRate returns the copies and ends of copies a second of one owner.
func (m *model) copyRate() float64 { return 2 * newExceptions }

// copyBytes returns the bytes that a node sends for copies in a second, as an
// owner and as a successor. Successors differ, so each copy travels alone.
func (m *model) copyBytes() float64 { return m.copyRate() * m.at(costCopyBytes, 1) }

// lonePace is how many copies that travel alone the pace allows in a second,
// and mostExceptions the share of openings that it can copy so.
const (
	lonePace       = float64(bronzecore.DefaultCopyBytesPerSecond) / (copyMessageBytes + copyItemBytes)
	mostExceptions = lonePace / (2 * nodeOpens)
)

// changeBytes returns the bytes that a node sends in one change.
func (m *model) changeBytes() float64 {
	return m.at(costChangeAsks, targetNodes) *
		(m.at(costRequestBytes, targetHosts) + m.at(costRecordsBytes, targetHosts))
}

// pollBytes returns the bytes of a node's polls in a second.
func (m *model) pollBytes() float64 { return m.slope(costPollBytes) * nodePolls }

// queryBytes returns the bytes of one query and its answer. The flow that was
// measured is known to the former owner, who is asked first.
func (m *model) queryBytes() float64 { return m.at(costRecoveryBytes, targetNodes) }

// recoveryBytes returns the bytes of recoveries that a node sends in a second
// on average. A replacement moves the flows of one node when it leaves and
// when the next one joins, and each is asked of its former owner.
func (m *model) recoveryBytes() float64 {
	return replacements * 2 * nodeFlows * m.queryBytes() / targetNodes
}

// openingBytes returns those of openings that are asked of former owners
// before they are placed.
func (m *model) openingBytes() float64 {
	asked := nodeOpens * bronzecore.DefaultUnsettledPeriod.Seconds() * formerQueries
	return viewChanges * asked * m.queryBytes() / targetNodes
}

// newsBytes returns those of news of members that are replaced, at most: each
// change of a member goes to all neighbours.
func (m *model) newsBytes() float64 {
	return replacements * memberChanges * mostNeighbours * m.slope(costMembersBytes)
}

// joinBytes returns what a node that joins asks in its first second about the
// flows that it owns now, when each has so many packets a second each way.
func (m *model) joinBytes(packets float64) float64 {
	seen := 1 - math.Exp(-packets*(1-knownShare(packets)))
	return nodeFlows * seen * m.queryBytes() / 2 // without the answers
}

// bytes returns all that a node sends for control in a second.
func (m *model) bytes() float64 {
	return m.at(costUnsharedBytes, targetNodes) + learnBytes + m.copyBytes() + m.pollBytes() +
		changes*m.changeBytes() + m.recoveryBytes() + m.openingBytes() + m.newsBytes()
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
	return m.pollCore() + m.memberCore() + m.replaceCore() + m.rankCore() +
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
func (m *model) copyMemory() float64 { return m.slope(costCopyHeap) * heldExceptions }

func (m *model) viewMemory() float64 { return heldViews * m.at(costViewHeap, targetNodes) }

// controlMemory returns all but the flow table.
func (m *model) controlMemory() float64 {
	return m.copyMemory() + m.viewMemory() + m.at(costEmptyLoadsHeap, targetNodes) + m.at(costConfigHeap, targetHosts)
}

// changeSeconds returns the time of a change to all nodes: the delays, and
// the work on the longest way.
func (m *model) changeSeconds() float64 {
	return m.at(costChangeSeconds, targetNodes)/1e3 + hopsToAll*m.changeWork()/1e9
}
