package bronzepool

// Adopt counts an established flow that this node takes over from another one.
// It is never denied, because the flow is already running.
func (acc *Account) Adopt() {
	c := acc.customer
	c.mu.Lock()
	defer c.mu.Unlock()
	acc.open++
	c.open++
	acc.admission.open.Add(1)
}
