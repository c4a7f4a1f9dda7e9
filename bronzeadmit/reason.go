package bronzeadmit

// Reason is why an opening is admitted or refused.
type Reason uint8

// The values of Reason.
const (
	// Admitted: the pool has room.
	Admitted Reason = iota
	// Guaranteed: the opening is one of those of its priority that are admitted at any pressure.
	Guaranteed
	// Priority: the pool has no room for the opening's priority.
	Priority
	// FairShare: the caller asks more often than others.
	FairShare
	// CustomerShare: the Customer has used up its share.
	CustomerShare
	// Closed: an operator has closed the pool.
	Closed
	// Shed: an operator has ordered to refuse a part of the openings.
	Shed
	// ReasonCount is the number of reasons.
	ReasonCount
)

var reasonNames = [ReasonCount]string{
	"Admitted", "Guaranteed", "Priority", "FairShare", "CustomerShare", "Closed", "Shed",
}

// String returns the reason's name.
func (r Reason) String() string {
	if r < ReasonCount {
		return reasonNames[r]
	}
	return "Unknown"
}

// IsOrder reports whether an operator has ordered the refusal, so that no exemption applies.
func (r Reason) IsOrder() bool { return r == Closed || r == Shed }

// Reasons returns all reasons, such as for a counter each.
func Reasons() (all []Reason) {
	for r := range ReasonCount {
		all = append(all, r)
	}
	return all
}
