package soak_test

import (
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/pistachiotray/pistachiotray/standin/faulty"
)

// step is a step of a script at a time since the script began.
type step struct {
	at time.Duration
	do func(leader, replica, other *slot)
}

// deafThenLost are the steps after which only the replica has what the leader acknowledged
// last: the other one receives nothing for a while, and the leader is lost.
func deafThenLost(at time.Duration) []step {
	const deafTime = time.Second
	return []step{
		{at, func(_, _, other *slot) { other.setReplication(faulty.Silent) }},
		{at + deafTime, func(leader, _, _ *slot) { leader.kill() }},
	}
}

// scripts holds orders of faults of a group that lost acknowledged commits, or are suspected
// to.
var scripts = map[string][]step{
	"member without a registration still receives": append([]step{
		{0, func(_, replica, _ *slot) { replica.disturb(memberCutFromStore, faulty.Silent, nil) }},
	}, deafThenLost(14*time.Second)...),
	"member that drains without a registration is refused": append([]step{
		{0, func(_, replica, _ *slot) { replica.disturb(memberReleased, 0, nil) }},
		{500 * time.Millisecond, func(_, replica, _ *slot) { replica.disturb(memberCutFromStore, faulty.Silent, nil) }},
		{5 * time.Second, func(_, replica, _ *slot) { replica.hostProxy.SetMode(faulty.Refuse) }},
	}, deafThenLost(5*time.Second)...),
	"successor of a released member receives before it is registered": append([]step{
		{0, func(_, replica, _ *slot) { replica.disturb(memberReleased, faulty.Silent, nil) }},
	}, deafThenLost(7500*time.Millisecond)...),
	"successor of a released member has an earlier clock": append([]step{
		{0, func(_, replica, _ *slot) {
			replica.disturb(memberReleased, 0, nil)
			replica.setNext(-time.Minute, false)
		}},
	}, deafThenLost(9*time.Second)...),
	"hosts start while a member has no registration": append([]step{
		{0, func(_, replica, _ *slot) { replica.disturb(memberCutFromStore, faulty.Silent, nil) }},
		{5 * time.Second, func(leader, _, _ *slot) {
			if leader.index >= groupSize {
				return
			}
			for _, h := range leader.run.hosts {
				go leader.run.restart(h, syscall.SIGKILL)
			}
		}},
	}, deafThenLost(8*time.Second)...),
	"leader cut off from the store is replaced and still receives": {
		{0, func(leader, _, _ *slot) { leader.disturb(memberCutFromStore, faulty.Silent, nil) }},
		{18 * time.Second, func(leader, replica, other *slot) {
			next := leader.run.leaderSlot(leader.index / groupSize)
			for _, m := range []*slot{replica, other} {
				if m != next {
					m.setReplication(faulty.Silent)
				}
			}
			time.AfterFunc(time.Second, next.kill)
		}},
	},
	"demoted leader and a replica restart under other IDs during a promotion": {
		{0, func(leader, _, _ *slot) { leader.disturb(memberCutFromSome, faulty.Silent, []int{0, 1, 2}) }},
		{time.Second, func(leader, replica, other *slot) {
			c, before := leader.run, leader.run.ledger.Orders(leader.group)
			for c.ledger.Orders(leader.group) == before && c.ctx.Err() == nil {
				time.Sleep(time.Millisecond)
			}
			next := c.ledger.Ordered(leader.group)
			for _, m := range []*slot{leader, replica, other} {
				if m.currentID() != next {
					go func() { m.kill(); m.restart(false) }()
				}
			}
		}},
	},
	"leader returns while a replica restarts during a promotion": {
		{0, func(leader, _, _ *slot) { leader.disturb(memberRefused, 0, nil) }},
		{time.Second, func(leader, replica, other *slot) {
			c := leader.run
			next := ""
			for ; next == "" && c.ctx.Err() == nil; time.Sleep(time.Millisecond) {
				next = c.ledger.Ordered(leader.group)
			}
			for _, m := range []*slot{replica, other} {
				if m.currentID() != next {
					m.disturb(memberRestarted, 0, nil)
				}
			}
			leader.end(memberKilled)
		}},
	},
}

// TestSoakScripts runs the scripts on all groups. PISTACHIOTRAY_SOAK_SCRIPTS enables it.
func TestSoakScripts(t *testing.T) {
	const startTime, restTime = 5 * time.Second, 6 * time.Second
	if os.Getenv("PISTACHIOTRAY_SOAK_SCRIPTS") == "" {
		t.Skip("PISTACHIOTRAY_SOAK_SCRIPTS is not set")
	}
	program := buildProgram(t)
	for name, script := range scripts {
		for _, z := range sizes {
			t.Run(name+"/"+z.name, func(t *testing.T) {
				t.Parallel()
				c := newCluster(t, program, 1, z, false)
				c.calm.Store(true)
				for g := range groupCount {
					time.AfterFunc(startTime, func() {
						leader := c.leaderSlot(g)
						replicas := slices.DeleteFunc(slices.Clone(c.slots[g*groupSize:(g+1)*groupSize]), func(m *slot) bool { return m == leader })
						for _, s := range script {
							time.AfterFunc(s.at, func() { s.do(leader, replicas[0], replicas[1]) })
						}
					})
				}
				c.serve(startTime + script[len(script)-1].at + restTime)
				c.stop()
				c.report()
			})
		}
	}
}
