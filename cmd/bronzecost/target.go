package main

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
	// pollers nodes ask each server for its report, once a second
	// (bronzenode.pollers), and zoneReaders of each zone read the platform.
	pollers     = 2
	zoneReaders = 2
	// readsPerReader is the list of VMs every 5 s and a watch a second.
	readsPerReader = 1.0/5 + 1
	// ownedPerSecond is how often a node collects its counts (four times a
	// second, bronzenode.DefaultShareInterval).
	ownedPerSecond = 4
	// loadShare is the part of DefaultLoadBytesPerSecond for regular Loads.
	loadShare = 0.7
	// copyItemBytes is what the pace of copies takes each one for.
	copyItemBytes = 20
	// copyDelay is how old an exception is when its copy has arrived: CopyAge,
	// and a second for the rounding of ages.
	copyDelay = 3.0
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

const secondsPerDay = 24 * 60 * 60.0
