package main

import (
	"math"

	"bronzeusher.example/bronzeusher/bronzecore"
	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzepool"
)

// model calculates the costs of a node at the target size from the measured
// series.
type model struct {
	report *Report
	err    error // a missing series
}

// at returns a cost at a size: the measured value, or that of the fitted line if
// the size was not measured.
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

// slope returns by how much a cost grows per unit of its size.
func (m *model) slope(name string) float64 {
	s, err := m.report.series(name)
	if err != nil {
		m.err = err
		return 0
	}
	return s.Line.Slope
}

// The load of one node at the target size.
const (
	nodeFlows = float64(targetFlows) / targetNodes
	nodeOpens = float64(targetOpens) / targetNodes
	// polledHosts is how many hosts a node has to poll, and nodePolls how many
	// it polls per second.
	polledHosts  = float64(pollersPerServer*targetHosts) / targetNodes
	nodePolls    = min(polledHosts, pollsPerSecond)
	hostsPerPool = float64(targetHosts) / targetServices
	meanLifetime = float64(targetFlows) / targetOpens // seconds

	changesPerSecond      = changesPerDay / secondsPerDay
	replacementsPerSecond = (replacedPerDay + failedPerDay) / secondsPerDay
	// A replacement is a leave and a join. A sweep follows each change of the
	// view or the configuration.
	viewChangesPerSecond = 2 * replacementsPerSecond
	sweepsPerSecond      = viewChangesPerSecond + changesPerSecond
)

// A host that a configuration change adds becomes the first candidate of some of
// the flows of its service, which are exceptions from then on. The number of
// exceptions is an upper bound: it assumes that each change adds a host.
const (
	newExceptionsPerSecond = changesPerSecond * nodeFlows / targetServices / (hostsPerPool + 1)
	heldExceptions         = newExceptionsPerSecond * meanLifetime
)

// hostsPerNode is the ratio of hosts to nodes at the target size.
const hostsPerNode = float64(targetHosts) / targetNodes

// maxSharingNodes returns the size of the largest fleet that shares its counts,
// with hostsPerNode hosts for each node.
func maxSharingNodes() float64 {
	return math.Floor(math.Sqrt(bronzepool.MaxSharedPairs / hostsPerNode))
}

// maxNodesWithRecentLoads returns the size of the largest fleet, up to
// targetNodes, whose shared counts are within maxCountAgeFraction.
func (m *model) maxNodesWithRecentLoads() float64 {
	n := 2.0
	for n < targetNodes && m.loadInterval(n+1) <= maxCountAgeFraction*meanLifetime {
		n++
	}
	return n
}

// loadInterval returns the seconds between the Loads of a node
// (loadSpreader.ownWait of bronzefleet) in a fleet of the given size that shares
// its counts, with hostsPerNode hosts for each node.
func (m *model) loadInterval(nodes float64) float64 {
	hosts := hostsPerNode * nodes
	withFlows := hosts * (1 - math.Exp(-nodeFlows/hosts))
	return nodes * m.at(costLoadBytes, withFlows) / (bronzefleet.DefaultLoadBytesPerSecond * loadShare)
}

// minFlowsForBound returns how many flows on a host a service needs for
// placement by the hash alone to keep imbalanceBound. The excess over the mean
// falls with the square root of the flows.
func (m *model) minFlowsForBound() float64 {
	over := (m.at(costBusiestBySize, targetFlows/targetHosts) - 1) / (imbalanceBound - 1)
	return float64(targetFlows/targetHosts) * over * over
}

// meanLeaveSeconds returns the mean time from a server's report that it is
// leaving until all nodes know: the wait for the next poll by one of its two
// pollers, which is a third of a round on average, and the time to spread it.
func (m *model) meanLeaveSeconds() float64 {
	return polledHosts/nodePolls/3 + shareInterval/2 + m.at(costLeavingToAll, targetNodes)/1e3
}

// maxLeaveSeconds is the maximum of the same time. The wait is a whole round if
// both pollers have just polled the server.
func (m *model) maxLeaveSeconds() float64 {
	return math.Ceil(polledHosts/nodePolls) + shareInterval + m.at(costLeavingToAll, targetNodes)/1e3
}

// maxConcurrentLeaves returns how many servers may report at the same time that
// they are leaving, so that the byte budget allows the Loads of both pollers to
// be sent within leaveTargetSeconds.
func (m *model) maxConcurrentLeaves() float64 {
	bytes := float64(bronzefleet.DefaultLoadBytesPerSecond) * (2*loadBurstSeconds + leaveTargetSeconds)
	return bytes / (pollersPerServer * m.at(costLeavingBytes, 1))
}

// copyRate returns the copies and removals of copies that an owner sends per
// second.
func (m *model) copyRate() float64 { return 2 * newExceptionsPerSecond }

// copyBytes returns the bytes per second that a node sends for copies, as an
// owner and as a successor. Successors differ, so each copy is a message of its
// own.
func (m *model) copyBytes() float64 { return m.copyRate() * m.at(costCopyBytes, 1) }

// singleCopyRate is how many copies per second the rate limit allows if each is a
// message of its own, and maxExceptionShare is the share of openings that can be
// copied at that rate.
const (
	singleCopyRate    = float64(bronzecore.DefaultCopyBytesPerSecond) / (copyMessageBytes + copyItemBytes)
	maxExceptionShare = singleCopyRate / (2 * nodeOpens)
)

// changeBytes returns the bytes that a node sends for one configuration change.
func (m *model) changeBytes() float64 {
	return m.at(costChangeExchanges, targetNodes) *
		(m.at(costRecordsRequestBytes, targetHosts) + m.at(costRecordsBytes, targetHosts))
}

// pollBytes returns the bytes per second of a node's polls, in both directions.
func (m *model) pollBytes() float64 { return m.slope(costPollBytes) * nodePolls }

// queryBytes returns the bytes of one query and its answer. In the measurement
// the former owner, which is queried first, knows the flow.
func (m *model) queryBytes() float64 { return m.at(costRecoveryBytes, targetNodes) }

// recoveryBytes returns the mean bytes per second that a node sends for
// recoveries. A replacement moves the flows of one node when it leaves and again
// when the new one joins, and for each flow the former owner is queried.
func (m *model) recoveryBytes() float64 {
	return replacementsPerSecond * 2 * nodeFlows * m.queryBytes() / targetNodes
}

// openingBytes returns the mean bytes per second of queries to former owners
// about openings, which precede their placement.
func (m *model) openingBytes() float64 {
	asked := nodeOpens * bronzecore.DefaultUnsettledPeriod.Seconds() * formerOwnerQueries
	return viewChangesPerSecond * asked * m.queryBytes() / targetNodes
}

// memberUpdateBytes returns the maximum bytes per second of updates about
// replaced members: each change of a member is sent to all neighbours.
func (m *model) memberUpdateBytes() float64 {
	return replacementsPerSecond * changesPerReplacement * maxNeighbours * m.slope(costMembersBytes)
}

// joinBytes returns the bytes of the queries that a joining node sends in its
// first second about the flows that it now owns, at the given packets per second
// of a flow in each direction.
func (m *model) joinBytes(packets float64) float64 {
	seen := 1 - math.Exp(-packets*(1-knownShare(packets)))
	return nodeFlows * seen * m.queryBytes() / 2 // without the answers
}

// bytes returns the total bytes per second that a node sends for control.
func (m *model) bytes() float64 {
	return m.at(costMemberBytesUnshared, targetNodes) + learnBytesPerSecond + m.copyBytes() + m.pollBytes() +
		changesPerSecond*m.changeBytes() + m.recoveryBytes() + m.openingBytes() + m.memberUpdateBytes()
}

// pollCore, memberCore and replaceCore return the share of a core for polls, for
// membership and for replacements of members.
func (m *model) pollCore() float64   { return m.slope(costPoll) * nodePolls / 1e9 }
func (m *model) memberCore() float64 { return m.at(costMemberSecond, targetNodes) / 1e9 }
func (m *model) replaceCore() float64 {
	return replacementsPerSecond * m.at(costMemberReplace, targetNodes) / 1e9
}

// rankCore returns the share of a core for determining which nodes poll which
// hosts.
func (m *model) rankCore() float64 {
	return sweepsPerSecond * targetNodes * m.at(costRankScores, targetHosts) / 1e9
}

// changeWork returns the nanoseconds of work that a configuration change causes
// at a node.
func (m *model) changeWork() float64 {
	return m.at(costConfigChange, targetHosts) + m.at(costSetSnapshot, targetHosts) +
		m.at(costChangeExchanges, targetNodes)*m.at(costConfigDiff, targetHosts)
}

// changeCore returns the share of a core for configuration changes.
func (m *model) changeCore() float64 { return changesPerSecond * m.changeWork() / 1e9 }

// sweepCore returns the share of a core for the sweeps after changes, at the
// given packets per second of a flow in each direction.
func (m *model) sweepCore(packets float64) float64 {
	return sweepsPerSecond * (m.at(costSweep, nodeFlows) + m.at(costSweepLearned, m.learnedFlows(packets))) / 1e9
}

// core returns the total share of a core for control work.
func (m *model) core() float64 {
	return m.pollCore() + m.memberCore() + m.replaceCore() + m.rankCore() +
		m.changeCore() + m.sweepCore(highPacketRate)
}

// knownShare returns the share of all flows that a node knows, at the given
// packets per second of a flow in each direction: those of which a server's
// packet passed it within the 30 s of bronzecore.DefaultLearnedIdleTimeout.
func knownShare(packets float64) float64 { return 1 - math.Exp(-packets*30/targetNodes) }

// learnedFlows returns how many flows of other owners a node holds.
func (m *model) learnedFlows(packets float64) float64 {
	return min(targetFlows*knownShare(packets), tableCapacity-nodeFlows)
}

// tableMemory returns the bytes of memory of the flow table.
func (m *model) tableMemory(packets float64) float64 {
	return m.slope(costFlowHeap) * (nodeFlows + m.learnedFlows(packets))
}

// copyMemory returns the bytes of memory of the copies that a successor holds: as
// many as a node has exceptions.
func (m *model) copyMemory() float64 { return m.slope(costCopyHeap) * heldExceptions }

// viewMemory returns the bytes of memory of the views that a node holds.
func (m *model) viewMemory() float64 { return heldViews * m.at(costViewHeap, targetNodes) }

// controlMemory returns the bytes of memory of everything but the flow table.
func (m *model) controlMemory() float64 {
	return m.copyMemory() + m.viewMemory() + m.at(costEmptyLoadsHeap, targetNodes) + m.at(costConfigHeap, targetHosts)
}

// changeSeconds returns the time that a configuration change takes to reach all
// nodes: the delays, and the work at the nodes of the longest path.
func (m *model) changeSeconds() float64 {
	return m.at(costChangeToAll, targetNodes)/1e3 + maxHops*m.changeWork()/1e9
}
