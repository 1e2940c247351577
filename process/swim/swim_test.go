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

// fleet simulates hosts, each with its own view, that probe each other in
// rounds of one interval. Each probe fails with probability loss. The hosts in
// the map down neither send nor answer probes.
type fleet struct {
	views   []*swim.Swim
	down    map[string]bool
	random  *rand.Rand
	now     time.Time
	loss    float64
	updates int
	probes  int
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

// exchange delivers a probe and its answer with the updates in both. It reports
// whether the probe was answered.
func (f *fleet) exchange(from, to int) bool {
	f.probes++
	if f.down[name(to)] || f.down[name(from)] || f.random.Float64() < f.loss {
		return false
	}
	a, b := f.views[from], f.views[to]
	request := a.NextUpdates()
	b.Merge(f.now, request)
	b.MarkAlive(f.now, name(from))
	reply := b.NextUpdates()
	a.Merge(f.now, reply)
	f.updates += len(request) + len(reply)
	return true
}

// round advances the time by one interval, in which every running host probes
// one other host, directly and then through helpers.
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
		if f.exchange(i, f.index(target.Host)) {
			s.MarkAlive(f.now, target.Host)
			continue
		}
		reached := false
		for _, h := range s.Helpers(target.Host) {
			reached = reached || (f.exchange(i, f.index(h.Host)) && f.exchange(f.index(h.Host), f.index(target.Host)))
		}
		if reached {
			s.MarkAlive(f.now, target.Host)
			continue
		}
		s.MarkSuspect(f.now, target.Host)
	}
}

// countViewsWithout returns the number of running hosts that do not consider
// the given host live.
func (f *fleet) countViewsWithout(host string) int {
	count := 0
	for i, s := range f.views {
		if f.down[name(i)] {
			continue
		}
		live := false
		for _, h := range s.Live() {
			live = live || h == host
		}
		if !live {
			count++
		}
	}
	return count
}

func TestAllHostsDetectADeadHost(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		f := newFleet(8, seed)
		for range 20 {
			f.round()
		}
		f.down[name(3)] = true
		rounds := 0
		for f.countViewsWithout(name(3)) < 7 && rounds < 40 {
			f.round()
			rounds++
		}
		is.True(rounds < 24) // 6 s, the time limit for a change to reach all hosts
	}
}

// A host must not be declared dead because 10 % of the probes are lost.
func TestPacketLossAloneDeclaresNoHostDead(t *testing.T) {
	is := is.New(t)
	f := newFleet(8, 7)
	f.loss = 0.1
	for range 2000 {
		f.round()
	}
	dead := 0
	for _, s := range f.views {
		for _, h := range s.Hosts() {
			if h.State == gossip.Dead {
				dead++
			}
		}
	}
	is.Equal(dead, 0)
}

// A paused host that the others have declared dead must refute this after the
// pause, so that all hosts consider it live again.
func TestPausedHostRefutesItsDeath(t *testing.T) {
	is := is.New(t)
	f := newFleet(8, 9)
	f.down[name(2)] = true
	for range 30 {
		f.round()
	}
	is.Equal(f.countViewsWithout(name(2)), 7)
	f.down[name(2)] = false
	for range 40 {
		f.round()
	}
	is.Equal(f.countViewsWithout(name(2)), 0)
}

func TestLeaveReachesAllHosts(t *testing.T) {
	is := is.New(t)
	f := newFleet(8, 11)
	f.views[5].Leave()
	for range 20 {
		f.round()
	}
	is.Equal(f.countViewsWithout(name(5)), 8)
}

// BenchmarkInterval measures the work of one host per interval, for fleets of
// several sizes. All initial updates are sent before the measurement. Every
// hundredth interval adds a new update.
func BenchmarkInterval(b *testing.B) {
	for _, n := range []int{8, 80, 800, 2600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(n, 3)
			for _, s := range f.views {
				for len(s.NextUpdates()) > 0 {
					continue
				}
			}
			f.updates, f.probes = 0, 0
			b.ResetTimer()
			for i := range b.N {
				from := i % n
				s := f.views[from]
				if i%100 == 0 {
					s.Merge(f.now, []gossip.HostInfo{gossip.New(name((i+1)%n), name((i+1)%n), "", uint64(i+2))})
				}
				s.Tick(f.now)
				target, _ := s.NextProbe()
				f.exchange(from, f.index(target.Host))
				s.MarkAlive(f.now, target.Host)
			}
			b.ReportMetric(float64(f.updates)/float64(b.N), "news/interval")
		})
	}
}
