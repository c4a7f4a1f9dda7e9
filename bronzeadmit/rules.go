package bronzeadmit

import (
	"maps"
	"slices"
	"time"
)

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
	// Until is when the rule ends. A rule without an end isn't in force.
	Until time.Time
}

// clone returns a copy that doesn't change with the rules, which may be nil.
func (r *Rules) clone() (copied Rules) {
	if r == nil {
		return copied
	}
	return Rules{Shares: maps.Clone(r.Shares), Closed: r.Closed, Shed: slices.Clone(r.Shed)}
}

// shed returns the part of the openings of a priority that is to be refused now. Of several
// rules the strictest holds: they refuse by the same order, so one includes the other.
func (r *Rules) shed(priority int, now time.Time) (part float64) {
	for i := range r.Shed {
		s := &r.Shed[i]
		if s.Fraction > part && priority >= s.Priority && now.Before(s.Until) {
			part = min(s.Fraction, 1)
		}
	}
	return part
}
