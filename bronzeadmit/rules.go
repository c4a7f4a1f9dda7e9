package bronzeadmit

import "time"

// Rules are what operators have ordered for a pool. The zero Rules changes nothing.
type Rules struct {
	// Shares holds the shares of Customers in what the pool admits.
	Shares map[string]Share
	// Closed reports that the pool takes no new flows.
	Closed bool
	Shed   []ShedRule
}

// Share bounds what a Customer gets of a pool while the pool is overloaded, as fractions of
// the openings that are admitted.
type Share struct {
	Guaranteed float64
	// Highest is the upper bound, 0 if there is none.
	Highest float64
}

// ShedRule refuses a part of the openings of a priority and of less urgent ones.
type ShedRule struct {
	Priority int
	// Fraction is the part to refuse, from 0 to 1.
	Fraction float64
	// Until is when the rule ends.
	Until time.Time
}
