package bronzepool

// Adopt counts an established flow that was admitted elsewhere: a node takes
// it over from another. It is never denied, because the flow is running.
func (acc *Account) Adopt() {
	c := acc.customer
	c.mu.Lock()
	defer c.mu.Unlock()
	acc.open++
	c.open++
	acc.admission.open.Add(1)
}
