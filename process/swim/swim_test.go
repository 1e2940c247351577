package swim_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/swim"
)

const interval = 250 * time.Millisecond

// fleet is a number of views that probe each other in rounds of one interval.
type fleet struct {
	views  []*swim.Swim
	down   map[string]bool
	random *rand.Rand
	now    time.Time
	loss   float64
	news   int
	probes int
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{down: map[string]bool{}, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0)}
	var listed []gossip.HostInfo
	for i := range n {
		listed = append(listed, gossip.New(name(i), name(i), "", 0))
	}
	for i := range n {
		s := swim.New(gossip.New(name(i), name(i), "", 1), rand.New(rand.NewPCG(seed, uint64(i))))
		s.AddListed(f.now, listed)
		f.views = append(f.views, s)
	}
	return f
}

func name(i int) string { return fmt.Sprintf("host-%04d", i) }

func (f *fleet) index(host string) int {
	var i int
	_, _ = fmt.Sscanf(host, "host-%d", &i)
	return i
}

// reach carries a probe and its answer with their news.
func (f *fleet) reach(from, to int) bool {
	f.probes++
	if f.down[name(to)] || f.down[name(from)] || f.random.Float64() < f.loss {
		return false
	}
	a, b := f.views[from], f.views[to]
	sent := a.NextUpdates()
	b.Merge(f.now, sent)
	b.MarkAlive(f.now, name(from))
	back := b.NextUpdates()
	a.Merge(f.now, back)
	f.news += len(sent) + len(back)
	return true
}

func (f *fleet) round() {
	f.now = f.now.Add(interval)
	for i, s := range f.views {
		if f.down[name(i)] {
			continue
		}
		s.Tick(f.now)
		target, ok := s.NextProbe()
		if !ok {
			continue
		}
		if f.reach(i, f.index(target.Host)) {
			s.MarkAlive(f.now, target.Host)
			continue
		}
		reached := false
		for _, h := range s.Helpers(target.Host) {
			reached = reached || (f.reach(i, f.index(h.Host)) && f.reach(f.index(h.Host), f.index(target.Host)))
		}
		if reached {
			s.MarkAlive(f.now, target.Host)
			continue
		}
		s.MarkSuspect(f.now, target.Host)
	}
}

// without counts the live views that do not count the host as live.
func (f *fleet) without(host string) int {
	n := 0
	for i, s := range f.views {
		if f.down[name(i)] {
			continue
		}
		live := false
		for _, h := range s.Live() {
			live = live || h == host
		}
		if !live {
			n++
		}
	}
	return n
}

func TestDeadHostIsFoundByAll(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		f := newFleet(8, seed)
		for range 20 {
			f.round()
		}
		f.down[name(3)] = true
		rounds := 0
		for f.without(name(3)) < 7 && rounds < 40 {
			f.round()
			rounds++
		}
		is.True(rounds < 24) // 6 s, the target for a change to be over
	}
}

func TestLossAloneKillsNobody(t *testing.T) {
	is := is.New(t)
	f := newFleet(8, 7)
	f.loss = 0.1
	for range 2000 {
		f.round()
	}
	dead := 0
	for _, s := range f.views {
		for _, n := range s.Hosts() {
			if n.State == gossip.Dead {
				dead++
			}
		}
	}
	is.Equal(dead, 0)
}

func TestPausedHostRefutes(t *testing.T) {
	is := is.New(t)
	f := newFleet(8, 9)
	f.down[name(2)] = true
	for range 30 {
		f.round()
	}
	is.Equal(f.without(name(2)), 7)
	f.down[name(2)] = false
	for range 40 {
		f.round()
	}
	is.Equal(f.without(name(2)), 0)
}

func TestLeavingIsTold(t *testing.T) {
	is := is.New(t)
	f := newFleet(8, 11)
	f.views[5].Leave()
	for range 20 {
		f.round()
	}
	is.Equal(f.without(name(5)), 8)
}

// BenchmarkInterval gives one host's work in an interval at several sizes of
// the fleet whose news has been told, with one new piece in each hundred.
func BenchmarkInterval(b *testing.B) {
	for _, n := range []int{8, 80, 800, 2600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(n, 3)
			for _, s := range f.views {
				for len(s.NextUpdates()) > 0 {
					continue
				}
			}
			f.news, f.probes = 0, 0
			b.ResetTimer()
			for i := range b.N {
				from := i % n
				s := f.views[from]
				if i%100 == 0 {
					s.Merge(f.now, []gossip.HostInfo{gossip.New(name((i+1)%n), name((i+1)%n), "", uint64(i+2))})
				}
				s.Tick(f.now)
				target, _ := s.NextProbe()
				f.reach(from, f.index(target.Host))
				s.MarkAlive(f.now, target.Host)
			}
			b.ReportMetric(float64(f.news)/float64(b.N), "news/interval")
		})
	}
}
