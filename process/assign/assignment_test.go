package assign_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/process/assign"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/target"
)

var regions = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}

func set(self string, n int) assign.Assignment {
	zones := []string{"a1", "a2", "b1", "b2"}
	host := func(i int) gossip.HostInfo { return gossip.New(fmt.Sprintf("h%d", i), "10.0.0.1:1", zones[i%4], 0) }
	g := assign.New(gossip.New(self, "10.0.0.1:1", "a1", 0), regions)
	for i := range n {
		g = g.WithHost(host(i))
	}
	return g
}

func TestFewHostsConnectThemselves(t *testing.T) {
	is := is.New(t)
	_, own := set("h0", 8).Lenders(target.New("t", "g", "", "a1"), 32)
	is.True(own)
}

func TestManyHostsShare(t *testing.T) {
	is := is.New(t)
	const hosts, connections = 80, 58
	for _, zone := range []string{"a1", "b2"} {
		t := target.New("t-"+zone, "g", "", zone)
		want, _ := set("h0", hosts).Lenders(t, connections)
		is.Equal(len(want), connections/8)
		own := 0
		for i := range hosts {
			got, o := set(fmt.Sprintf("h%d", i), hosts).Lenders(t, connections)
			is.Equal(got, want) // all hosts agree
			if o {
				own++
			}
		}
		is.Equal(own, len(want))
		for _, n := range want {
			is.Equal(n.Zone, zone)
		}
	}
}

func TestHostsThatLeftAreNotAssigned(t *testing.T) {
	is := is.New(t)
	tg := target.New("t", "g", "", "a1")
	g := set("h0", 80)
	before, _ := g.Lenders(tg, 58)
	after, _ := g.WithHost(before[0].WithState(gossip.Left)).Lenders(tg, 58)
	for _, n := range after {
		is.True(n.Host != before[0].Host)
	}
	after, _ = g.WithoutHost(before[1].Host).Lenders(tg, 58)
	for _, n := range after {
		is.True(n.Host != before[1].Host)
	}
}

func TestRankFollowsTheOrderOfAssignment(t *testing.T) {
	is := is.New(t)
	tg := target.New("t", "g", "", "b1")
	want, _ := set("h0", 40).Lenders(tg, 58)
	for i, n := range want {
		is.Equal(set(n.Host, 40).Rank(tg), i)
	}
}
