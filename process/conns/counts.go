package conns

// counts are what happened to one customer since TakeCounts was last called.
type counts struct {
	// opened is the number of connections that were opened, madeRoom that of connections
	// closed for those of other customers, and refused that of calls that were refused
	// because they could not be served in time.
	opened, madeRoom, refused int
}

// countsOf returns the counts of a customer; the caller holds the lock. Customers that are not
// known share those of the empty name, so that their number is bounded.
func (p *Pool) countsOf(customer string) *counts {
	if _, ok := p.customers.weights[customer]; !ok {
		customer = ""
	}
	c, ok := p.customers.counts[customer]
	if !ok {
		c = &counts{}
		p.customers.counts[customer] = c
	}
	return c
}

// TakeCounts calls f for each customer with the number of connections opened for it, of its
// connections closed for those of other customers, and of its calls refused because they could
// not be served in time, and starts to count anew. f must not call the pool.
func (p *Pool) TakeCounts(f func(customer string, opened, madeRoom, refused int)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, c := range p.customers.counts {
		f(name, c.opened, c.madeRoom, c.refused)
	}
	clear(p.customers.counts)
}
