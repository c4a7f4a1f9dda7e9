package main

import "strings"

// Cost says how one cost is measured.
type Cost struct {
	// Name is unique; What says in words what one value is the cost of.
	Name string
	What string
	// Package holds the benchmark or test, Bench is the benchmark's name up
	// to the size, and Unit the unit of its value.
	Package string
	Bench   string
	Unit    string
	// Size names what the cost grows with.
	Size string
	// test is the test that counts it, for a cost that is no benchmark.
	test string
}

const (
	coreDir  = "./bronzecore"
	fleetDir = "./bronzefleet"
	confDir  = "./bronzeconf"
	poolDir  = "./bronzepool"
	costDir  = "./cmd/bronzecost"

	nanoseconds = "ns/op"
)

// The names of the costs that the page uses.
const (
	costFlowHeap         = "FlowHeap"
	costFlowResident     = "FlowResident"
	costOpening          = "Opening"
	costRelay            = "Relay"
	costLearn            = "Learn"
	costRecovery         = "Recovery"
	costRecoveryBytes    = "RecoveryBytes"
	costSnapshot         = "SetSnapshot"
	costSweep            = "Sweep"
	costViewJoin         = "ViewJoin"
	costViewLeave        = "ViewLeave"
	costSecond           = "MemberSecond"
	costReplace          = "MemberReplace"
	costMemberBytes      = "MemberBytes"
	costReplaceBytes     = "MemberBytesReplace"
	costChangeSeconds    = "ChangeToAll"
	costChangeAsks       = "ChangeExchanges"
	costApply            = "ConfigChange"
	costStart            = "ConfigStart"
	costDiff             = "ConfigDiff"
	costRequestBytes     = "RecordsRequestBytes"
	costRecordsBytes     = "RecordsBytes"
	costAllBytes         = "AllRecordsBytes"
	costLoadBytes        = "LoadBytes"
	costSetOwned         = "SetOwned"
	costOwned            = "Owned"
	costOwnersHeap       = "OwnersHeap"
	costLoadsHeap        = "LoadsHeap"
	costPoll             = "Poll"
	costPollBytes        = "PollBytes"
	costScore            = "RankScores"
	costCopyHeap         = "CopyHeap"
	costCopyBytes        = "CopyBytes"
	costDecisionFlows    = "DecisionByFlows"
	costDecisionHosts    = "DecisionByHosts"
	costViewHeap         = "ViewHeap"
	costConfigHeap       = "ConfigHeap"
	costViewScratch      = "ViewScratch"
	costMemberMessages   = "MemberMessages"
	costChoose           = "Choose"
	costUnheard          = "ExceptionsUnheard"
	costUnheardBusiest   = "BusiestUnheard"
	costHeardOnce        = "ExceptionsHeardOnce"
	costHeardOnceBusiest = "BusiestHeardOnce"
	costHashBusiest      = "BusiestHashAlone"
	costSweepLearned     = "SweepLearned"
	costMembersBytes     = "MembersBytes"
)

// costs are all that is measured.
var costs = []Cost{
	{Name: costDecisionFlows, What: "decision of a packet", Package: coreDir, Bench: "BenchmarkDecision/flows=", Unit: nanoseconds, Size: "flows held"},
	{Name: costDecisionHosts, What: "decision of a packet", Package: costDir, Bench: "BenchmarkDecisionHosts/hosts=", Unit: nanoseconds, Size: "hosts"},
	{Name: costOpening, What: "opening, acceptance and end of a flow", Package: coreDir, Bench: "BenchmarkOpening/servers=", Unit: nanoseconds, Size: "servers in the pool"},
	{Name: costChoose, What: "choice of a server", Package: poolDir, Bench: "BenchmarkChoose/Servers", Unit: nanoseconds, Size: "servers in the pool"},
	{Name: costRelay, What: "decision to relay a packet", Package: costDir, Bench: "BenchmarkRelay/nodes=", Unit: nanoseconds, Size: "nodes"},
	{Name: costLearn, What: "server's packet that teaches a flow", Package: costDir, Bench: "BenchmarkLearn/nodes=", Unit: nanoseconds, Size: "nodes"},
	{Name: costFlowHeap, What: "heap of all open flows", Package: costDir, Bench: "BenchmarkFlowHeap/flows=", Unit: "B-heap", Size: "flows held"},
	{Name: costFlowResident, What: "resident memory of all open flows", Package: costDir, Bench: "BenchmarkResident/flows=", Unit: "B-resident", Size: "flows held"},
	{Name: costRecovery, What: "recovery of a flow by its new owner", Package: costDir, Bench: "BenchmarkRecovery/nodes=", Unit: nanoseconds, Size: "nodes"},
	{Name: costRecoveryBytes, What: "queries and answers of a recovery", Package: costDir, Bench: "BenchmarkRecovery/nodes=", Unit: "B/flow", Size: "nodes"},
	{Name: costCopyHeap, What: "heap of the copies of exceptions", Package: costDir, Bench: "BenchmarkCopies/copies=", Unit: "B-heap", Size: "copies held"},
	{Name: costCopyBytes, What: "copy and acknowledgement, encoded", Package: costDir, Bench: "BenchmarkCopyBytes/items=", Unit: "B", Size: "copies in one message"},
	{Name: costSnapshot, What: "configuration put in force", Package: costDir, Bench: "BenchmarkSetSnapshot/hosts=", Unit: nanoseconds, Size: "hosts"},
	{Name: costSweep, What: "new view, and the sweep after it", Package: costDir, Bench: "BenchmarkSweep/flows=", Unit: nanoseconds, Size: "flows owned"},
	{Name: costSweepLearned, What: "the same, by flows of other owners", Package: costDir, Bench: "BenchmarkSweepLearned/flows=", Unit: nanoseconds, Size: "flows learned"},
	{Name: costUnheard, What: "exceptions of owners that hear no other", Package: costDir, Bench: "BenchmarkUnheard/nodes=", Unit: "%", Size: "nodes"},
	{Name: costUnheardBusiest, What: "busiest host, the same", Package: costDir, Bench: "BenchmarkUnheard/nodes=", Unit: "max/mean", Size: "nodes"},
	{Name: costHeardOnce, What: "exceptions of owners that know old counts", Package: costDir, Bench: "BenchmarkHeardOnce/nodes=", Unit: "%", Size: "nodes"},
	{Name: costHeardOnceBusiest, What: "busiest host, the same", Package: costDir, Bench: "BenchmarkHeardOnce/nodes=", Unit: "max/mean", Size: "nodes"},
	{Name: costHashBusiest, What: "busiest host by hash alone", Package: costDir, Bench: "BenchmarkHashAlone/nodes=", Unit: "max/mean", Size: "nodes"},
	{Name: costMembersBytes, What: "list of all members, encoded", Package: costDir, Bench: "BenchmarkMembers/nodes=", Unit: "B", Size: "nodes"},
	{Name: costViewScratch, What: "view from nothing", Package: fleetDir, Bench: "BenchmarkNewView/scratch/", Unit: nanoseconds, Size: "nodes"},
	{Name: costViewJoin, What: "view that a node joins", Package: fleetDir, Bench: "BenchmarkNewView/join/", Unit: nanoseconds, Size: "nodes"},
	{Name: costViewLeave, What: "view that a node leaves", Package: fleetDir, Bench: "BenchmarkNewView/leave/", Unit: nanoseconds, Size: "nodes"},
	{Name: costViewHeap, What: "heap of a view", Package: costDir, Bench: "BenchmarkViewHeap/nodes=", Unit: "B-heap", Size: "nodes"},
	{Name: costSecond, What: "a second of membership", Package: fleetDir, Bench: "BenchmarkSecond/", Unit: nanoseconds, Size: "nodes"},
	{Name: costMemberMessages, What: "messages sent in a second of membership", Package: fleetDir, Bench: "BenchmarkSecond/", Unit: "messages/op", Size: "nodes"},
	{Name: costReplace, What: "a member's replacement, at another", Package: fleetDir, Bench: "BenchmarkReplace/", Unit: nanoseconds, Size: "nodes"},
	{Name: costMemberBytes, What: "membership and loads, sent in a second", Package: fleetDir, Bench: "BytesPerNode/nodes=", Unit: "B/s", Size: "nodes", test: "TestBytesPerNode"},
	{Name: costReplaceBytes, What: "the same while a member is replaced", Package: fleetDir, Bench: "BytesPerNode/nodes=", Unit: "B/s-replaced", Size: "nodes", test: "TestBytesPerNode"},
	{Name: costChangeSeconds, What: "change of the configuration, to all nodes", Package: costDir, Bench: "Change/nodes=", Unit: "ms", Size: "nodes", test: "TestChangeReachesAll"},
	{Name: costChangeAsks, What: "requests for records in a change", Package: costDir, Bench: "Change/nodes=", Unit: "requests/node", Size: "nodes", test: "TestChangeReachesAll"},
	{Name: costApply, What: "change of one record, up to the snapshot", Package: confDir, Bench: "BenchmarkChange/hosts=", Unit: nanoseconds, Size: "hosts"},
	{Name: costStart, What: "start from a peer's records", Package: confDir, Bench: "BenchmarkStart/hosts=", Unit: nanoseconds, Size: "hosts"},
	{Name: costDiff, What: "answer to a peer that lacks one record", Package: costDir, Bench: "BenchmarkDiff/hosts=", Unit: nanoseconds, Size: "hosts"},
	{Name: costConfigHeap, What: "heap of the configuration and the pools", Package: costDir, Bench: "BenchmarkConfigHeap/hosts=", Unit: "B-heap", Size: "hosts"},
	{Name: costRequestBytes, What: "request for records, encoded", Package: costDir, Bench: "BenchmarkDiff/hosts=", Unit: "B-request", Size: "hosts"},
	{Name: costRecordsBytes, What: "answer with one record, encoded", Package: costDir, Bench: "BenchmarkDiff/hosts=", Unit: "B-answer", Size: "hosts"},
	{Name: costAllBytes, What: "answer with all records, encoded", Package: costDir, Bench: "BenchmarkDiff/hosts=", Unit: "B-all", Size: "hosts"},
	{Name: costLoadBytes, What: "Load of one node, encoded", Package: costDir, Bench: "BenchmarkLoad/hosts=", Unit: "B", Size: "hosts with flows"},
	{Name: costOwned, What: "own counts, collected", Package: costDir, Bench: "BenchmarkOwned/hosts=", Unit: nanoseconds, Size: "hosts"},
	{Name: costSetOwned, What: "counts of one other node, taken in", Package: costDir, Bench: "BenchmarkSetOwned/hosts=", Unit: nanoseconds, Size: "hosts"},
	{Name: costOwnersHeap, What: "heap of the counts of all nodes, 5,100 hosts", Package: costDir, Bench: "BenchmarkOwnersHeap/nodes=", Unit: "B-heap", Size: "nodes"},
	{Name: costLoadsHeap, What: "heap of the Loads of all nodes, 5,100 hosts", Package: costDir, Bench: "BenchmarkLoadsHeap/nodes=", Unit: "B-heap", Size: "nodes"},
	{Name: costPoll, What: "reports polled, both ends", Package: costDir, Bench: "BenchmarkPoll/polls=", Unit: nanoseconds, Size: "polls"},
	{Name: costPollBytes, What: "bytes of the polls, both ways", Package: costDir, Bench: "BenchmarkPoll/polls=", Unit: "B", Size: "polls"},
	{Name: costScore, What: "rank scores of the hosts for one node name", Package: costDir, Bench: "BenchmarkScores/hosts=", Unit: nanoseconds, Size: "hosts"},
}

// selectCosts returns the costs whose name starts with prefix.
func selectCosts(prefix string) (list []Cost) {
	for _, c := range costs {
		if strings.HasPrefix(c.Name, prefix) {
			list = append(list, c)
		}
	}
	return list
}
