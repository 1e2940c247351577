package ranks_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/ranks"
)

// fleet returns n hosts in six zones.
func fleet(n int) []gossip.HostInfo {
	var hosts []gossip.HostInfo
	for i := range n {
		hosts = append(hosts, gossip.New(fmt.Sprintf("h%d", i), "10.0.0.1:1", fmt.Sprintf("z%d", i%6), 0))
	}
	return hosts
}

// At any size, one host reads the store, one of each zone follows it, and nobody
// follows in a circle.
func TestOneReaderAndShortPaths(t *testing.T) {
	for _, n := range []int{1, 6, 77, 295, 2600} {
		is := is.New(t)
		hosts := fleet(n)
		readers, crossings, longest := 0, 0, 0
		for _, h := range hosts {
			length := 0
			for at := h; ; length++ {
				up := ranks.New(at, hosts).Upstreams()
				if len(up) == 0 {
					break
				}
				if length == 0 && up[0].Zone != h.Zone {
					crossings++
				}
				at = up[0]
				is.True(length < n) // no circle
			}
			if length == 0 {
				readers++
			}
			longest = max(longest, length)
			is.True(length <= ranks.New(h, hosts).Hops())
		}
		is.Equal(readers, 1)
		is.True(crossings <= 5)
		is.True(longest <= 2)
	}
}

// If hosts that others follow are not usable, the rest must still have one reader.
func TestNextHostTakesOver(t *testing.T) {
	is := is.New(t)
	hosts := fleet(295)
	for range 10 {
		reader := slices.IndexFunc(hosts, func(h gossip.HostInfo) bool { return len(ranks.New(h, hosts).Upstreams()) == 0 })
		hosts = slices.Delete(hosts, reader, reader+1)
		readers := 0
		for _, h := range hosts {
			if len(ranks.New(h, hosts).Upstreams()) == 0 {
				readers++
			}
		}
		is.Equal(readers, 1)
	}
}

func TestOtherHostsDoNotCountTheHostItself(t *testing.T) {
	is := is.New(t)
	hosts := fleet(12)
	for i, h := range hosts {
		without := slices.Delete(slices.Clone(hosts), i, i+1)
		is.Equal(ranks.New(h, without).Upstreams(), ranks.New(h, hosts).Upstreams())
	}
}
