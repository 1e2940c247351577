package meter

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// shownCustomers is the number of customers that Metrics returns one by one, and
	// otherCustomers the name of all others together. A customer with this name is counted
	// with them.
	shownCustomers = 20
	otherCustomers = "other"
	// maxCustomers is the number of customers that are counted one by one. It bounds the memory
	// for customers that come and go; the plans in use have fewer than 100.
	maxCustomers = 1000
)

// tally holds the number of statements for each outcome of each customer.
type tally map[string]map[string]int64

// add counts a statement. A statement of no customer is not counted.
func (t tally) add(customer, outcome string) {
	if customer == "" {
		return
	}
	counts, ok := t[customer]
	if !ok {
		if len(t) >= maxCustomers {
			t.fold(maxCustomers / 2)
		}
		counts = map[string]int64{}
		t[customer] = counts
	}
	counts[outcome]++
}

// sum returns the number of statements of a customer.
func (t tally) sum(customer string) int64 {
	var sum int64
	for _, n := range t[customer] {
		sum += n
	}
	return sum
}

// fold adds the counts of all but the n customers with most statements to those of
// otherCustomers, and deletes them.
func (t tally) fold(n int) {
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(t)), func(name string) bool { return name == otherCustomers })
	if len(names) <= n {
		return
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(t.sum(b), t.sum(a)) })
	if t[otherCustomers] == nil {
		t[otherCustomers] = map[string]int64{}
	}
	for _, name := range names[n:] {
		for outcome, count := range t[name] {
			t[otherCustomers][outcome] += count
		}
		delete(t, name)
	}
}

// largest returns a copy with the n customers with most statements and all others together.
func (t tally) largest(n int) tally {
	shown := make(tally, len(t))
	for name, counts := range t {
		shown[name] = maps.Clone(counts)
	}
	shown.fold(n)
	return shown
}
