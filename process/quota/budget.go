package quota

import "github.com/pistachiotray/pistachiotray/version/cust"

// budget is what this coordinator may hand out of a customer's limit now: tokens per
// second, and tokens that may be unused at a time.
type budget struct {
	rate, stock float64
	// patient means that operations should wait for tokens although none are left.
	patient bool
}

// budget returns the budget for a customer whose limit is even. What hosts inherited may be continued at once, up
// to the share of all followers: another coordinator counts it until it expires, and when it
// does, no longer counts these hosts.
func (c *Coordinator) budget(limit cust.Customer, inherited holding) budget {
	stock := max(c.spare(limit)*stockPart, 1)
	extra := c.extraRate(limit) * c.extraShare
	if c.majority {
		extra = c.majorRate(limit)
	}
	follow := c.cleanShare + c.extraShare
	return budget{
		rate:  max(limit.Rate*c.cleanShare+extra, min(limit.Rate*c.cleanShare+inherited.rate, limit.Rate*follow)),
		stock: max(stock*c.cleanShare+min(extra*extraStock, stock*(1-c.cleanShare)), min(stock*c.cleanShare+inherited.burst, stock*follow)),
	}
}

// even returns a customer with its limit spread over the window. A customer may run its burst
// and its rate times the window in each window, so that with its rate alone a sixth of what
// it may run would be refused while its demand is high for long.
func (c *Coordinator) even(limit cust.Customer) cust.Customer {
	return limit.WithLimit(limit.Rate+limit.Burst/c.window, 0)
}

// spare returns by how much a customer's limit, spread over the window, may be exceeded in it.
func (c *Coordinator) spare(limit cust.Customer) float64 {
	return limit.Rate*c.window*c.overage + c.slack
}

// extraRate returns how many tokens per second may be handed out on the account of hosts
// that another coordinator may count as well.
func (c *Coordinator) extraRate(limit cust.Customer) float64 {
	return c.spare(limit) * gapPart / c.window
}

// majorRate returns how many tokens per second a coordinator with a majority may hand out in
// place of the shares of silent hosts. The shares of marked hosts, which may hand them out to
// themselves, are handed out already.
func (c *Coordinator) majorRate(limit cust.Customer) float64 {
	taken := limit.Rate * float64(len(c.marked)) / float64(max(c.hosts, 1))
	return max(min(c.extraRate(limit)-taken, limit.Rate*(1-c.cleanShare)), 0)
}
