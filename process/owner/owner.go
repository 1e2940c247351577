// Package owner decides which host owns a database group.
package owner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Ranking ranks hosts as owners of groups by rendezvous hashing: each group ranks
// the hosts differently, and the loss of a host moves only the groups that it
// owned. A Ranking is immutable.
type Ranking struct {
	hosts []string
}

// New returns a Ranking of the given hosts, which should be the hosts that are
// considered live.
func New(hosts []string) Ranking {
	return Ranking{hosts: slices.Clone(hosts)}
}

// WithHosts returns a Ranking of the given hosts.
func (r Ranking) WithHosts(hosts []string) Ranking {
	r.hosts = slices.Clone(hosts)
	return r
}

// Owner returns the owner of a group, or an empty name if there are no hosts. It takes
// time proportional to the number of hosts and does not allocate.
func (r Ranking) Owner(group string) string {
	var best string
	var highest uint64
	for _, h := range r.hosts {
		if s := score(group, h); best == "" || s > highest || (s == highest && h < best) {
			best, highest = h, s
		}
	}
	return best
}

// Order returns all hosts in the order of their rank for a group. The first is the
// owner; each other host would own the group if those before it were lost.
func (r Ranking) Order(group string) []string {
	order := slices.Clone(r.hosts)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(group, b), score(group, a)), cmp.Compare(a, b))
	})
	return order
}

// score returns the rendezvous hash of a group and a host. The host with the highest
// score owns the group. The zero byte makes pairs of names with the same
// concatenation differ.
func score(group, host string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(group)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(host)
	return d.Sum64()
}
