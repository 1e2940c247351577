package allot

import (
	"cmp"
	"slices"
)

const (
	// maxListed is how many customers the metrics list by name.
	maxListed = 20
	// maxCounted is how many customers are counted by name. Customers that the plan no
	// longer has remain counted, so there is a limit.
	maxCounted = 1000
	// rest is the name under which all other customers count as one. No customer has it,
	// as their names are single words.
	rest = "all others"
)

// counts are the numbers of a customer's operations.
type counts struct {
	Admitted, Refused int64
}

// count counts a decision. The caller holds mu.
func (al *Allotments) count(customer string, ok bool) {
	n, known := al.counts[customer]
	if !known {
		if len(al.counts) >= maxCounted {
			customer = rest
		}
		if n, known = al.counts[customer]; !known {
			n = &counts{}
			al.counts[customer] = n
		}
	}
	if ok {
		n.Admitted++
	} else {
		n.Refused++
	}
}

// Metrics returns the number of admitted and refused operations for the customers with the
// most operations, and for all others together.
func (al *Allotments) Metrics() any {
	type named struct {
		name string
		counts
	}
	al.mu.Lock()
	all := make([]named, 0, len(al.counts))
	for name, n := range al.counts {
		all = append(all, named{name, *n})
	}
	al.mu.Unlock()
	slices.SortFunc(all, func(a, b named) int {
		return cmp.Or(cmp.Compare(b.Admitted+b.Refused, a.Admitted+a.Refused), cmp.Compare(a.name, b.name))
	})
	listed := map[string]counts{}
	for i, n := range all {
		if i >= maxListed {
			n.name = rest
		}
		sum := listed[n.name]
		listed[n.name] = counts{sum.Admitted + n.Admitted, sum.Refused + n.Refused}
	}
	return listed
}
