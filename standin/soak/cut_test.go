package soak_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/pistachiotray/pistachiotray/standin/faulty"
)

// How a leader is cut off from some hosts again and again.
const (
	// cutShare is the share of the hosts that can't reach the leader.
	cutShare = 0.45
	// cutTime is how long a leader is cut off, and cutPause the time until the next cut.
	// The proxies accept connections of a host that is cut off, so that it takes the host
	// some 5 s to find that the leader does not answer.
	cutTime  = 9 * time.Second
	cutPause = 2 * time.Second
	// cutOffset is the time between the cuts of two groups. A host that loses the leaders
	// of several groups at a time waits before it replaces them.
	cutOffset = (cutTime + cutPause) / groupCount
	// maxDownTime is the longest time for which a member that restarts is down.
	maxDownTime = 300 * time.Millisecond
)

// hostsToCut returns the numbers of the hosts that a cut separates from a leader.
func (c *cluster) hostsToCut(r *rand.Rand) []int {
	return r.Perm(len(c.hosts))[:int(cutShare*float64(len(c.hosts))+0.5)]
}

// restartAfter kills the member after a time, and starts it again once it was down for another,
// under its ID or a new one.
func (m *slot) restartAfter(wait, down time.Duration, sameID bool) {
	time.Sleep(wait)
	m.disturb(memberKilled, 0, nil)
	time.Sleep(down)
	m.restart(sameID)
}

// endCut ends a cut of the member once it has lasted for cutTime, and waits for cutPause.
func (m *slot) endCut(began time.Time) {
	time.Sleep(cutTime - time.Since(began))
	m.end(memberKilled)
	time.Sleep(cutPause)
}

// cutLeader cuts the leader of a group off from some hosts. Once a successor is ordered, it
// restarts the others, among them the leader in some cases, and then ends the cut.
func (c *cluster) cutLeader(r *rand.Rand, group int) {
	hosts := c.hostsToCut(r)
	mode := faulty.Silent
	if r.IntN(3) == 0 {
		mode = cutModes[r.IntN(len(cutModes))]
	}
	leaderToo, sameID := r.IntN(2) == 0, r.IntN(2) == 0
	// Half of the time, members that restart are back long before the successor leads.
	window, longest := c.size.promote, maxDownTime
	if r.IntN(2) == 0 {
		window, longest = window/10, longest/10
	}
	after := [groupSize]time.Duration{}
	for i := range after {
		after[i] = time.Duration(r.Int64N(int64(window)))
	}
	down := time.Duration(r.Int64N(int64(longest)))
	began, leader := time.Now(), c.leaderSlot(group)
	leader.disturb(memberCutFromSome, mode, hosts)
	before := c.ledger.Orders(leader.group)
	for time.Since(began) < cutTime && c.ledger.Orders(leader.group) == before {
		time.Sleep(time.Millisecond)
	}
	var restarting sync.WaitGroup
	if ordered := c.ledger.Ordered(leader.group); c.ledger.Orders(leader.group) > before {
		for i, m := range c.slots[group*groupSize : (group+1)*groupSize] {
			if m.currentID() == ordered || m == leader && !leaderToo {
				continue
			}
			restarting.Go(func() { m.restartAfter(after[i], down, sameID) })
		}
	}
	restarting.Wait()
	leader.endCut(began)
}

// crashReplicas cuts the leader of a group off from some hosts, and restarts one or two members
// that do not lead at a random time from the detection of the cut until the successor leads, also
// before it is ordered.
func (c *cluster) crashReplicas(r *rand.Rand, group int) {
	const detection, preparation = 4500 * time.Millisecond, 1500 * time.Millisecond
	hosts := c.hostsToCut(r)
	at := detection + time.Duration(r.Int64N(int64(preparation+c.size.promote)))
	down, sameID, crashes := maxDownTime, r.IntN(4) == 0, 1+r.IntN(2)
	members := c.slots[group*groupSize : (group+1)*groupSize]
	order := r.Perm(groupSize)
	began, leader := time.Now(), c.leaderSlot(group)
	leader.disturb(memberCutFromSome, faulty.Silent, hosts)
	time.Sleep(at)
	var restarting sync.WaitGroup
	for _, i := range order {
		m := members[i]
		if crashes == 0 || c.ledger.Leads(m.group, m.currentID()) {
			continue
		}
		crashes--
		restarting.Go(func() { m.restartAfter(0, down, sameID) })
	}
	restarting.Wait()
	leader.endCut(began)
}

// TestSoakReplicasCrashWhileTheLeaderIsCutFromSomeHosts guards against the loss of commits when
// replicas restart at any time of a replacement. PISTACHIOTRAY_SOAK_CUTS enables it and sets the
// number of seeds, and PISTACHIOTRAY_SOAK_FROM sets the first one.
func TestSoakReplicasCrashWhileTheLeaderIsCutFromSomeHosts(t *testing.T) {
	t.Parallel()
	seeds, from := 0, 0
	if !byHand(&seeds, &from, "PISTACHIOTRAY_SOAK_CUTS") {
		t.Skip("PISTACHIOTRAY_SOAK_CUTS is not set")
	}
	runCuts(t, uint64(from), seeds, 8, (*cluster).crashReplicas)
}

// TestSoakMembersRestartWhileTheLeaderIsCutFromSomeHosts guards against the loss of commits
// that are acknowledged to hosts that still reach the leader while other hosts replace it,
// and members restart. PISTACHIOTRAY_SOAK_CUTS sets the number of seeds and makes the runs
// longer, and PISTACHIOTRAY_SOAK_FROM sets the first one.
func TestSoakMembersRestartWhileTheLeaderIsCutFromSomeHosts(t *testing.T) {
	t.Parallel()
	seeds, from, cuts := 1, 1, 2
	if byHand(&seeds, &from, "PISTACHIOTRAY_SOAK_CUTS") {
		cuts = 8
	}
	runCuts(t, uint64(from), seeds, cuts, (*cluster).cutLeader)
}

// runCuts runs the given number of seeds. In each, the leaders of all groups are cut off by a
// function, one after the other, again and again.
func runCuts(t *testing.T, from uint64, seeds, cuts int, cut func(c *cluster, r *rand.Rand, group int)) {
	t.Helper()
	const startTime = 5 * time.Second
	program := buildProgram(t)
	for i := range seeds {
		seed := from + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, program, seed, sizes[seed%2], false)
			c.calm.Store(true)
			var running sync.WaitGroup
			for g := range groupCount {
				running.Go(func() {
					r := rand.New(rand.NewPCG(seed, uint64(10+g)))
					time.Sleep(startTime + time.Duration(g)*cutOffset)
					for range cuts {
						cut(c, r, g)
					}
				})
			}
			c.serve(startTime + groupCount*cutOffset + time.Duration(cuts)*(cutTime+cutPause) + settleTime)
			running.Wait()
			c.stop()
			c.check()
			c.report()
		})
	}
}
