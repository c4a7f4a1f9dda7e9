package main

import "bronzeusher.example/bronzeusher/bronzefleet"

// The target that the page is about, as its users gave it.
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

	// changeWithin is how many seconds a change may take to all nodes.
	changeWithinTarget = 6
)

// The budget of a node for control.
const (
	budgetCore   = 0.012     // of a core
	budgetMemory = 128 << 20 // bytes
	budgetBytes  = 6 << 10   // a second
)

// What the users have not given, and we assume.
const (
	// rackNodes is how many nodes a rack or a switch takes along.
	rackNodes = 20
	// fewPackets and manyPackets are a flow's packets a second each way.
	fewPackets  = 1
	manyPackets = 10
	// staleShare is the part of a flow's mean life that shared counts may be
	// old: older ones tell little of the flows of now.
	staleShare = 0.1
)

// What the packages do today, which they don't export.
const (
	// pollers nodes ask each server for its report (bronzenode.pollers), each
	// pollsPerSecond servers at most (bronzenode.pollsPerInterval), and
	// zoneReaders of each zone read the platform.
	pollers        = 2
	pollsPerSecond = 10
	zoneReaders    = 2
	// readsPerReader is the list of VMs every 5 s and a watch a second.
	readsPerReader = 1.0/5 + 1
	// shareInterval is how many seconds a poll's news waits at most until it
	// is handed to the fleet (bronzenode.DefaultShareInterval).
	shareInterval = 0.25
	// loadShare is the part of DefaultLoadBytesPerSecond for regular Loads,
	// and loadBurst for how many seconds' worth of it may be saved up, or be
	// owed after news of servers that leave.
	loadShare = 0.7
	loadBurst = 2
	// copyMessageBytes and copyItemBytes are what the pace of copies takes a
	// message for, and each copy in it.
	copyMessageBytes = 60
	copyItemBytes    = 20
	// copyDelay is how old an exception is when its copy has arrived: CopyAge,
	// and a second for the rounding of ages.
	copyDelay = 3.0
	// learnBytes is the pace of Learn messages, in bytes a second.
	learnBytes = 512
	// formerQueries is how many former owners are asked at first.
	formerQueries = 2
	// recoveryQueries is how many nodes are asked about a flow whose owner
	// failed: the others of its order.
	recoveryQueries = bronzefleet.OrderLength - 1
	// memberChanges are those of a replacement: a leave, an end and a join.
	// mostNeighbours of a node are told of each.
	memberChanges  = 3
	mostNeighbours = 8
	// detectIntervals pass from a death to the others' knowledge: three of
	// silence, one of asking, four of waiting for a refutation. In a large
	// fleet each is a second.
	detectIntervals = 3 + 1 + 4
	// tableCapacity is bronzeflow.DefaultCapacity.
	tableCapacity = 1 << 20
	// heldViews are the views that a node holds: that of now, and the one of
	// the last sweep.
	heldViews = 2
	// hopsToAll is the longest way between two of 490 members.
	hopsToAll = 5
)

// What the users promise or ask for, which the policy has to hold.
const (
	// imbalanceBound holds for services with boundFlows or more on a host.
	imbalanceBound = 1.10
	boundFlows     = 50
	// leaveWithinTarget is in how many seconds a server that leaves gets no
	// new flows from anywhere.
	leaveWithinTarget = 3
)

const secondsPerDay = 24 * 60 * 60.0
