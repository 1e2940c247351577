// Package assign decides which hosts open connections to a target.
package assign

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/target"
)

const (
	// connsPerHost is the minimum number of connections per host if all hosts
	// connect to a target directly. If the target accepts fewer, only some
	// hosts connect to it. They are called lenders, as they lend their
	// connections to all other hosts.
	connsPerHost = 2
	// connsPerLender is the minimum number of connections per lender of a
	// target. It is not reached if a target accepts too few connections for
	// minLenders lenders.
	connsPerLender = 8
	// minLenders is the minimum number of lenders of a target, since one of
	// them may fail.
	minLenders = 2
	// regionPenalty is added to the expected latency of targets in another region.
	// zonePenalty is added to the expected latency of targets in another zone of the
	// same region. Both account for network latency and the cost of traffic.
	regionPenalty = 120 * time.Millisecond
	zonePenalty   = 20 * time.Millisecond
)

// Assignment decides which of the known hosts connect to a target. Hosts that
// know the same set of hosts make the same decisions. An Assignment is
// immutable.
type Assignment struct {
	self    string
	hosts   map[string]gossip.HostInfo
	regions map[string]string
	// live holds the live hosts of each zone, and liveCount is their number.
	live      map[string][]gossip.HostInfo
	liveCount int
}

// New returns an Assignment for the host self that knows no other host. The map
// regions contains the region of each zone.
func New(self gossip.HostInfo, regions map[string]string) Assignment {
	return Assignment{self: self.Host, regions: regions}.WithHost(self)
}

// Self returns the name of the host whose Assignment this is.
func (as Assignment) Self() string {
	return as.self
}

// WithHost returns the Assignment with a host added or updated.
func (as Assignment) WithHost(h gossip.HostInfo) Assignment {
	return as.WithHosts(h)
}

// WithHosts returns the Assignment with hosts added or updated.
func (as Assignment) WithHosts(hosts ...gossip.HostInfo) Assignment {
	as.hosts = maps.Clone(as.hosts)
	if as.hosts == nil {
		as.hosts = map[string]gossip.HostInfo{}
	}
	for _, h := range hosts {
		as.hosts[h.Host] = h
	}
	return as.withLive()
}

// withLive returns the Assignment with the live hosts found anew.
func (as Assignment) withLive() Assignment {
	as.live, as.liveCount = map[string][]gossip.HostInfo{}, 0
	for _, h := range as.hosts {
		if h.State == gossip.Alive {
			as.live[h.Zone] = append(as.live[h.Zone], h)
			as.liveCount++
		}
	}
	return as
}

// Host returns what is known of a host, and false if the host is not known.
func (as Assignment) Host(name string) (gossip.HostInfo, bool) {
	h, ok := as.hosts[name]
	return h, ok
}

// WithoutHost returns the Assignment with a host removed.
func (as Assignment) WithoutHost(host string) Assignment {
	as.hosts = maps.Clone(as.hosts)
	delete(as.hosts, host)
	return as.withLive()
}

// Live returns the live hosts, this one included, in no particular order.
func (as Assignment) Live() []gossip.HostInfo {
	all := make([]gossip.HostInfo, 0, as.liveCount)
	for _, hosts := range as.live {
		all = append(all, hosts...)
	}
	return all
}

// Lenders returns the hosts that lend their connections to a target, nearest
// first, and whether this host connects to the target directly. The target
// accepts the given number of connections. If these are enough for all hosts,
// the list is nil and every host connects directly. Otherwise only the listed
// hosts do.
func (as Assignment) Lenders(t target.Target, connections int) ([]gossip.HostInfo, bool) {
	if connections >= connsPerHost*as.liveCount {
		return nil, true
	}
	hosts := as.nearest(t, max(connections/connsPerLender, minLenders))
	return hosts, slices.ContainsFunc(hosts, func(h gossip.HostInfo) bool { return h.Host == as.self })
}

// nearest returns the first count live hosts in the order of compare. It computes the
// weights of hosts only at the distances that are needed.
func (as Assignment) nearest(t target.Target, count int) []gossip.HostInfo {
	var found []gossip.HostInfo
	for d := range distances {
		var zones []string
		for zone := range as.live {
			if as.zoneDistance(zone, t) == d {
				zones = append(zones, zone)
			}
		}
		found = append(found, as.ordered(zones, t)...)
		if len(found) >= count {
			return found[:count]
		}
	}
	return found
}

// ordered returns the live hosts of some zones, ordered by rendezvous hashing.
func (as Assignment) ordered(zones []string, t target.Target) []gossip.HostInfo {
	var all []gossip.HostInfo
	for _, zone := range zones {
		all = append(all, as.live[zone]...)
	}
	return orderByWeight(all, func(h gossip.HostInfo) uint64 { return hashWeight(h, t) })
}

// orderByWeight returns hosts in the order of their weights. It computes each weight once.
func orderByWeight(hosts []gossip.HostInfo, weight func(gossip.HostInfo) uint64) []gossip.HostInfo {
	type weighted struct {
		host   gossip.HostInfo
		weight uint64
	}
	all := make([]weighted, len(hosts))
	for i, h := range hosts {
		all[i] = weighted{h, weight(h)}
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.host.Host, b.host.Host))
	})
	ordered := make([]gossip.HostInfo, len(all))
	for i, w := range all {
		ordered[i] = w.host
	}
	return ordered
}

// LiveCount returns the number of live hosts, this one included.
func (as Assignment) LiveCount() int {
	return as.liveCount
}

// compare orders hosts by their distance to a target, and equally distant hosts
// by rendezvous hashing.
func (as Assignment) compare(a, b gossip.HostInfo, t target.Target) int {
	return cmp.Or(cmp.Compare(as.distance(a, t), as.distance(b, t)), cmp.Compare(hashWeight(a, t), hashWeight(b, t)), cmp.Compare(a.Host, b.Host))
}

// Rank returns how many live hosts precede this one in the order in which
// lenders of a target are chosen.
func (as Assignment) Rank(t target.Target) int {
	n := 0
	for _, h := range as.hosts {
		if h.State == gossip.Alive && as.compare(h, as.hosts[as.self], t) < 0 {
			n++
		}
	}
	return n
}

// distances is the number of values that distance returns.
const distances = 3

// distance returns 0 for a host in the target's zone, 1 for one in the target's
// region and 2 for any other.
func (as Assignment) distance(h gossip.HostInfo, t target.Target) int {
	return as.zoneDistance(h.Zone, t)
}

// zoneDistance returns the distance of the hosts in a zone.
func (as Assignment) zoneDistance(zone string, t target.Target) int {
	switch {
	case zone == t.Zone:
		return 0
	case as.regions[zone] == as.regions[t.Zone]:
		return 1
	}
	return 2
}

// hashWeight returns the weight of a host for a target in rendezvous hashing,
// which distributes the targets evenly among the hosts.
func hashWeight(h gossip.HostInfo, t target.Target) uint64 {
	return xxhash.Sum64String(h.Host + "/" + t.ID)
}

// FirstIndex returns the index of the host that this host asks first among n
// lenders of a target. It differs between hosts, which spreads the load.
func (as Assignment) FirstIndex(t target.Target, n int) int {
	return int(xxhash.Sum64String(t.ID+"/"+as.self) % uint64(max(n, 1)))
}

// SecondIndex returns the index of another host than that of FirstIndex, which this host may
// ask first as well. It is the same if n is 1.
func (as Assignment) SecondIndex(t target.Target, n int) int {
	if n < 2 {
		return 0
	}
	step := 1 + int(xxhash.Sum64String(as.self+"/second/"+t.ID)%uint64(n-1))
	return (as.FirstIndex(t, n) + step) % n
}

// CustomerLenders returns the lenders of a target, given nearest first, in the order in which
// they are asked for a customer's connections: the first half by rendezvous hashing, and then
// the others. It is the same at all hosts, and the loss of a lender moves few customers.
// Connections of a customer serve only that customer. The fewer lenders divide them among
// each other, the more customers keep theirs.
func (as Assignment) CustomerLenders(t target.Target, customer string, lenders []gossip.HostInfo) []gossip.HostInfo {
	weight := func(h gossip.HostInfo) uint64 { return customerWeight(h, t, customer) }
	n := mainLenders(len(lenders))
	return append(orderByWeight(lenders[:n], weight), orderByWeight(lenders[n:], weight)...)
}

// mainLenders returns how many of a target's lenders come first for any customer.
func mainLenders(lenders int) int {
	return min(max(lenders/2, minLenders), lenders)
}

// CustomerShare returns this host's share of the connections that a target accepts, by the
// number of customers that it comes first for. The connections left over by rounding down go to
// the lenders with the largest remainders, one each. A lender that comes first for no customer
// has one, for the other lenders' customers and its own statements. The shares of all lenders
// are together at most the given number of connections.
func (as Assignment) CustomerShare(t target.Target, customers []string, lenders []gossip.HostInfo, connections int) int {
	first := map[string]int{}
	for _, c := range customers {
		if ordered := as.CustomerLenders(t, c, lenders); len(ordered) > 0 {
			first[ordered[0].Host]++
		}
	}
	if first[as.self] == 0 {
		return 1
	}
	shared := max(connections-(len(lenders)-len(first)), 0)
	share, remainder := shared*first[as.self]/len(customers), shared*first[as.self]%len(customers)
	leftOver, before := shared, 0
	for host, n := range first {
		leftOver -= shared * n / len(customers)
		if r := shared * n % len(customers); r > remainder || r == remainder && host < as.self {
			before++
		}
	}
	if before < leftOver {
		share++
	}
	return max(share, 1)
}

// customerWeight returns the weight of a host for a customer's connections to a target in
// rendezvous hashing.
func customerWeight(h gossip.HostInfo, t target.Target, customer string) uint64 {
	return xxhash.Sum64String(h.Host + "/" + t.ID + "/customer/" + customer)
}

// LatencyPenalty returns a function that returns by how much longer a statement takes to
// a target in a zone than to one in the host's own zone. regions maps each zone to its
// region.
func LatencyPenalty(own string, regions map[string]string) func(zone string) time.Duration {
	return func(zone string) time.Duration {
		switch {
		case zone == own:
			return 0
		case regions[zone] == regions[own]:
			return zonePenalty
		}
		return regionPenalty
	}
}
