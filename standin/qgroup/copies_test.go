package qgroup_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/standin/qgroup"
)

// unknownMembers is a course of events in which members that no host knows acknowledge commits
// and the leader is lost.
type unknownMembers struct {
	// members is the size of the group. Those from index 3 on start without a registration.
	members int
	// writers is the number of writers at each host, statement the duration of a write, and
	// blocked for how long the replicas that are blocked receive nothing.
	writers            int
	statement, blocked time.Duration
	replicas           []int
	lose               func(c *testCluster)
	// register is set if the unknown members register before the first leader is back.
	register bool
}

// play runs the course and returns the acknowledged writes that the last leader lacks.
func (u unknownMembers) play(c *testCluster) []string {
	c.introduce()
	c.group.SetStatementTime(u.statement)
	stop := c.staggered(u.writers)
	time.Sleep(4 * time.Second)
	for i := 3; i < u.members; i++ {
		c.group.SetUnregistered(i, true)
		c.group.StartEmpty(i)
	}
	time.Sleep(500 * time.Millisecond)
	for _, r := range u.replicas {
		c.group.SetReceiveBlocked(r, true)
	}
	time.Sleep(u.blocked)
	u.lose(c)
	for _, r := range u.replicas {
		c.group.SetReceiveBlocked(r, false)
	}
	time.Sleep(5 * time.Second)
	for i := 3; u.register && i < u.members; i++ {
		c.group.SetUnregistered(i, false)
	}
	time.Sleep(10 * time.Second)
	c.group.SetSilent(0, false)
	c.group.SetPartitioned(0, qgroup.AllHosts, false)
	c.group.Start(0)
	time.Sleep(5 * time.Second)
	return c.lostOf(stop())
}

// waysToLoseTheLeader returns the ways in which the leader, member 0, is lost.
func waysToLoseTheLeader() map[string]func(c *testCluster) {
	return map[string]func(c *testCluster){
		"crashed":        func(c *testCluster) { c.group.Crash(0) },
		"silent":         func(c *testCluster) { c.group.SetSilent(0, true) },
		"cut from hosts": func(c *testCluster) { c.group.SetPartitioned(0, qgroup.AllHosts, true) },
		"leaving": func(c *testCluster) {
			c.group.SetLeaving(0, true)
			time.Sleep(20 * time.Millisecond)
			c.group.Crash(0)
		},
		"with a host": func(c *testCluster) {
			c.stopHosts[0]()
			c.group.Crash(0)
		},
		"while a host starts": func(c *testCluster) {
			c.startHost(c.ctx)
			c.group.Crash(0)
			c.introduce()
		},
	}
}

// Guards against commits that were acknowledged to callers while only the leader and members
// that no host knew had them, and that were lost with the leader.
func TestCommitsOfUnknownMembersAreNotAcknowledged(t *testing.T) {
	ways, crash := waysToLoseTheLeader(), func(c *testCluster) { c.group.Crash(0) }
	both := []int{1, 2}
	courses := map[string]unknownMembers{
		"more writers":     {4, 4, 90 * time.Millisecond, 60 * time.Millisecond, both, crash, true},
		"short writes":     {4, 1, 10 * time.Millisecond, 30 * time.Millisecond, both, crash, true},
		"one replica deaf": {4, 2, 40 * time.Millisecond, 60 * time.Millisecond, []int{1}, crash, true},
		"two unknown":      {5, 2, 40 * time.Millisecond, 60 * time.Millisecond, both, crash, true},
	}
	for way, lose := range ways {
		for _, registers := range []bool{true, false} {
			for _, blocked := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond} {
				courses[fmt.Sprintf("%s/registers=%v/%v", way, registers, blocked)] = unknownMembers{4, 1, 60 * time.Millisecond, blocked, both, lose, registers}
			}
		}
	}
	for name, course := range courses {
		t.Run(name, func(t *testing.T) {
			runWithHosts(t, course.members, 3, func(_ context.Context, t *testing.T, c *testCluster) {
				is := is.New(t)
				is.Equal(len(course.play(c)), 0)
			})
		})
	}
}

// The same with random sizes, times and events.
func TestCommitsOfUnknownMembersInRandomRuns(t *testing.T) {
	seeds := uint64(10)
	if os.Getenv("PISTACHIOTRAY_SEEDS") != "" {
		seeds = seedCount(t)
	}
	ways := waysToLoseTheLeader()
	names := slices.Sorted(maps.Keys(ways))
	for seed := uint64(1); seed <= seeds; seed++ {
		random := rand.New(rand.NewPCG(seed, 62))
		upTo := func(ms int) time.Duration { return time.Duration(1+random.IntN(ms)) * time.Millisecond }
		way := names[random.IntN(len(names))]
		course := unknownMembers{
			4 + random.IntN(2), 1 + random.IntN(4), upTo(100), upTo([]int{60, 600}[random.IntN(2)]),
			[][]int{{1}, {2}, {1, 2}, {1, 2}}[random.IntN(4)], ways[way], random.IntN(2) == 0,
		}
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runWithHosts(t, course.members, 3, func(_ context.Context, t *testing.T, c *testCluster) {
				if lost := course.play(c); len(lost) > 0 {
					t.Errorf("seed %d, leader %s: %d acknowledged writes are lost", seed, way, len(lost))
				}
			})
		})
	}
}
