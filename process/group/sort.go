package group

import (
	"cmp"
	"slices"
)

// sortedKeys returns the sorted keys of the wanted values. Iterating in this order
// keeps decisions deterministic: the same inputs always lead to the same decisions
// in the same order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V, wanted func(V) bool) []K {
	var keys []K
	for k, v := range m {
		if wanted(v) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}
