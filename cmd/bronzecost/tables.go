package main

import (
	"fmt"

	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzepool"
)

// table is one table of the page.
type table struct {
	head []string
	rows [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// tables returns the tables of the page, keyed by the names in their marks.
func tables(r *Report) (all map[string]*table, err error) {
	m := &model{report: r}
	all = map[string]*table{
		"verdict": m.verdictTable(),
		"roles":   m.rolesTable(),
		"bytes":   m.bytesTable(),
		"core":    m.coreTable(),
		"memory":  m.memoryTable(),
		"events":  m.eventsTable(),
		"limits":  m.limitsTable(),
		"lines":   seriesTable(r),
		"machine": machineTable(r),
	}
	return all, m.err
}

// verdictTable compares the total cost of a node with its budget.
func (m *model) verdictTable() *table {
	t := &table{head: []string{"at 490 nodes", "worked out", "budget", ""}}
	t.add("control, bytes sent a second", kilobytes(m.bytes()), kilobytes(budgetBytes), verdict(m.bytes(), budgetBytes))
	t.add("control, share of a core", percent(m.core()), percent(budgetCore), verdict(m.core(), budgetCore))
	t.add("control, memory", megabytes(m.controlMemory()), megabytes(budgetMemory), verdict(m.controlMemory(), budgetMemory))
	for _, p := range []float64{lowPacketRate, highPacketRate} {
		all := m.controlMemory() + m.tableMemory(p)
		t.add(fmt.Sprintf("control and flow table, at %s packet/s of a flow each way", number(p)),
			megabytes(all), megabytes(budgetMemory), verdict(all, budgetMemory))
	}
	t.add("busiest host over the mean, of a service of mean size", number(m.at(costBusiestHashAlone, targetNodes)), number(imbalanceBound),
		verdict(m.at(costBusiestHashAlone, targetNodes), imbalanceBound))
	t.add(fmt.Sprintf("flows on a host that a service needs for %.2f", imbalanceBound), number(m.minFlowsForBound()),
		number(minBoundFlows), verdict(m.minFlowsForBound(), minBoundFlows))
	t.add("a server's own word that it is leaving, to all nodes, mean", seconds(m.meanLeaveSeconds()), seconds(leaveTargetSeconds), verdict(m.meanLeaveSeconds(), leaveTargetSeconds))
	t.add("the same, at most", seconds(m.maxLeaveSeconds()), seconds(leaveTargetSeconds), verdict(m.maxLeaveSeconds(), leaveTargetSeconds))
	join := m.joinBytes(lowPacketRate)
	t.add("questions of a node that joins, in its first second, at 1 packet/s of a flow each way", kilobytes(join), kilobytes(budgetBytes), verdict(join, budgetBytes))
	t.add("change of the configuration, to all", seconds(m.changeSeconds()), seconds(changeTargetSeconds), verdict(m.changeSeconds(), changeTargetSeconds))
	return t
}

// rolesTable lists the costs of each role and how they are calculated.
func (m *model) rolesTable() *table {
	t := &table{head: []string{"role", "what", "arithmetic", "at the target", "carried by"}}
	m.ownerRows(t)
	m.relayRows(t)
	m.successorRows(t)
	m.pollerRows(t)
	m.memberRows(t)
	m.readerRows(t)
	return t
}

func (m *model) ownerRows(t *table) {
	t.add("owner", "flows owned", "4.7 million / 490", number(nodeFlows), "`bronzefleet.View.Owner`")
	t.add("owner", "flow table, own flows", fmt.Sprintf("%s × %s B", number(nodeFlows), number(m.slope(costFlowHeap))),
		megabytes(nodeFlows*m.slope(costFlowHeap)), "`bronzeflow.Table`")
	opening := m.at(costOpening, hostsPerPool)
	t.add("owner", "openings, processor (packets, not control)", fmt.Sprintf("%s/s × %s", number(nodeOpens), duration(opening)),
		percent(nodeOpens*opening/1e9), "`bronzecore.Balancer.FromCaller`, `bronzepool.Pool.Choose`")
	t.add("owner", "pairs of node and host", "490 × 5,100", number(targetNodes*targetHosts), "over `bronzepool.MaxSharedPairs`: no counts are shared")
	t.add("owner", "exceptions for load", "-", "none", "`bronzepool.Pool.SetCountsShared`, `Pool.Choose`")
	t.add("owner", "exceptions by new hosts, at most", fmt.Sprintf("%s changes/s × %s / 320 / %s", number(changesPerSecond), number(nodeFlows), number(hostsPerPool+1)),
		number(newExceptionsPerSecond)+" a second", "`bronzecore.Balancer.Tick`, the sweep after a change")
	t.add("owner", "copies and their ends", fmt.Sprintf("2 × %s/s", number(newExceptionsPerSecond)), number(m.copyRate())+" a second", "`bronzecore` copier")
}

func (m *model) relayRows(t *table) {
	for _, p := range []float64{lowPacketRate, highPacketRate} {
		rate := p * nodeFlows
		label := fmt.Sprintf("at %s packet/s each way", number(p))
		t.add("relaying balancer", "callers' packets that are relayed, "+label, fmt.Sprintf("e^(-%s × 30 s / 490)", number(p)),
			percent(1-knownShare(p)), "`bronzecore.Balancer.FromCaller`")
		t.add("relaying balancer", "decisions to relay, "+label,
			fmt.Sprintf("%s/s × %s × %s", number(rate), percent(1-knownShare(p)), duration(m.at(costRelay, targetNodes))),
			percent(rate*(1-knownShare(p))*m.at(costRelay, targetNodes)/1e9), "packets, not control")
		t.add("relaying balancer", "flows of others remembered, "+label,
			fmt.Sprintf("min(4.7 million × %s, capacity)", percent(knownShare(p))), number(m.learnedFlows(p)), "`bronzecore` putLearned, evicted first")
	}
	t.add("relaying balancer", "Learn messages", "paced", "512 B/s at most", "`bronzecore` sendLearn")
}

func (m *model) successorRows(t *table) {
	t.add("successor", "copies held", fmt.Sprintf("%s/s × %s s", number(newExceptionsPerSecond), number(meanLifetime)), number(heldExceptions), "`bronzecore` copyStore")
	t.add("successor", "memory of copies", fmt.Sprintf("%s × %s B", number(heldExceptions), number(m.slope(costCopyHeap))), kilobytes(m.copyMemory()), "`bronzecore` copyStore")
	t.add("owner and successor", "copies and acknowledgements sent", fmt.Sprintf("%s/s × %s B", number(m.copyRate()), number(m.at(costCopyBytes, 1))),
		kilobytes(m.copyBytes())+" a second", "`bronzecore` sendCopies, handleCopies")
}

func (m *model) pollerRows(t *table) {
	t.add("poller", "hosts to ask", "2 × 5,100 / 490", number(polledHosts), "`bronzenode` isSelected")
	t.add("poller", "polls", fmt.Sprintf("min(%s, %d)", number(polledHosts), pollsPerSecond), number(nodePolls)+" a second", "`bronzenode` reportPoller, pollsPerInterval")
	t.add("poller", "a round of polls", fmt.Sprintf("%s / %s a second", number(polledHosts), number(nodePolls)), seconds(polledHosts/nodePolls), "each host is asked by two nodes")
	t.add("poller", "news that a server is leaving", "measured at 490", seconds(m.at(costLeavingToAll, targetNodes)/1e3)+" to all", "`bronzefleet.Fleet.Share`, the first ring")
	t.add("poller", "bytes of polls, both ways", fmt.Sprintf("%s/s × %s B", number(nodePolls), number(m.slope(costPollBytes))),
		kilobytes(m.pollBytes())+" a second", "HTTP, without TCP and IP")
	t.add("poller", "processor for polls", fmt.Sprintf("%s/s × %s", number(nodePolls), duration(m.slope(costPoll))), percent(m.pollCore()), "both ends, so an upper bound")
	t.add("poller", "who polls whom, once", fmt.Sprintf("490 × %s", duration(m.at(costRankScores, targetHosts))),
		duration(targetNodes*m.at(costRankScores, targetHosts)), "`bronzenode` dueServers")
	t.add("poller", "the same, by its rate", fmt.Sprintf("%s/s × that", number(sweepsPerSecond)), percent(m.rankCore()), "at each change of view or configuration")
}

func (m *model) memberRows(t *table) {
	t.add("member", "membership, processor", duration(m.at(costMemberSecond, targetNodes))+" a second", percent(m.memberCore()), "`bronzefleet.Fleet`, 4 monitored, at most 8 neighbours")
	t.add("member", "membership and Loads without counts, sent", "measured at 490", kilobytes(m.at(costMemberBytesUnshared, targetNodes))+" a second", "`bronzefleet` rings")
	t.add("member", "a replacement elsewhere", duration(m.at(costMemberReplace, targetNodes))+" each", percent(m.replaceCore()), "`bronzefleet.NewView`")
	t.add("member", "sweep of the table after a change", fmt.Sprintf("%s + %s", duration(m.at(costSweep, nodeFlows)), duration(m.at(costSweepLearned, m.learnedFlows(highPacketRate)))),
		percent(m.sweepCore(highPacketRate)), "`bronzecore.Balancer.Tick`, three of 256 shards every 10 ms")
	t.add("member", "views held", fmt.Sprintf("2 × %s", megabytes(m.at(costViewHeap, targetNodes))), megabytes(m.viewMemory()), "`bronzefleet.View`")
	t.add("member", "Loads of the other nodes held", "measured at 490", megabytes(m.at(costEmptyLoadsHeap, targetNodes)), "`bronzefleet` loadSpreader")
}

func (m *model) readerRows(t *table) {
	readers := float64(platformReadersPerZone * targetZones)
	t.add("reader", "nodes that read the platform", "2 × 6 zones", number(readers), "`bronzenode` readsPlatform")
	t.add("reader", "calls of the platform, all readers", fmt.Sprintf("%s × (1/5 + 1 + 2 × %s) a second", number(readers), number(changesPerSecond)),
		number(readers*(platformCallsPerReader+2*changesPerSecond))+" a second of about 2,000", "`bronzeconf.Reader`, `bronzenode` readVMs")
	t.add("every node", "requests for records, one change", "measured at 490", number(m.at(costChangeExchanges, targetNodes)), "`bronzefleet.Fleet.OnBehind`")
	t.add("every node", "bytes sent, one change", fmt.Sprintf("%s × (%s + %s)", number(m.at(costChangeExchanges, targetNodes)),
		kilobytes(m.at(costRecordsRequestBytes, targetHosts)), kilobytes(m.at(costRecordsBytes, targetHosts))), kilobytes(m.changeBytes()), "`bronzeconf.Store.Diff`")
	t.add("every node", "work, one change", fmt.Sprintf("%s + %s + %s × %s", duration(m.at(costConfigChange, targetHosts)), duration(m.at(costSetSnapshot, targetHosts)),
		number(m.at(costChangeExchanges, targetNodes)), duration(m.at(costConfigDiff, targetHosts))), duration(m.changeWork()), "`bronzeconf.Store.Apply`, `bronzecore.Balancer.SetSnapshot`")
	t.add("every node", "start from a peer", fmt.Sprintf("%s, %s", kilobytes(m.at(costAllRecordsBytes, targetHosts)), duration(m.at(costConfigStart, targetHosts))),
		"once", "`bronzeconf.Store.Apply`")
}

// bytesTable adds up the bytes that a node sends per second.
func (m *model) bytesTable() *table {
	t := &table{head: []string{"sent by a node", "bytes a second", "share of the budget"}}
	sum := func(what string, x float64) { t.add(what, number(x), percent(x/budgetBytes)) }
	sum("membership and Loads without counts", m.at(costMemberBytesUnshared, targetNodes))
	sum("Learn messages, at most", learnBytesPerSecond)
	sum("copies and acknowledgements", m.copyBytes())
	sum("polls of backend servers, both ways", m.pollBytes())
	sum("records, 1,300 changes a day", changesPerSecond*m.changeBytes())
	sum("recoveries, 1,807 nodes a day", m.recoveryBytes())
	sum("openings that former owners are asked about", m.openingBytes())
	sum("news of replaced members, at most", m.memberUpdateBytes())
	sum("**all**", m.bytes())
	return t
}

// coreTable adds up the processor time of control work.
func (m *model) coreTable() *table {
	t := &table{head: []string{"control", "share of a core", "share of the budget"}}
	sum := func(what string, x float64) { t.add(what, percent(x), percent(x/budgetCore)) }
	sum("membership", m.memberCore())
	sum("replacements of members", m.replaceCore())
	sum("sweeps of the table", m.sweepCore(highPacketRate))
	sum("polls", m.pollCore())
	sum("who polls whom", m.rankCore())
	sum("changes of the configuration", m.changeCore())
	sum("**all**", m.core())
	return t
}

// memoryTable adds up the heap of a node.
func (m *model) memoryTable() *table {
	t := &table{head: []string{"heap", "at the target", "share of the budget"}}
	sum := func(what string, x float64) { t.add(what, megabytes(x), percent(x/budgetMemory)) }
	sum("views", m.viewMemory())
	sum("configuration and pools", m.at(costConfigHeap, targetHosts))
	sum("copies held as a successor", m.copyMemory())
	sum("Loads of the other nodes", m.at(costEmptyLoadsHeap, targetNodes))
	sum("**control**", m.controlMemory())
	sum("flow table, at 1 packet/s of a flow each way", m.tableMemory(lowPacketRate))
	sum("flow table, at 10 packet/s of a flow each way", m.tableMemory(highPacketRate))
	return t
}

// eventsTable lists how many flows each kind of event moves and may break, and
// the bytes of recovery that it causes.
func (m *model) eventsTable() *table {
	t := &table{head: []string{"event", "how often", "flows that move", "not copied yet, or copy lost", "bytes of recovery at each other node"}}
	zone := float64(targetNodes) / targetZones
	row := func(what, often string, nodes, moves, queries, lost float64) {
		moved := moves * nodeFlows
		t.add(what, often, number(moved), number(lost), kilobytes(moved*queries*m.queryBytes()/(targetNodes-nodes)))
	}
	failure := func(what, often string, nodes float64) {
		lost := nodes * (newExceptionsPerSecond*copyDelay + heldExceptions*(nodes-1)/(targetNodes-1))
		row(what, often, nodes, nodes, recoveryQueries, lost)
	}
	row("planned replacement, a leave and a join", "1,800 a day", 1, 2, 1, 0)
	failure("failure of a VM", "7 a day", 1)
	failure(fmt.Sprintf("rack of %d", rackNodes), "weekly", rackNodes)
	failure("availability zone", "every other month", zone)
	failure("region cut off, at one side", "several a year", targetNodes/targetRegions)
	return t
}

// limitsTable lists the size up to which each mechanism works.
func (m *model) limitsTable() *table {
	t := &table{head: []string{"mechanism", "reaches", "at 490"}}
	pairs := number(bronzepool.MaxSharedPairs)
	shared := maxSharingNodes()
	t.add("shared counts, up to "+pairs+" pairs of node and host",
		fmt.Sprintf("7 nodes with %d hosts, 9 with %d, %s with 10.4 for each, 82 with %d",
			bronzepool.MaxSharedPairs/7, bronzepool.MaxSharedPairs/9, number(shared), bronzepool.MaxSharedPairs/82),
		number(targetNodes*targetHosts)+" pairs: by the hash alone")
	t.add(fmt.Sprintf("shared counts not older than a tenth of a flow's mean life, %s", seconds(maxCountAgeFraction*meanLifetime)),
		fmt.Sprintf("%s nodes with 10.4 hosts for each; %s at %s", number(m.maxNodesWithRecentLoads()), seconds(m.loadInterval(shared)), number(shared)),
		seconds(m.loadInterval(targetNodes))+", if counts were shared")
	t.add("memory of shared counts, at "+pairs+" pairs",
		megabytes(bronzepool.MaxSharedPairs*(m.slope(costOwnersHeap)+m.slope(costLoadsHeap))), "none")
	t.add(fmt.Sprintf("hash alone with at most %.2f", imbalanceBound), number(m.minFlowsForBound())+" flows on a host and more", number(targetFlows/targetHosts)+" on average")
	t.add("polls, each host once a second", number(float64(pollsPerSecond)/pollersPerServer)+" hosts for each node", fmt.Sprintf("%s, once in %s", number(hostsPerNode), seconds(polledHosts/nodePolls)))
	t.add("servers that may say at once that they leave, by the bytes that may be sent of it in 3 s", number(m.maxConcurrentLeaves()), "-")
	t.add(fmt.Sprintf("pace of copies, each alone, of %d bytes", copyMessageBytes+copyItemBytes), fmt.Sprintf("%s a second: %s of the target's openings", number(singleCopyRate), percent(maxExceptionShare)),
		number(m.copyRate())+" a second")
	t.add("learned flows below the table's capacity", number(m.maxPacketRate())+" packet/s of a flow each way", number(tableCapacity)+" entries")
	t.add("failure of a node noticed", "-", seconds(detectIntervals*bronzefleet.DefaultLargeInterval.Seconds()))
	return t
}

// maxPacketRate returns the packets per second of each flow at which the flow
// table is full.
func (m *model) maxPacketRate() float64 {
	p := 0.0
	for targetFlows*knownShare(p) < tableCapacity-nodeFlows {
		p += 0.01
	}
	return p
}

// seriesTable lists all measured series with their fitted lines.
func seriesTable(r *Report) *table {
	t := &table{head: []string{"cost", "what", "by", "measured", "unit", "intercept", "slope", "spread"}}
	for i := range r.Series {
		s := &r.Series[i]
		t.add(s.Name, s.What, s.Size, s.values(), s.Unit, number(s.Line.Intercept), number(s.Line.Slope), percent(s.Line.Spread))
	}
	return t
}

// machineTable describes the machine, the revision and the runs.
func machineTable(r *Report) *table {
	t := &table{head: []string{"measured on", ""}}
	t.add("processor", fmt.Sprintf("%s, %d cores", r.Machine.Processor, r.Machine.Cores))
	t.add("Go", r.Machine.GoVersion)
	t.add("load average before", r.Machine.Load)
	revision := r.Revision
	if r.Modified {
		revision += ", with changes"
	}
	t.add("revision", revision)
	t.add("date", r.Date.Format("2006-01-02 15:04 MST"))
	runs := fmt.Sprintf("medians of %d", r.Runs)
	if r.Quick {
		runs = "one short run each: a trial"
	}
	t.add("runs", runs)
	return t
}
