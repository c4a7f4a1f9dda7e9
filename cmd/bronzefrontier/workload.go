package main

import "time"

// Workload describes one service of a deployment.
type Workload struct {
	Deployment string
	Service    string
	Servers    int
	Slots      int
	// Lifetime is the mean of the exponentially distributed lifetimes of flows.
	Lifetime time.Duration
}

// Owners is the number of nodes that place flows.
const Owners = 7

var workloads = []Workload{
	{Deployment: "riga", Service: "map-live", Servers: 14, Slots: 2, Lifetime: 45 * time.Minute},
	{Deployment: "riga", Service: "map-archive", Servers: 4, Slots: 2, Lifetime: 20 * time.Second},
	{Deployment: "klang", Service: "proofdesk", Servers: 14, Slots: 3, Lifetime: 4 * time.Hour},
	{Deployment: "klang", Service: "printout", Servers: 4, Slots: 3, Lifetime: 5 * time.Second},
}

var flowsPerServer = []int{20, 100, 1000}

var bounds = []float64{1.01, 1.02, 1.03, 1.05, 1.08, 1.10, 1.15, 1.25}

// Placement is an algorithm that chooses the servers of flows.
type Placement string

// The placements that are compared.
const (
	// Bounded is the algorithm of bronzepool.Pool: it takes the first candidate
	// below the bound.
	Bounded Placement = "Bounded"
	// HashAlone takes the first candidate, whatever its load.
	HashAlone Placement = "HashAlone"
	// TwoChoices takes the less loaded of the first two candidates, according to
	// the last reports of the servers and the owner's placements since then.
	TwoChoices Placement = "TwoChoices"
)

// Setting is one point of the frontier.
type Setting struct {
	Placement Placement
	// Bound is the bound on the load of a server for Bounded, and 0 for the other
	// placements.
	Bound float64
}

// settings returns all settings: the baselines, and Bounded with each bound.
func settings() []Setting {
	all := []Setting{{Placement: HashAlone}, {Placement: TwoChoices}}
	for _, b := range bounds {
		all = append(all, Setting{Placement: Bounded, Bound: b})
	}
	return all
}
