// Package assign decides which hosts hold the connections to a target.
package assign

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/target"
)

const (
	// ownShare is how many connections to a target a host needs to have for
	// itself at least; where there are fewer, some hosts hold them for all.
	ownShare = 2
	// gateShare is how many connections each such host holds.
	gateShare = 8
	// gatesLeast is the least number of such hosts: one may fail.
	gatesLeast = 2
)

// Assignment is the set of known hosts. An Assignment is
// immutable.
type Assignment struct {
	self    string
	hosts   map[string]gossip.HostInfo
	regions map[string]string
}

// New returns the set that holds only this host. Regions gives each zone's
// region.
func New(self gossip.HostInfo, regions map[string]string) Assignment {
	return Assignment{self: self.Host, regions: regions}.WithHost(self)
}

// WithHost returns the set with a host in it.
func (g Assignment) WithHost(n gossip.HostInfo) Assignment {
	g.hosts = maps.Clone(g.hosts)
	if g.hosts == nil {
		g.hosts = map[string]gossip.HostInfo{}
	}
	g.hosts[n.Host] = n
	return g
}

// WithoutHost returns the set without a host.
func (g Assignment) WithoutHost(host string) Assignment {
	g.hosts = maps.Clone(g.hosts)
	delete(g.hosts, host)
	return g
}

// Lenders returns the hosts that hold the connections to a target which takes a
// number of them, nearest first, and whether this host connects by itself: as
// one of them, or since there are enough for all.
func (g Assignment) Lenders(t target.Target, connections int) ([]gossip.HostInfo, bool) {
	hosts := slices.DeleteFunc(slices.Collect(maps.Values(g.hosts)), func(n gossip.HostInfo) bool { return n.State != gossip.Alive })
	if connections >= ownShare*len(hosts) {
		return nil, true
	}
	slices.SortFunc(hosts, func(a, b gossip.HostInfo) int { return g.compare(a, b, t) })
	hosts = hosts[:min(len(hosts), max(connections/gateShare, gatesLeast))]
	return hosts, slices.ContainsFunc(hosts, func(n gossip.HostInfo) bool { return n.Host == g.self })
}

// HolderCount returns how many hosts hold connections to a target which takes a
// number of them.
func (g Assignment) HolderCount(t target.Target, connections int) int {
	hosts, _ := g.Lenders(t, connections)
	if hosts != nil {
		return len(hosts)
	}
	n := 0
	for _, h := range g.hosts {
		if h.State == gossip.Alive {
			n++
		}
	}
	return n
}

// compare orders hosts by how near they are to a target.
func (g Assignment) compare(a, b gossip.HostInfo, t target.Target) int {
	return cmp.Or(cmp.Compare(g.distance(a, t), g.distance(b, t)), cmp.Compare(weight(a, t), weight(b, t)), cmp.Compare(a.Host, b.Host))
}

// Rank returns how many hosts are nearer to a target than this one.
func (g Assignment) Rank(t target.Target) int {
	n := 0
	for _, h := range g.hosts {
		if h.State == gossip.Alive && g.compare(h, g.hosts[g.self], t) < 0 {
			n++
		}
	}
	return n
}

// distance is 0 in the target's zone, 1 in its region, 2 elsewhere.
func (g Assignment) distance(n gossip.HostInfo, t target.Target) int {
	switch {
	case n.Zone == t.Zone:
		return 0
	case g.regions[n.Zone] == g.regions[t.Zone]:
		return 1
	}
	return 2
}

// weight spreads targets over hosts, as in rendezvous hashing.
func weight(n gossip.HostInfo, t target.Target) uint64 {
	return xxhash.Sum64String(n.Host + "/" + t.ID)
}

// FirstIndex returns where a host begins to look among n gates, so that hosts
// spread over them.
func (g Assignment) FirstIndex(t target.Target, n int) int {
	return int(xxhash.Sum64String(t.ID+"/"+g.self) % uint64(max(n, 1)))
}
