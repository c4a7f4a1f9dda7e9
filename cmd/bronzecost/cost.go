package main

import (
	_ "embed"
	"encoding/json"
	"strings"
)

// Cost describes how one cost is measured.
type Cost struct {
	// Name is unique. What describes the measured operation or quantity.
	Name string
	What string
	// Package contains the benchmark or test, Bench is the name of the
	// benchmark up to the size, and Unit is the unit of the value.
	Package string
	Bench   string
	Unit    string
	// Size names the quantity that the cost grows with.
	Size string
	// Test is the test that reports the values of a cost that isn't measured by
	// a benchmark.
	Test string
}

// Names of the costs that the tables use.
const (
	costFlowHeap            = "FlowHeap"
	costOpening             = "Opening"
	costRelay               = "Relay"
	costRecoveryBytes       = "RecoveryBytes"
	costSetSnapshot         = "SetSnapshot"
	costSweep               = "Sweep"
	costMemberSecond        = "MemberSecond"
	costMemberReplace       = "MemberReplace"
	costChangeToAll         = "ChangeToAll"
	costChangeExchanges     = "ChangeExchanges"
	costConfigChange        = "ConfigChange"
	costConfigStart         = "ConfigStart"
	costConfigDiff          = "ConfigDiff"
	costRecordsRequestBytes = "RecordsRequestBytes"
	costRecordsBytes        = "RecordsBytes"
	costAllRecordsBytes     = "AllRecordsBytes"
	costLoadBytes           = "LoadBytes"
	costOwnersHeap          = "OwnersHeap"
	costLoadsHeap           = "LoadsHeap"
	costPoll                = "Poll"
	costPollBytes           = "PollBytes"
	costRankScores          = "RankScores"
	costCopyHeap            = "CopyHeap"
	costCopyBytes           = "CopyBytes"
	costViewHeap            = "ViewHeap"
	costConfigHeap          = "ConfigHeap"
	costBusiestHashAlone    = "BusiestHashAlone"
	costMembersBytes        = "MembersBytes"
	costSweepLearned        = "SweepLearned"
	costBusiestBySize       = "BusiestBySize"
	costMemberBytesUnshared = "MemberBytesUnshared"
	costLeavingToAll        = "LeavingToAll"
	costLeavingBytes        = "LeavingBytes"
	costEmptyLoadsHeap      = "EmptyLoadsHeap"
)

//go:embed costs.json
var costsJSON []byte

// costs lists all costs that can be measured.
var costs = parseCosts(costsJSON)

// parseCosts decodes the embedded list of costs. It panics if the list is
// invalid.
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
