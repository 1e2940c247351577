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

// All hosts must ask the same lender for a customer's connections, and the loss of a lender
// must move few customers, whose connections are all opened anew.
func TestCustomersStayWithTheirLenders(t *testing.T) {
	is := is.New(t)
	const hosts, connections, customers = 80, 66, 82
	tg := target.New("t", "g", "", "a1")
	as := newAssignment("h0", hosts)
	lenders, _ := as.Lenders(tg, connections)
	fewer, _ := as.WithoutHost(lenders[0].Host).Lenders(tg, connections)
	moved, own := 0, 0
	for i := range customers {
		name := fmt.Sprintf("customer-%d", i)
		first := as.CustomerLenders(tg, name, lenders)
		is.Equal(newAssignment("h7", hosts).CustomerLenders(tg, name, lenders), first)
		is.Equal(len(first), len(lenders))
		if first[0].Host == lenders[0].Host {
			own++
		}
		if as.CustomerLenders(tg, name, fewer)[0].Host != first[0].Host {
			moved++
		}
	}
	is.True(own > 0)
	is.True(moved <= customers/2) // those of the lost lender, and those of the one that takes its place
}

// The shares of all lenders must not exceed what the target accepts.
func TestCustomerSharesFitTheTarget(t *testing.T) {
	is := is.New(t)
	var customers []string
	for i := range 82 {
		customers = append(customers, fmt.Sprintf("customer-%d", i))
	}
	for i := range 40 {
		tg := target.New(fmt.Sprintf("t%d", i), "g", "", "a1")
		for _, connections := range []int{16, 66, 70} {
			lenders, _ := newAssignment("h0", 80).Lenders(tg, connections)
			sum := 0
			for _, h := range lenders {
				share := newAssignment(h.Host, 80).CustomerShare(tg, customers, lenders, connections)
				is.True(share >= 1)
				sum += share
			}
			is.True(sum <= connections)
			is.True(sum >= connections*3/4)
		}
	}
}

// A host marked as unheard may be alive, and may have acknowledged commits, so that the mark must
// change nothing about who connects to targets and who is asked.
func TestUnheardHostsCountLikeOthers(t *testing.T) {
	is := is.New(t)
	tg := target.New("t", "g", "", "a1")
	as := newAssignment("h0", 80)
	lenders, _ := as.Lenders(tg, 58)
	h := lenders[0]
	marked := as.WithHost(h.WithUnheard(true))
	is.Equal(len(marked.Live()), len(as.Live()))
	is.Equal(marked.LiveCount(), as.LiveCount())
	is.Equal(marked.Rank(tg), as.Rank(tg))
	after, _ := marked.Lenders(tg, 58)
	is.Equal(after[0].WithUnheard(false), h)
	is.Equal(after[1:], lenders[1:])
	is.Equal(marked.CustomerShare(tg, []string{"a", "b"}, after, 58), as.CustomerShare(tg, []string{"a", "b"}, lenders, 58))
}

// Connections left over by rounding must not stay unused: of 62, two did, so that two customers
// more had none of their own and opened one for nearly every statement.
func TestCustomerSharesUseAllConnections(t *testing.T) {
	is := is.New(t)
	for _, count := range []int{1, 3, 40, 82} {
		var customers []string
		for i := range count {
			customers = append(customers, fmt.Sprintf("customer-%d", i))
		}
		for i := range 40 {
			tg := target.New(fmt.Sprintf("t%d", i), "g", "", "a1")
			lenders, _ := newAssignment("h0", 80).Lenders(tg, 66)
			for _, connections := range []int{33, 66} {
				sum := 0
				for _, h := range lenders {
					sum += newAssignment(h.Host, 80).CustomerShare(tg, customers, lenders, connections)
				}
				is.Equal(sum, connections)
			}
		}
	}
}
