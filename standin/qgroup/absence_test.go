package qgroup_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/pistachiotray/pistachiotray/process/member"
	"github.com/pistachiotray/pistachiotray/standin/qgroup"
)

// absences injects faults that make hosts take a member for gone, or another one for the
// leader, while the leader fails.
type absences struct {
	*testCluster
	random *rand.Rand
	// ending runs what ends the faults.
	ending sync.WaitGroup
}

// millis returns a random duration between two numbers of milliseconds.
func (a *absences) millis(from, to int) time.Duration {
	return time.Duration(from+a.random.IntN(to-from)) * time.Millisecond
}

// after calls f after d, also if the run has ended by then.
func (a *absences) after(d time.Duration, f func()) {
	a.ending.Go(func() {
		time.Sleep(d)
		f()
	})
}

// someHosts calls set with true for each host of a random choice, and with false after d.
// The choice is all hosts, or at least one.
func (a *absences) someHosts(d time.Duration, set func(host int, on bool)) {
	chosen := []int{qgroup.AllHosts}
	if a.random.IntN(3) > 0 {
		chosen = a.random.Perm(len(a.hosts))[:1+a.random.IntN(len(a.hosts)-1)]
	}
	for _, host := range chosen {
		set(host, true)
		a.after(d, func() { set(host, false) })
	}
}

// hide makes hosts lose sight of a replica that still receives, and returns after how long
// the leader is to fail.
func (a *absences) hide(replica int) time.Duration {
	g := a.group
	long := member.AbsentAfter + a.millis(0, 4000)
	switch a.random.IntN(4) {
	case 0: // cut from the store, and from some hosts
		g.SetUnregistered(replica, true)
		away := long + a.millis(0, 2000)
		a.after(away, func() { g.SetUnregistered(replica, false) })
		if a.random.IntN(2) == 0 {
			a.someHosts(away, func(host int, on bool) { g.SetPartitioned(replica, host, on) })
		}
		return long
	case 1: // refuses connections
		span := a.millis(500, 4000)
		a.someHosts(span, func(host int, on bool) { g.SetRefusing(replica, host, on) })
		return a.millis(100, 1000)
	case 2: // leaves, and refuses connections at the end
		g.SetLeaving(replica, true)
		time.Sleep(a.millis(500, 1500))
		span := a.millis(1000, 4000)
		a.someHosts(span, func(host int, on bool) { g.SetRefusing(replica, host, on) })
		g.SetUnregistered(replica, a.random.IntN(2) == 0)
		a.after(span, func() {
			g.SetLeaving(replica, false)
			g.SetUnregistered(replica, false)
		})
		return a.millis(200, 1000)
	}
	return 0
}

// failLeader makes the leader fail, for all hosts or some, for a while.
func (a *absences) failLeader(leader int) {
	g, span := a.group, a.millis(800, 4000)
	if a.random.IntN(4) == 0 {
		g.SetUnregistered(leader, true)
		a.after(span, func() { g.SetUnregistered(leader, false) })
	}
	switch a.random.IntN(5) {
	case 0:
		g.Crash(leader)
		a.after(span, func() { g.Start(leader) })
	case 1:
		g.SetSilent(leader, true)
		a.after(span, func() { g.SetSilent(leader, false) })
	case 2:
		a.someHosts(span, func(host int, on bool) { g.SetPartitioned(leader, host, on) })
	case 3:
		a.someHosts(span, func(host int, on bool) { g.SetRefusing(leader, host, on) })
		a.someHosts(span, func(host int, on bool) { g.SetPartitioned(leader, host, on) })
	case 4:
		g.SetLeaving(leader, true)
		a.after(span, func() { g.SetLeaving(leader, false) })
	}
	time.Sleep(span)
}

// inject makes the leader fail again and again, while replicas are hidden, a host does not
// learn who leads or can't be asked, and replicas restart.
func (a *absences) inject() {
	defer a.ending.Wait()
	a.store.SetReadTime(a.millis(0, 80))
	time.Sleep(4 * time.Second)
	for a.ctx.Err() == nil {
		leader := max(a.group.Leader(), 0)
		hidden := (leader + 1 + a.random.IntN(2)) % 3
		other := 3 - leader - hidden
		host := a.random.IntN(len(a.hosts))
		before := a.hide(hidden)
		if a.random.IntN(2) == 0 {
			a.registrationsCut[host].Store(true)
			a.after(before+a.millis(500, 5000), func() { a.registrationsCut[host].Store(false) })
		}
		if a.random.IntN(4) == 0 {
			a.network.setIsolated(host, true)
			a.after(before+a.millis(500, 3000), func() { a.network.setIsolated(host, false) })
		}
		time.Sleep(before)
		if a.random.IntN(2) == 0 {
			a.group.SetReceiveBlocked(other, true)
			a.after(a.millis(50, 800), func() { a.group.SetReceiveBlocked(other, false) })
			time.Sleep(a.millis(0, 600))
		}
		if a.random.IntN(2) == 0 {
			a.after(a.millis(300, 2000), func() { a.restart(other) })
		}
		a.failLeader(leader)
		time.Sleep(a.millis(0, 2000))
	}
}

// TestPromisesWhileMembersAreTakenForGone checks the promises while hosts don't know all
// members that receive, or who leads. It runs only by hand, since each run lasts long.
func TestPromisesWhileMembersAreTakenForGone(t *testing.T) {
	if os.Getenv("PISTACHIOTRAY_SEEDS") == "" {
		t.Skip("PISTACHIOTRAY_SEEDS is not set")
	}
	const hosts = 3
	inject := func(c *testCluster, random *rand.Rand) { (&absences{testCluster: c, random: random}).inject() }
	for seed := uint64(1); seed <= seedCount(t); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel() // each run has a clock of its own
			violations, _ := runFaultsFor(t, 30*time.Second, hosts, seed, inject)
			for _, v := range violations {
				t.Error(v)
			}
		})
	}
}
