package admission

// Waiting returns the number of waiting requests.
func (c *Controller) Waiting() int { return c.waiting }

// Running returns the number of requests that have started and not ended.
func (c *Controller) Running() int { return c.running }

// Open returns the number of open requests, waiting or running, of an account
// at this entry. It is zero for an unknown account.
func (c *Controller) Open(name string) int {
	if a := c.accounts[name]; a != nil {
		return a.open
	}
	return 0
}
