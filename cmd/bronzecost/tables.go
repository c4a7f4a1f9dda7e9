package main

import (
	"fmt"

	"bronzeusher.example/bronzeusher/bronzecore"
	"bronzeusher.example/bronzeusher/bronzefleet"
)

// table is a table of the page.
type table struct {
	head []string
	rows [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// tables returns the page's tables by the names of their marks.
func tables(r *Report) (all map[string]*table, err error) {
	m := &model{report: r}
	all = map[string]*table{
		"verdict": m.verdict(),
		"roles":   m.roles(),
		"bytes":   m.bytesTable(),
		"core":    m.coreTable(),
		"memory":  m.memoryTable(),
		"events":  m.events(),
		"limits":  m.limits(),
		"lines":   lines(r),
		"machine": machine(r),
	}
	return all, m.err
}

// verdict compares what a node spends in all with its budget.
func (m *model) verdict() *table {
	t := &table{head: []string{"at 490 nodes", "worked out", "budget", ""}}
	t.add("control, bytes sent a second", kilobytes(m.bytes()), kilobytes(budgetBytes), verdict(m.bytes(), budgetBytes))
	t.add("control, share of a core", percent(m.core()), percent(budgetCore), verdict(m.core(), budgetCore))
	t.add("control, memory", megabytes(m.controlMemory()), megabytes(budgetMemory), verdict(m.controlMemory(), budgetMemory))
	for _, p := range []float64{fewPackets, manyPackets} {
		all := m.controlMemory() + m.tableMemory(p)
		t.add(fmt.Sprintf("control and flow table, at %s packet/s of a flow each way", number(p)),
			megabytes(all), megabytes(budgetMemory), verdict(all, budgetMemory))
	}
	interval, stale := m.loadInterval(targetNodes), staleShare*meanLife
	t.add("time from one Load of an owner to its next", seconds(interval), "at most "+seconds(stale), verdict(interval, stale))
	t.add("busiest host over the mean, with old counts of the others", number(m.at(costHeardOnceBusiest, targetNodes)),
		number(m.at(costHashBusiest, targetNodes))+", hash alone", verdict(m.at(costHeardOnceBusiest, targetNodes), m.at(costHashBusiest, targetNodes)))
	t.add("change of the configuration, to all", seconds(m.changeSeconds()), seconds(changeWithinTarget), verdict(m.changeSeconds(), changeWithinTarget))
	return t
}

// roles has the lines of each role with their arithmetic.
func (m *model) roles() *table {
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
	opening := m.at(costOpening, poolHosts)
	t.add("owner", "openings, processor (packets, not control)", fmt.Sprintf("%s/s × %s", number(nodeOpens), duration(opening)),
		percent(nodeOpens*opening/1e9), "`bronzecore.Balancer.FromCaller`, `bronzepool.Pool.Choose`")
	t.add("owner", "exceptions, with old counts of the others", "measured at 490", percent(m.exceptions()), "`bronzepool.Pool.Choose`")
	t.add("owner", "exceptions, with none, just after its start", "measured at 490", percent(m.at(costUnheard, targetNodes)/100), "`bronzepool.Pool.Choose`")
	t.add("owner", "copies and their ends", fmt.Sprintf("2 × %s/s × %s", number(nodeOpens), percent(m.exceptions())),
		number(m.copyRate())+" a second", "`bronzecore` copier")
	t.add("owner", "own counts collected", fmt.Sprintf("4/s × %s", duration(m.at(costOwned, targetHosts))), percent(m.ownedCore()),
		"`bronzecore.Balancer.Owned`")
	t.add("owner", "one Load", fmt.Sprintf("%s hosts with flows", number(hostsWithFlows(targetHosts))),
		kilobytes(m.at(costLoadBytes, hostsWithFlows(targetHosts))), "`bronzefleet.Fleet.Share`")
}

func (m *model) relayRows(t *table) {
	for _, p := range []float64{fewPackets, manyPackets} {
		rate := p * nodeFlows
		label := fmt.Sprintf("at %s packet/s each way", number(p))
		t.add("relaying balancer", "callers' packets that are relayed, "+label, fmt.Sprintf("e^(-%s × 30 s / 490)", number(p)),
			percent(1-knownShare(p)), "`bronzecore.Balancer.FromCaller`")
		t.add("relaying balancer", "decisions to relay, "+label,
			fmt.Sprintf("%s/s × %s × %s", number(rate), percent(1-knownShare(p)), duration(m.at(costRelay, targetNodes))),
			percent(rate*(1-knownShare(p))*m.at(costRelay, targetNodes)/1e9), "packets, not control")
		t.add("relaying balancer", "flows of others remembered, "+label,
			fmt.Sprintf("min(4.7 million × %s, capacity)", percent(knownShare(p))), number(m.learned(p)), "`bronzecore` putLearned, evicted first")
	}
	t.add("relaying balancer", "Learn messages", "paced", "512 B/s at most", "`bronzecore` teach")
}

func (m *model) successorRows(t *table) {
	copies := nodeFlows * m.exceptions()
	t.add("successor", "copies held", fmt.Sprintf("%s × %s", number(nodeFlows), percent(m.exceptions())), number(copies), "`bronzecore` copyStore")
	t.add("successor", "memory of copies", fmt.Sprintf("%s × %s B", number(copies), number(m.slope(costCopyHeap))), megabytes(m.copyMemory()), "`bronzecore` copyStore")
	t.add("owner and successor", "copies and acknowledgements sent", fmt.Sprintf("%s/s × %s B", number(m.copyRate()), number(m.at(costCopyBytes, 1))),
		kilobytes(m.copyBytes())+" a second", "`bronzecore` sendCopies, copied")
}

func (m *model) pollerRows(t *table) {
	t.add("poller", "polls", "2 × 5,100 / 490", number(nodePolls)+" a second", "`bronzenode` reports, ranks")
	t.add("poller", "bytes of polls, both ways", fmt.Sprintf("%s/s × %s B", number(nodePolls), number(m.slope(costPollBytes))),
		kilobytes(m.pollBytes())+" a second", "HTTP, without TCP and IP")
	t.add("poller", "processor for polls", fmt.Sprintf("%s/s × %s", number(nodePolls), duration(m.slope(costPoll))), percent(m.pollCore()), "both ends, so an upper bound")
	t.add("poller", "who polls whom, once", fmt.Sprintf("490 × %s", duration(m.at(costScore, targetHosts))),
		duration(targetNodes*m.at(costScore, targetHosts)), "`bronzenode` dueServers")
	t.add("poller", "the same, by its rate", fmt.Sprintf("%s/s × that", number(sweeps)), percent(m.rankCore()), "at each change of view or configuration")
}

func (m *model) memberRows(t *table) {
	t.add("member", "membership, processor", duration(m.at(costSecond, targetNodes))+" a second", percent(m.memberCore()), "`bronzefleet.Fleet`, 4 monitored, at most 8 neighbours")
	t.add("member", "membership and Loads, sent", "measured at 490", kilobytes(m.at(costMemberBytes, targetNodes))+" a second", "`bronzefleet` rings, byte budget of Loads")
	t.add("member", "a replacement elsewhere", duration(m.at(costReplace, targetNodes))+" each", percent(m.replaceCore()), "`bronzefleet.NewView`")
	t.add("member", "sweep of the table after a change", fmt.Sprintf("%s + %s", duration(m.at(costSweep, nodeFlows)), duration(m.at(costSweepLearned, m.learned(manyPackets)))),
		percent(m.sweepCore(manyPackets)), "`bronzecore.Balancer.Tick`, three of 256 shards every 10 ms")
	t.add("member", "views held", fmt.Sprintf("2 × %s", megabytes(m.at(costViewHeap, targetNodes))), megabytes(m.viewMemory()), "`bronzefleet.View`")
	t.add("member", "counts of the other nodes held", "in pools, and as Loads", megabytes(m.sharedMemory()), "`bronzepool.Pool.SetOwned`, `bronzefleet` loads")
}

func (m *model) readerRows(t *table) {
	readers := float64(zoneReaders * targetZones)
	t.add("reader", "nodes that read the platform", "2 × 6 zones", number(readers), "`bronzenode` readsPlatform")
	t.add("reader", "calls of the platform, all readers", fmt.Sprintf("%s × (1/5 + 1 + 2 × %s) a second", number(readers), number(changes)),
		number(readers*(readsPerReader+2*changes))+" a second of about 2,000", "`bronzeconf.Reader`, `bronzenode` readVMs")
	t.add("every node", "requests for records, one change", "measured at 490", number(m.at(costChangeAsks, targetNodes)), "`bronzefleet.Fleet.OnBehind`")
	t.add("every node", "bytes sent, one change", fmt.Sprintf("%s × (%s + %s)", number(m.at(costChangeAsks, targetNodes)),
		kilobytes(m.at(costRequestBytes, targetHosts)), kilobytes(m.at(costRecordsBytes, targetHosts))), kilobytes(m.changeBytes()), "`bronzeconf.Store.Diff`")
	t.add("every node", "work, one change", fmt.Sprintf("%s + %s + %s × %s", duration(m.at(costApply, targetHosts)), duration(m.at(costSnapshot, targetHosts)),
		number(m.at(costChangeAsks, targetNodes)), duration(m.at(costDiff, targetHosts))), duration(m.changeWork()), "`bronzeconf.Store.Apply`, `bronzecore.Balancer.SetSnapshot`")
	t.add("every node", "start from a peer", fmt.Sprintf("%s, %s", kilobytes(m.at(costAllBytes, targetHosts)), duration(m.at(costStart, targetHosts))),
		"once", "`bronzeconf.Store.Apply`")
}

// bytesTable adds up what a node sends in a second.
func (m *model) bytesTable() *table {
	t := &table{head: []string{"sent by a node", "bytes a second", "share of the budget"}}
	sum := func(what string, x float64) { t.add(what, number(x), percent(x/budgetBytes)) }
	sum("membership and Loads", m.at(costMemberBytes, targetNodes))
	sum("copies and acknowledgements", m.copyBytes())
	sum("polls of backend servers, both ways", m.pollBytes())
	sum("records, 1,300 changes a day", changes*m.changeBytes())
	sum("recoveries, 1,807 nodes a day", m.recoveryBytes())
	sum("**all**", m.bytes())
	return t
}

// coreTable adds up the processor time of control.
func (m *model) coreTable() *table {
	t := &table{head: []string{"control", "share of a core", "share of the budget"}}
	sum := func(what string, x float64) { t.add(what, percent(x), percent(x/budgetCore)) }
	sum("membership", m.memberCore())
	sum("replacements of members", m.replaceCore())
	sum("sweeps of the table", m.sweepCore(manyPackets))
	sum("polls", m.pollCore())
	sum("who polls whom", m.rankCore())
	sum("own counts collected", m.ownedCore())
	sum("changes of the configuration", m.changeCore())
	sum("**all**", m.core())
	return t
}

// memoryTable adds up a node's heap.
func (m *model) memoryTable() *table {
	t := &table{head: []string{"heap", "at the target", "share of the budget"}}
	sum := func(what string, x float64) { t.add(what, megabytes(x), percent(x/budgetMemory)) }
	sum("views", m.viewMemory())
	sum("configuration and pools", m.at(costConfigHeap, targetHosts))
	sum("copies held as a successor", m.copyMemory())
	sum("counts of the other nodes", m.sharedMemory())
	sum("**control**", m.controlMemory())
	sum("flow table, at 1 packet/s of a flow each way", m.tableMemory(fewPackets))
	sum("flow table, at 10 packet/s of a flow each way", m.tableMemory(manyPackets))
	return t
}

// events tells what each kind of event puts at risk.
func (m *model) events() *table {
	t := &table{head: []string{"event", "how often", "flows that move", "not copied yet, or copy lost", "bytes of recovery at each other node"}}
	risk := nodeOpens * m.exceptions() * copyDelay
	zone := float64(targetNodes) / targetZones
	row := func(what, often string, nodes, lost float64) {
		moved := nodes * nodeFlows
		t.add(what, often, number(moved), number(lost),
			kilobytes(moved*m.at(costRecoveryBytes, targetNodes)/(targetNodes-nodes)))
	}
	lost := func(nodes float64) float64 {
		copied := nodes * nodeFlows * m.exceptions()
		return nodes*risk + copied*(nodes-1)/(targetNodes-1)
	}
	row("planned replacement", "1,800 a day", 1, 0)
	row("failure of a VM", "7 a day", 1, lost(1))
	row(fmt.Sprintf("rack of %d", rackNodes), "weekly", rackNodes, lost(rackNodes))
	row("availability zone", "every other month", zone, lost(zone))
	row("region cut off, at one side", "several a year", targetNodes/targetRegions, lost(targetNodes/targetRegions))
	return t
}

// limits tells up to which size each mechanism reaches.
func (m *model) limits() *table {
	t := &table{head: []string{"mechanism", "reaches", "at 490"}}
	t.add("Loads of all owners to all, not older than a tenth of a flow's mean life", number(float64(m.largestShared()))+" nodes, with 10.4 hosts for each",
		seconds(m.loadInterval(targetNodes))+" between two Loads")
	t.add("copies as they are sent, inside 2,048 B/s", fmt.Sprintf("%s exceptions: %d nodes, with the target's openings for each",
		percent(m.mostExceptions()), m.largestCopied()),
		fmt.Sprintf("%s exceptions, %s just after a start", percent(m.exceptions()), percent(m.at(costUnheard, targetNodes)/100)))
	hosts := budgetBytes / 2 / (pollers * m.slope(costPollBytes))
	t.add("polls inside half of the budget of bytes", number(hosts)+" hosts for each node", number(targetHosts/float64(targetNodes)))
	pace := float64(bronzecore.DefaultCopyBytesPerSecond) / copyItemBytes
	t.add("pace of copies, by its own measure of 20 bytes each", number(pace)+" a second",
		fmt.Sprintf("%s a second, %s bytes each", number(m.copyRate()), number(m.at(costCopyBytes, 1))))
	t.add("counts of the others in memory, half the budget", number(m.largestKept())+" nodes at 5,100 hosts", megabytes(m.sharedMemory()))
	t.add("learned flows below the table's capacity", number(m.mostPackets())+" packet/s of a flow each way", number(tableCapacity)+" entries")
	t.add("failure noticed", "-", seconds(detectIntervals*bronzefleet.DefaultLargeInterval.Seconds()))
	return t
}

// largestKept returns up to how many nodes' counts fit into half the budget.
func (m *model) largestKept() float64 {
	each := m.slope(costOwnersHeap) + m.slope(costLoadsHeap)
	return budgetMemory / 2 / each
}

// mostPackets returns at how many packets a second of each flow the table is
// full.
func (m *model) mostPackets() float64 {
	p := 0.0
	for targetFlows*knownShare(p) < tableCapacity-nodeFlows {
		p += 0.01
	}
	return p
}

// lines has all that was measured.
func lines(r *Report) *table {
	t := &table{head: []string{"cost", "what", "by", "measured", "unit", "intercept", "slope", "spread"}}
	for i := range r.Series {
		s := &r.Series[i]
		t.add(s.Name, s.What, s.Size, s.values(), s.Unit, number(s.Line.Intercept), number(s.Line.Slope), percent(s.Line.Spread))
	}
	return t
}

func machine(r *Report) *table {
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
	runs := "medians of 5"
	if r.Quick {
		runs = "one short run each: a trial"
	}
	t.add("runs", runs)
	return t
}
