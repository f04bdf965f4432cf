package admission

// Waiting returns how many requests wait.
func (c *Controller) Waiting() int { return c.waiting }

// Running returns how many requests have been started and not ended.
func (c *Controller) Running() int { return c.running }

// Open returns how many requests the account has open here.
func (c *Controller) Open(name string) int {
	if a := c.accounts[name]; a != nil {
		return a.open
	}
	return 0
}
