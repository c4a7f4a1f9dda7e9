package main

import "bronzeusher.example/bronzeusher/bronzefleet"

// The required size of the deployment.
const (
	targetNodes    = 490
	targetHosts    = 5100
	targetServices = 320
	targetFlows    = 4_700_000
	targetOpens    = 25_000 // a second
	targetZones    = 6
	targetRegions  = 2

	changesPerDay  = 1300
	replacedPerDay = 1800
	failedPerDay   = 7

	// changeTargetSeconds is how long a configuration change may take to reach
	// all nodes.
	changeTargetSeconds = 6
)

// The budget of a node for control work.
const (
	budgetCore   = 0.012     // of a core
	budgetMemory = 128 << 20 // bytes
	budgetBytes  = 6 << 10   // a second
)

// Assumptions about what the requirements leave open.
const (
	// rackNodes is how many nodes fail with one rack or switch.
	rackNodes = 20
	// lowPacketRate and highPacketRate are packets per second of a flow in each
	// direction.
	lowPacketRate  = 1
	highPacketRate = 10
	// maxCountAgeFraction is the maximum age of shared counts as a fraction of
	// the mean lifetime of a flow. Older counts say little about the current
	// flows.
	maxCountAgeFraction = 0.1
)

// Constants and behaviour of other packages, which don't export them.
const (
	// pollersPerServer nodes poll each server for its report
	// (bronzenode.pollersPerServer). Each node polls at most pollsPerSecond
	// servers per second (bronzenode.pollsPerInterval). In each zone
	// platformReadersPerZone nodes read the platform
	// (bronzenode.platformReadersPerZone).
	pollersPerServer       = 2
	pollsPerSecond         = 10
	platformReadersPerZone = 2
	// platformCallsPerReader is the calls per second: the list of VMs every 5 s
	// and a watch every second.
	platformCallsPerReader = 1.0/5 + 1
	// shareInterval is how many seconds the result of a poll waits at most
	// until it is passed to the fleet (bronzenode.DefaultShareInterval).
	shareInterval = 0.25
	// loadShare is the share of DefaultLoadBytesPerSecond for regular Loads
	// (bronzefleet.loadShare). loadBurstSeconds is the time over which unused
	// budget accumulates, and by which Loads with leaving servers may overdraw
	// it (bronzefleet.loadBurst).
	loadShare        = 0.7
	loadBurstSeconds = 2
	// copyMessageBytes and copyItemBytes are the sizes that the rate limit of
	// copies assumes for a message and for each copy in it (bronzecore).
	copyMessageBytes = 60
	copyItemBytes    = 20
	// copyDelay is the age in seconds of an exception when its copy has arrived:
	// bronzecore.DefaultMinCopyAge, and a second because ages are rounded.
	copyDelay = 3.0
	// learnBytesPerSecond is the rate limit of Learn messages
	// (bronzecore.learnBytesPerSecond).
	learnBytesPerSecond = 512
	// formerOwnerQueries is how many former owners are queried first.
	formerOwnerQueries = 2
	// recoveryQueries is how many nodes are queried about a flow whose owner
	// failed: the other nodes in the order of the flow.
	recoveryQueries = bronzefleet.OrderLength - 1
	// changesPerReplacement is how many status changes of members a replacement
	// causes: a leave, an end and a join. Each is sent to all neighbours of a
	// node, at most maxNeighbours.
	changesPerReplacement = 3
	maxNeighbours         = 8
	// detectIntervals is how many heartbeat intervals pass from the failure of a
	// node until the others know: three of silence, one of probing, and four of
	// waiting for a refutation. In a large fleet an interval is a second.
	detectIntervals = 3 + 1 + 4
	// tableCapacity is bronzeflow.DefaultCapacity.
	tableCapacity = 1 << 20
	// heldViews is how many views a node holds: the current one, and that of the
	// last sweep.
	heldViews = 2
	// maxHops is the longest path between two of 490 members.
	maxHops = 5
)

// Required service levels.
const (
	// imbalanceBound applies to services with minBoundFlows or more flows on a
	// host.
	imbalanceBound = 1.10
	minBoundFlows  = 50
	// leaveTargetSeconds is how long it may take until a leaving server gets no
	// new flows from any node.
	leaveTargetSeconds = 3
)

const secondsPerDay = 24 * 60 * 60.0
