package group

import (
	"cmp"
	"slices"
)

// sortedKeys returns the keys of the values for which wanted is true, in ascending
// order. Iterating in this order keeps decisions deterministic: the same inputs
// always lead to the same decisions in the same order.
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
