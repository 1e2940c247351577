package conns_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/process/assign"
	"github.com/pistachiotray/pistachiotray/process/conns"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/target"
)

const (
	customerCount  = 82
	targetSlots    = 6
	targetConns    = 66
	targetOpenTime = 12 * time.Millisecond
)

// slottedTarget is a target that runs statements and opens connections in its slots, in the
// order of arrival.
type slottedTarget struct {
	slots chan struct{}
	mu    sync.Mutex
	// open holds the open connections, opened counts all that were opened, and refused those
	// that were not because too many were open.
	open    map[*slottedLink]bool
	opened  map[string]int
	refused int
}

// slottedLink is one connection to a slottedTarget.
type slottedLink struct {
	link
	target *slottedTarget
}

func (l *slottedLink) Close() {
	l.target.mu.Lock()
	defer l.target.mu.Unlock()
	delete(l.target.open, l)
}

func newSlottedTarget() *slottedTarget {
	return &slottedTarget{slots: make(chan struct{}, targetSlots), open: map[*slottedLink]bool{}, opened: map[string]int{}}
}

// run occupies a slot for d.
func (s *slottedTarget) run(d time.Duration) {
	s.slots <- struct{}{}
	time.Sleep(d)
	<-s.slots
}

func (s *slottedTarget) connect(_ context.Context, customer string) (*conn.Conn, error) {
	l := &slottedLink{target: s}
	s.mu.Lock()
	if len(s.open) >= targetConns {
		s.refused++
		s.mu.Unlock()
		return nil, conns.ErrTargetFull
	}
	s.open[l] = true
	s.opened[customer]++
	s.mu.Unlock()
	s.run(targetOpenTime)
	return conn.New("t", l, conn.WithCustomer(customer)), nil
}

// openedSum returns how many connections were opened, for all customers together.
func (s *slottedTarget) openedSum() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0
	for _, n := range s.opened {
		sum += n
	}
	return sum
}

// statementTime returns how long a statement occupies a slot.
func statementTime() time.Duration {
	return time.Duration(11+rand.N(45)) * time.Millisecond
}

// powerSizes returns shares of the load that fall with the rank, lognormalSizes such as the
// quantiles of a lognormal distribution have. The largest is about a quarter in both.
func powerSizes() []float64 {
	return normalized(func(i int) float64 { return math.Pow(float64(i+1), -1.13) })
}

func lognormalSizes() []float64 {
	return normalized(func(i int) float64 {
		p := (float64(i) + 0.5) / customerCount
		return math.Exp(1.85 * math.Sqrt2 * math.Erfinv(1-2*p))
	})
}

func normalized(size func(int) float64) []float64 {
	sizes, sum := make([]float64, customerCount), 0.0
	for i := range sizes {
		sizes[i] = size(i)
		sum += sizes[i]
	}
	for i := range sizes {
		sizes[i] /= sum
	}
	return sizes
}

// pick returns a random customer by the sizes.
func pick(sizes []float64) int {
	x := rand.Float64()
	for i, s := range sizes {
		if x -= s; x < 0 {
			return i
		}
	}
	return 0
}

func customerName(i int) string { return fmt.Sprintf("customer-%02d", i) }

// lenderPools are the pools of the lenders of one target.
type lenderPools struct {
	quotas  map[string]int
	target  target.Target
	hosts   []gossip.HostInfo
	as      assign.Assignment
	pools   map[string]*conns.Pool
	weights map[string]int
}

func newLenderPools(s *slottedTarget, lenders int) *lenderPools {
	lp := &lenderPools{quotas: map[string]int{}, target: target.New("t", "g", "10.0.0.1:1", "z"), pools: map[string]*conns.Pool{}, weights: map[string]int{}}
	var names []string
	for i := range customerCount {
		lp.weights[customerName(i)] = 1
		names = append(names, customerName(i))
	}
	for i := range lenders {
		lp.hosts = append(lp.hosts, gossip.HostInfo{Host: fmt.Sprintf("host-%d", i), Zone: "z", State: gossip.Alive})
	}
	now := clock()
	for _, h := range lp.hosts {
		as := assign.New(h, nil).WithHosts(lp.hosts...)
		p := conns.New(targetConns, now, s.connect)
		lp.quotas[h.Host] = as.CustomerShare(lp.target, names, lp.hosts, targetConns)
		p.SetCustomers(lp.weights, lp.quotas[h.Host])
		lp.pools[h.Host], lp.as = p, as
	}
	return lp
}

// bestShare returns the smallest share of independent statements for which a connection must
// be opened: each lender keeps one for its largest customers, and uses its last one for all
// others in turn.
func (lp *lenderPools) bestShare(sizes []float64) float64 {
	kept, share := map[string]int{}, 0.0
	for i, size := range sizes { // in the order of their sizes
		first := lp.as.CustomerLenders(lp.target, customerName(i), lp.hosts)[0].Host
		if kept[first]++; kept[first] >= lp.quotas[first] && lp.customersOf(first) > lp.quotas[first] {
			share += size
		}
	}
	return share
}

// customersOf returns the number of customers that a lender comes first for.
func (lp *lenderPools) customersOf(host string) int {
	n := 0
	for name := range lp.weights {
		if lp.as.CustomerLenders(lp.target, name, lp.hosts)[0].Host == host {
			n++
		}
	}
	return n
}

// playChurn plays statements on the pools of 8 lenders of a target, which must all run. It returns how many
// connections were opened and refused, and the smallest share of statements that need one.
func playChurn(t *testing.T, sizes []float64, statements int, rate float64) (opened, refused int, best float64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSlottedTarget()
		lp := newLenderPools(s, 8)
		best = lp.bestShare(sizes)
		var all sync.WaitGroup
		for range statements {
			time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
			customer, d := customerName(pick(sizes)), statementTime()
			all.Go(func() {
				if err := lp.runWithin(t.Context(), s, customer, d, time.Second); err != nil {
					t.Error(err)
				}
			})
		}
		all.Wait()
		opened, refused = s.openedSum(), s.refused
		t.Logf("largest %.2f, %d opened, 1 for %.0f, at best 1 for %.0f", sizes[0], opened, float64(statements)/float64(opened), 1/best)
	})
	return opened, refused, best
}

// Opening a connection occupies a slot of the target, so that customers must not push each
// other's connections out. At most 1 new connection for 50 statements is the aim, at three
// quarters of the target's slots as on a calm day. With sizes by a power law the smallest
// customers, which have no connection left, send too many statements for that; there the
// pools must be close to the best that is possible.
func TestFewNewConnections(t *testing.T) {
	const seconds = 600
	for _, rate := range []int{34, 136} {
		t.Run(fmt.Sprint("lognormal/", rate), func(t *testing.T) {
			is := is.New(t)
			opened, refused, _ := playChurn(t, lognormalSizes(), seconds*rate, float64(rate))
			is.Equal(refused, 0)
			is.True(opened*50 <= seconds*rate)
		})
		t.Run(fmt.Sprint("power/", rate), func(t *testing.T) {
			is := is.New(t)
			opened, refused, best := playChurn(t, powerSizes(), seconds*rate, float64(rate))
			is.Equal(refused, 0)
			is.True(float64(opened) <= 1.2*best*seconds*float64(rate)+customerCount)
		})
	}
}
