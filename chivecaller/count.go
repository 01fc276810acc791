package chivecaller

// Count returns the number of open connections.
func (c *Conns) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}
