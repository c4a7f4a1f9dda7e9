package bronzefleet

// OwnerCount returns how many members own flows.
func (v *View) OwnerCount() int {
	n := 0
	for name := range v.Members {
		if owns(v.Members[name].Status) {
			n++
		}
	}
	return n
}
