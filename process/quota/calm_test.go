package quota_test

import (
	"cmp"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/process/quota"
	"github.com/pistachiotray/pistachiotray/version/cust"
)

// wave returns a demand of a mean that varies by 30% in waves of 11 s.
func wave(mean float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		return mean * (1 + 0.3*math.Sin(2*math.Pi*at.Seconds()/11))
	}
}

// anywhere returns a function that picks a host, some of which have far more sessions.
func (f *fleet) anywhere(hosts int) func() *simHost {
	return func() *simHost {
		part := f.random.Float64()
		return f.hosts[int(part*part*float64(hosts))]
	}
}

// Below their limits customers must not be refused, however their sessions are spread.
func TestCalmDemandIsNotRefused(t *testing.T) {
	is := is.NewRelaxed(t)
	customers := []cust.Customer{
		cust.New("large").WithLimit(600, 600), cust.New("medium").WithLimit(100, 100),
		cust.New("small").WithLimit(10, 10), cust.New("tight").WithLimit(100, 5), cust.New("single").WithLimit(50, 50),
	}
	f := newFleet(80, 1, customers...)
	f.runUntil(5 * time.Second)
	end := 45 * time.Second
	for _, c := range customers {
		hosts := 80
		if c.Name == "single" {
			hosts = 1
		}
		f.demand(c.Name, end, wave(0.6*c.Rate), f.anywhere(hosts))
	}
	f.runUntil(end)
	refused, offered := 0, 0
	for _, c := range customers {
		part := float64(f.refused[c.Name]) / float64(f.offered[c.Name])
		t.Logf("%s: %d of %d refused (%.4f), excess %.0f", c.Name, f.refused[c.Name], f.offered[c.Name], part, f.excess(c, 0))
		is.True(part < 0.02) // almost nothing is refused of any customer
		is.True(f.excess(c, 0) <= 0)
		refused, offered = refused+f.refused[c.Name], offered+f.offered[c.Name]
	}
	is.True(float64(refused) < 0.002*float64(offered)) // nor of all
	t.Logf("%d claims in %v", f.claims, end)
}

// A customer that asks for more than its limit must get what the limit allows, and no more.
func TestLimitIsServed(t *testing.T) {
	is := is.NewRelaxed(t)
	customers := []cust.Customer{
		cust.New("large").WithLimit(600, 600), cust.New("medium").WithLimit(100, 100),
		cust.New("small").WithLimit(10, 10), cust.New("single").WithLimit(50, 50), cust.New("few").WithLimit(100, 5),
		cust.New("tight").WithLimit(100, 5),
	}
	f := newFleet(80, 2, customers...)
	f.runUntil(5 * time.Second)
	end := 45 * time.Second
	for _, c := range customers {
		hosts := map[string]int{"single": 1, "few": 4}[c.Name]
		if hosts == 0 {
			hosts = 80
		}
		f.demand(c.Name, end, func(time.Duration) float64 { return 9 * c.Rate }, f.anywhere(hosts))
	}
	f.runUntil(end)
	for _, c := range customers {
		part := float64(f.served(c.Name, 10*time.Second, 40*time.Second)) / (30 * c.Rate)
		t.Logf("%s: %.3f of the limit, excess %.0f", c.Name, part, f.excess(c, 0))
		is.True(part >= 0.95)
		is.True(f.excess(c, 0) <= 0)
	}
	t.Logf("%d claims in %v", f.claims, end)
}

// Below their limits customers must not be refused while hosts restart one after another as
// planned, and their sessions move to other hosts.
func TestRollingRestartIsCalm(t *testing.T) {
	is := is.NewRelaxed(t)
	customers := []cust.Customer{
		cust.New("large").WithLimit(600, 600), cust.New("medium").WithLimit(100, 100), cust.New("single").WithLimit(50, 50),
	}
	f := newFleet(80, 3, customers...)
	f.runUntil(5 * time.Second)
	end := 65 * time.Second
	leaving := map[*simHost]bool{}
	for _, c := range customers {
		pick := f.anywhere(map[string]int{"large": 80, "medium": 80, "single": 2}[c.Name])
		f.demand(c.Name, end, wave(0.6*c.Rate), func() *simHost {
			h := pick()
			for leaving[h] || !h.up {
				h = f.hosts[(slices.Index(f.hosts, h)+1)%80]
			}
			return h
		})
	}
	// The coordinator is the third, and the one that follows it the fifth.
	order := slices.Clone(f.hosts)
	slices.SortFunc(order, func(a, b *simHost) int { return cmp.Compare(quota.Order(a.name), quota.Order(b.name)) })
	order = append(slices.Clone(f.hosts[:2]), order[0], f.hosts[2], order[1], f.hosts[3], f.hosts[4], f.hosts[5])
	for i, h := range order {
		f.after(time.Duration(i)*7*time.Second, func() {
			f.announce(h.name)
			leaving[h] = true
			f.after(4*time.Second, func() { f.restart([]*simHost{h}, time.Second) })
			f.after(5500*time.Millisecond, func() {
				leaving[h] = false
				f.announce()
			})
		})
	}
	f.runUntil(end)
	refused, offered := 0, 0
	for _, c := range customers {
		t.Logf("%s: %d of %d refused, excess %.0f", c.Name, f.refused[c.Name], f.offered[c.Name], f.excess(c, 0))
		is.True(f.excess(c, 0) <= 0)
		refused, offered = refused+f.refused[c.Name], offered+f.offered[c.Name]
	}
	is.True(float64(refused) < 0.005*float64(offered))
}
