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

// newAssignment returns the assignment of the host self, which knows n hosts in
// four zones of two regions.
func newAssignment(self string, n int) assign.Assignment {
	zones := []string{"a1", "a2", "b1", "b2"}
	host := func(i int) gossip.HostInfo { return gossip.New(fmt.Sprintf("h%d", i), "10.0.0.1:1", zones[i%4], 0) }
	as := assign.New(gossip.New(self, "10.0.0.1:1", "a1", 0), regions)
	for i := range n {
		as = as.WithHost(host(i))
	}
	return as
}

func TestFewHostsConnectThemselves(t *testing.T) {
	is := is.New(t)
	_, direct := newAssignment("h0", 8).Lenders(target.New("t", "g", "", "a1"), 32)
	is.True(direct)
}

func TestManyHostsShare(t *testing.T) {
	is := is.New(t)
	const hosts, connections = 80, 58
	for _, zone := range []string{"a1", "b2"} {
		t := target.New("t-"+zone, "g", "", zone)
		want, _ := newAssignment("h0", hosts).Lenders(t, connections)
		is.Equal(len(want), connections/8)
		count := 0
		for i := range hosts {
			got, direct := newAssignment(fmt.Sprintf("h%d", i), hosts).Lenders(t, connections)
			is.Equal(got, want) // all hosts agree
			if direct {
				count++
			}
		}
		is.Equal(count, len(want))
		for _, h := range want {
			is.Equal(h.Zone, zone)
		}
	}
}

func TestHostsThatLeftAreNotAssigned(t *testing.T) {
	is := is.New(t)
	tg := target.New("t", "g", "", "a1")
	as := newAssignment("h0", 80)
	before, _ := as.Lenders(tg, 58)
	after, _ := as.WithHost(before[0].WithState(gossip.Left)).Lenders(tg, 58)
	for _, h := range after {
		is.True(h.Host != before[0].Host)
	}
	after, _ = as.WithoutHost(before[1].Host).Lenders(tg, 58)
	for _, h := range after {
		is.True(h.Host != before[1].Host)
	}
}

func TestRankFollowsTheOrderOfAssignment(t *testing.T) {
	is := is.New(t)
	tg := target.New("t", "g", "", "b1")
	want, _ := newAssignment("h0", 40).Lenders(tg, 58)
	for i, h := range want {
		is.Equal(newAssignment(h.Host, 40).Rank(tg), i)
	}
}
