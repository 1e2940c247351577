// Package ranks decides which hosts read the platform's store and which other host
// each of the rest follows.
package ranks

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiotray/pistachiotray/process/gossip"
)

// Ranks is the place of one host among the hosts that it believes to be live. The
// first host of all reads the store, the first host of each zone follows that one, and
// the others follow the first of their zone, so that one host reads the store and
// messages between zones don't grow with the hosts. Hosts that know different sets of
// hosts may disagree. That costs calls, since each host checks how old its news is. A
// Ranks is immutable.
type Ranks struct {
	upstreams []gossip.HostInfo
	backups   []gossip.HostInfo
	hops      int
}

// New returns the place of a host among hosts, which may include the host itself.
func New(self gossip.HostInfo, hosts []gossip.HostInfo) Ranks {
	own := weight(self)
	var overall, nearby, after first
	for _, h := range hosts {
		w := weight(h)
		if h.Host == self.Host {
			continue
		}
		if cmp.Or(cmp.Compare(w, own), cmp.Compare(h.Host, self.Host)) > 0 {
			after = after.with(h, w)
			continue
		}
		overall = overall.with(h, w)
		if h.Zone == self.Zone {
			nearby = nearby.with(h, w)
		}
	}
	r := Ranks{upstreams: nearby.hosts(), backups: after.hosts()}
	for _, h := range overall.hosts() {
		if !slices.ContainsFunc(r.upstreams, func(n gossip.HostInfo) bool { return n.Host == h.Host }) {
			r.upstreams = append(r.upstreams, h)
		}
	}
	switch {
	case len(r.upstreams) == 0:
	case nearby[0].host.Host == "":
		r.hops = 1
	default:
		r.hops = 2
	}
	return r
}

// first holds the first two hosts in the order of weights, without names if there are
// fewer.
type first [2]weighted

// weighted is a host with its weight.
type weighted struct {
	host   gossip.HostInfo
	weight uint64
}

// with returns the first hosts after another host was added.
func (f first) with(h gossip.HostInfo, weight uint64) first {
	added := weighted{h, weight}
	for i, w := range f {
		if w.host.Host == "" || cmp.Or(cmp.Compare(added.weight, w.weight), cmp.Compare(h.Host, w.host.Host)) < 0 {
			copy(f[i+1:], f[i:])
			f[i] = added
			break
		}
	}
	return f
}

// hosts returns the hosts in their order.
func (f first) hosts() []gossip.HostInfo {
	var found []gossip.HostInfo
	for _, w := range f {
		if w.host.Host != "" {
			found = append(found, w.host)
		}
	}
	return found
}

// weight orders the hosts evenly over names.
func weight(h gossip.HostInfo) uint64 {
	return xxhash.Sum64String("store/" + h.Host)
}

// Upstreams returns the hosts that the host may follow, the preferred one first. It is
// empty if the host reads the store itself.
func (r Ranks) Upstreams() []gossip.HostInfo {
	return r.upstreams
}

// Backups returns the next hosts in the order, which read the store if those before
// them can't.
func (r Ranks) Backups() []gossip.HostInfo {
	return r.backups
}

// Hops returns through how many hosts the store's news reaches the host, 0 if it reads
// the store itself.
func (r Ranks) Hops() int {
	return r.hops
}
