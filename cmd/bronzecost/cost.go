package main

import (
	_ "embed"
	"encoding/json"
	"strings"
)

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
	// Test is the test that counts it, for a cost that is no benchmark.
	Test string
}

// The names of the costs that the page uses.
const (
	costFlowHeap       = "FlowHeap"
	costOpening        = "Opening"
	costRelay          = "Relay"
	costRecoveryBytes  = "RecoveryBytes"
	costSnapshot       = "SetSnapshot"
	costSweep          = "Sweep"
	costSecond         = "MemberSecond"
	costReplace        = "MemberReplace"
	costChangeSeconds  = "ChangeToAll"
	costChangeAsks     = "ChangeExchanges"
	costApply          = "ConfigChange"
	costStart          = "ConfigStart"
	costDiff           = "ConfigDiff"
	costRequestBytes   = "RecordsRequestBytes"
	costRecordsBytes   = "RecordsBytes"
	costAllBytes       = "AllRecordsBytes"
	costLoadBytes      = "LoadBytes"
	costOwnersHeap     = "OwnersHeap"
	costLoadsHeap      = "LoadsHeap"
	costPoll           = "Poll"
	costPollBytes      = "PollBytes"
	costScore          = "RankScores"
	costCopyHeap       = "CopyHeap"
	costCopyBytes      = "CopyBytes"
	costViewHeap       = "ViewHeap"
	costConfigHeap     = "ConfigHeap"
	costHashBusiest    = "BusiestHashAlone"
	costMembersBytes   = "MembersBytes"
	costSweepLearned   = "SweepLearned"
	costBusiestBySize  = "BusiestBySize"
	costUnsharedBytes  = "MemberBytesUnshared"
	costLeavingSeconds = "LeavingToAll"
	costLeavingBytes   = "LeavingBytes"
	costEmptyLoadsHeap = "EmptyLoadsHeap"
)

//go:embed costs.json
var costsFile []byte

// costs are all that is measured.
var costs = parseCosts(costsFile)

// parseCosts reads the list of costs. It is a part of the program, which
// can't run without.
func parseCosts(file []byte) (list []Cost) {
	if err := json.Unmarshal(file, &list); err != nil {
		panic(err)
	}
	return list
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
