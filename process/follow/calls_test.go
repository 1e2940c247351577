package follow_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/process/gossip"
)

// occasion counts the calls of one part of a run.
type occasion struct {
	name  string
	calls map[call]int
}

// total returns the number of calls.
func (o occasion) total() int {
	sum := 0
	for _, n := range o.calls {
		sum += n
	}
	return sum
}

// String lists the calls by kind and table.
func (o occasion) String() string {
	text := fmt.Sprintf("%-24s %4d:", o.name, o.total())
	var kinds []call
	for c := range o.calls {
		kinds = append(kinds, c)
	}
	slices.SortFunc(kinds, func(a, b call) int { return o.calls[b] - o.calls[a] })
	for _, c := range kinds {
		text += fmt.Sprintf(" %s %s %d,", c.kind, c.table, o.calls[c])
	}
	return text
}

// take returns the calls since the last call of take.
func (s *system) take(name string) occasion {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := occasion{name, s.calls}
	s.calls = map[call]int{}
	s.t.Log(o)
	return o
}

// startAll starts all hosts within a time.
func (s *system) startAll(within time.Duration) {
	for _, info := range s.infos {
		time.AfterFunc(rand.N(within+1), func() { s.start(info) })
	}
}

// delays returns how long the processes took until they knew a plan, and until they knew all
// tables, each in ascending order.
func (s *system) delays(infos []gossip.HostInfo) (plan, all []time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, info := range infos {
		n := s.nodes[info.Host]
		last := n.startedAt
		for _, table := range []string{planTable, targetTable, leaseTable, hostTable} {
			at := n.tablesAt[table]
			if at.IsZero() {
				s.t.Errorf("%s does not know the table %s", info.Host, table)
			}
			last = later(last, at)
		}
		plan, all = append(plan, n.tablesAt[planTable].Sub(n.startedAt)), append(all, last.Sub(n.startedAt))
	}
	slices.Sort(plan)
	slices.Sort(all)
	return plan, all
}

// logDelays logs how long the processes took until they knew a plan, and until they knew all
// tables.
func (s *system) logDelays(infos []gossip.HostInfo) {
	plan, all := s.delays(infos)
	for what, d := range map[string][]time.Duration{"plan": plan, "all tables": all} {
		s.t.Logf("%s: p50 %v, p90 %v, longest %v", what, d[len(d)/2].Round(time.Millisecond), d[len(d)*9/10].Round(time.Millisecond), d[len(d)-1].Round(time.Millisecond))
	}
}

// newEnrolledSystem returns a system whose hosts register in the store and have not started,
// with 24 targets that write their registrations about once a second.
func newEnrolledSystem(t *testing.T, zones, perZone int, seed uint64) *system {
	s := newIdleSystem(t, shape{zones, perZone, grownShape.apply, grownShape.drain, grownShape.contact, grownShape.rate}, seed)
	s.enrolled, s.first = true, true
	for i := range 24 {
		go s.renew(fmt.Sprint("i-", i))
	}
	return s
}

// renew writes a target's registration about once a second until the system is closed.
func (s *system) renew(target string) {
	for closed := false; !closed; {
		time.Sleep(900*time.Millisecond + rand.N(200*time.Millisecond))
		s.mu.Lock()
		closed = s.closed
		s.write(targetTable, target, nil)
		s.mu.Unlock()
	}
}

// crowdSize returns how many hosts a zone has in a test with seven zones.
func crowdSize() int {
	if raceDetector {
		return 4
	}
	return 11
}

// TestCallsByOccasion logs the calls to the store by occasion, kind and table. A host that starts
// lists the hosts once, and calm hosts let one of them read for all.
func TestCallsByOccasion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage, calm = 6300 * time.Millisecond, 14 * time.Second
		is := is.New(t)
		s := newEnrolledSystem(t, 7, crowdSize(), 1)
		defer s.close()
		s.startAll(time.Second)
		time.Sleep(6 * time.Second)
		s.logDelays(s.infos)
		first := s.take("first start")
		is.Equal(first.calls[call{"list", hostTable}], len(s.infos))
		is.Equal(first.calls[call{"write", hostTable}], len(s.infos))
		time.Sleep(calm)
		// One request each 0.5 s for the targets, 1.1 s for the leases and 1.75 s for the plan,
		// and a few for the hosts.
		is.True(s.take("calm").total() < 5*int(calm/time.Second))
		s.first = false
		s.silenceStore(outage)
		time.Sleep(outage)
		s.take("outage")
		time.Sleep(6 * time.Second)
		s.take("after the outage")
		restarted := s.infos[:len(s.infos)*2/5]
		for _, info := range restarted {
			n := s.nodes[info.Host]
			go n.registry.Register(t.Context(), true, false)
			time.Sleep(500 * time.Millisecond)
			s.kill(n)
			s.start(info)
		}
		time.Sleep(2 * time.Second)
		s.logDelays(restarted)
		turn := s.take("restarts in turn")
		is.Equal(turn.calls[call{"list", hostTable}], len(restarted))
		is.Equal(turn.calls[call{"write", hostTable}], 2*len(restarted))
		time.Sleep(6 * time.Second)
		s.take("calm")
		for _, info := range s.infos {
			s.kill(s.nodes[info.Host])
		}
		s.startAll(time.Second)
		time.Sleep(6 * time.Second)
		s.logDelays(s.infos)
		again := s.take("all killed and started")
		is.Equal(again.calls[call{"list", hostTable}], len(s.infos))
		is.Equal(again.calls[call{"write", hostTable}], 0) // their rows have not changed
	})
}

// At the first start of all hosts, most get the tables from other hosts, also where these know
// them only some moments later, and have a plan as soon as when more of them read the store.
func TestFewHostsReadTheTablesAtTheFirstStart(t *testing.T) {
	const seeds = 6
	lists, hosts := 0, 0
	var delays []time.Duration
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			s := newEnrolledSystem(t, 7, crowdSize(), seed)
			defer s.close()
			s.startAll(time.Second)
			time.Sleep(6 * time.Second)
			plan, _ := s.delays(s.infos)
			delays = append(delays, plan...)
			hosts += len(s.infos)
			for c, n := range s.take("first start").calls {
				if c.kind == "list" && c.table != hostTable {
					lists += n
				}
			}
		})
	}
	slices.Sort(delays)
	t.Logf("%d hosts listed %d tables other than that of the hosts; plan p50 %v, p99 %v", hosts, lists, delays[len(delays)/2], delays[len(delays)*99/100])
	// Three tables, read by at most one host in six.
	if lists > hosts/2 {
		t.Errorf("%d lists of tables by %d hosts", lists, hosts)
	}
	// 2.70 s when each host read the tables after 0.4 s, and 50 ms more.
	if p50 := delays[len(delays)/2]; p50 > settleDelay+250*time.Millisecond {
		t.Errorf("half of the hosts had a plan only after %v", p50)
	}
}
