package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pistachiotray/pistachiotray/standin/faulty"
)

// The faults of a member.
const (
	memberKilled = iota
	memberReplaced
	memberRefused
	memberSilent
	memberFrozen
	memberCutFromSome
	memberCutFromHosts
	memberCutFromPeers
	memberCutFromStore
	memberRestarted
	memberReleased
)

var (
	// awayFaults last long. leaderFaults and replicaFaults come shortly after each other.
	awayFaults    = []int{memberKilled, memberRefused, memberSilent, memberFrozen, memberCutFromSome, memberCutFromPeers, memberCutFromStore, memberCutFromStore, memberCutFromStore, memberReleased}
	leaderFaults  = []int{memberKilled, memberReplaced, memberRefused, memberSilent, memberFrozen, memberCutFromSome, memberCutFromHosts, memberCutFromPeers, memberCutFromStore, memberReleased}
	replicaFaults = []int{memberKilled, memberReplaced, memberSilent, memberFrozen, memberCutFromSome, memberCutFromPeers, memberRestarted, memberRestarted, memberReleased}
	faultNames    = []string{"killed", "replaced", "refused", "silent", "frozen", "cut from some hosts", "cut from hosts", "cut from peers", "cut from store", "restarted", "released"}
	cutModes      = []int{faulty.DropRequests, faulty.DropAnswers, faulty.RefuseNew, faulty.Refuse, faulty.Silent}
)

// burstTime is how long a burst lasts at least.
const burstTime = 6 * time.Second

// disturb begins a fault of a member. end ends the faults of a member.
func (m *slot) disturb(kind, mode int, hosts []int) {
	m.run.ledger.Log("FAULT %s member %d %s: %s, mode %d, hosts %v", m.group, m.index, m.id, faultNames[kind], mode, hosts)
	switch kind {
	case memberKilled, memberReplaced:
		m.kill()
	case memberRefused:
		m.setLinks(faulty.Refuse, nil)
	case memberSilent:
		m.setLinks(faulty.Silent, nil)
		m.setSending(faulty.Silent)
		m.storeProxy.SetMode(faulty.Silent)
	case memberFrozen:
		m.signal(syscall.SIGSTOP)
	case memberCutFromSome:
		m.setLinks(mode, hosts)
	case memberCutFromHosts:
		m.hostProxy.SetMode(mode)
	case memberCutFromPeers:
		m.setReplication(mode)
		m.setSending(mode)
	case memberCutFromStore:
		m.storeProxy.SetMode(mode)
	case memberRestarted:
		m.kill()
		time.Sleep(time.Duration(mode) * 100 * time.Millisecond)
		m.restart(true)
	case memberReleased:
		// The next member at the address may be unable to register.
		m.setNext(0, mode == faulty.Silent)
		m.release()
	}
}

// end ends the faults of a member. A process that has ended starts again.
func (m *slot) end(kind int) {
	m.run.ledger.Log("REPAIR %s member %d", m.group, m.index)
	m.setNext(0, false)
	m.repair()
	m.restart(kind != memberReplaced)
}

// someHosts returns the numbers of some hosts, one at least.
func (c *cluster) someHosts(r *rand.Rand) []int {
	return r.Perm(len(c.hosts))[:1+r.IntN(len(c.hosts)-1)]
}

// sendAway begins a long fault of one member of each group, half of the time of all members
// of a zone. It returns these members and the functions that end the faults.
func (c *cluster) sendAway(r *rand.Rand) (members []*slot, returns []func()) {
	zone, together := r.IntN(groupSize), r.IntN(2) == 0
	kind, mode, hosts := awayFaults[r.IntN(len(awayFaults))], cutModes[r.IntN(len(cutModes))], c.someHosts(r)
	for g := range groupCount {
		if !together {
			zone, kind, mode = r.IntN(groupSize), awayFaults[r.IntN(len(awayFaults))], cutModes[r.IntN(len(cutModes))]
		}
		m := c.slots[g*groupSize+zone]
		m.disturb(kind, mode, hosts)
		members, returns = append(members, m), append(returns, func() { m.end(kind) })
	}
	return members, returns
}

// burst disturbs all groups within a short time: the members that were away return, and the
// leader, a replica and a host fail. It returns after the faults have begun.
func (c *cluster) burst(r *rand.Rand, away []*slot, returns []func(), disturbing *sync.WaitGroup) {
	window := 300 + r.IntN(700)
	at := func(do func()) {
		d := time.Duration(r.IntN(window)) * time.Millisecond
		disturbing.Go(func() { time.Sleep(d); do() })
	}
	fault := func(m *slot, kinds []int) {
		kind, mode, hosts := kinds[r.IntN(len(kinds))], cutModes[r.IntN(len(cutModes))], c.someHosts(r)
		length := time.Duration(500+r.IntN(4500)) * time.Millisecond
		at(func() { m.disturb(kind, mode, hosts); time.Sleep(length); m.end(kind) })
	}
	for g := range groupCount {
		if r.IntN(2) == 0 {
			at(returns[g])
		} else {
			disturbing.Go(func() { time.Sleep(burstTime); returns[g]() })
		}
		leader := c.leaderSlot(g)
		fault(leader, leaderFaults)
		for _, m := range c.slots[g*groupSize : (g+1)*groupSize] {
			if m != leader && m != away[g] && r.IntN(4) > 0 {
				fault(m, replicaFaults)
			}
		}
		if r.IntN(3) == 0 {
			c.ledger.DelayOrder(groupName(g), time.Duration(500+r.IntN(3500))*time.Millisecond)
		}
	}
	if h, length := c.hosts[r.IntN(len(c.hosts))], time.Duration(500+r.IntN(3500))*time.Millisecond; r.IntN(2) == 0 {
		kind := r.IntN(4)
		at(func() {
			c.ledger.Log("FAULT %s: %s for %v", h.name, []string{"killed", "stopped", "frozen", "cut from store"}[kind], length)
			c.injectFault(h, 0, []int{0, 1, 2, 6}[kind], faulty.Silent, length)
		})
	}
	time.Sleep(time.Duration(window) * time.Millisecond)
}

// disturbOrder disturbs a group whose leader is about to be replaced by a member: the leader
// returns, a replica restarts, or both.
func (c *cluster) disturbOrder(group, id string) {
	if c.calm.Load() {
		return
	}
	c.mu.Lock()
	returns, restarts := c.orderRandom.IntN(2) == 0, c.orderRandom.IntN(2) == 0
	after := [2]time.Duration{time.Duration(c.orderRandom.Int64N(int64(c.size.promote))), time.Duration(c.orderRandom.Int64N(int64(c.size.promote)))}
	pause := c.orderRandom.IntN(3)
	c.mu.Unlock()
	leader := c.ledger.Leader(group)
	for _, m := range c.slots {
		switch m.mu.Lock(); {
		case m.group != group || m.id == id:
		case m.id == leader && returns:
			time.AfterFunc(after[0], func() { m.end(memberKilled) })
		case m.id != leader && restarts && m.up:
			time.AfterFunc(after[1], func() { m.disturb(memberRestarted, pause, nil) })
		}
		m.mu.Unlock()
	}
}

// serve runs sessions of all groups for the given time.
func (c *cluster) serve(length time.Duration) {
	const sessionsPerGroup = 6
	ctx, stop := context.WithTimeout(c.t.Context(), length)
	defer stop()
	c.ctx = ctx
	var sessions sync.WaitGroup
	for g := range groupCount {
		var items []string
		for i := range sessionsPerGroup {
			items = append(items, fmt.Sprintf("item-%d-%d", g, i))
		}
		for i, item := range items {
			s := &session{run: &c.soakRun, random: rand.New(rand.NewPCG(c.seed, uint64(100*g+i))), name: fmt.Sprintf("s%d-%d", g, i), item: item, items: items, database: fmt.Sprintf("orders-%d", g)}
			if i%2 == 1 {
				s.database = fmt.Sprintf("log-%d", g)
			}
			sessions.Go(s.play)
		}
	}
	sessions.Wait()
}

// play disturbs the cluster while it serves: after each time in away, in which a member of
// each group is away, several faults come shortly after each other.
func (c *cluster) play(r *rand.Rand, away []time.Duration) {
	const startTime, pause = 4 * time.Second, 2 * time.Second
	length := startTime + settleTime - pause
	for _, d := range away {
		length += d + time.Second + burstTime + pause
	}
	var running sync.WaitGroup
	running.Go(func() { c.serve(length) })
	time.Sleep(startTime)
	for _, d := range away {
		members, returns := c.sendAway(r)
		time.Sleep(d)
		var disturbing sync.WaitGroup
		c.burst(r, members, returns, &disturbing)
		time.Sleep(burstTime)
		disturbing.Wait()
		for _, m := range c.slots {
			m.end(memberReplaced)
		}
		time.Sleep(pause)
	}
	c.calm.Store(true)
	running.Wait()
}

// check compares the logs at the end with the answers that the callers got.
func (c *cluster) check() {
	for g := range groupCount {
		if counts := c.ledger.WriteCounts(groupName(g)); counts != nil {
			c.checkWrites(counts, fmt.Sprintf("item-%d-", g))
		} else {
			c.addViolation("nobody leads %s at the end", groupName(g))
		}
	}
}

// report reports what was found. If the test failed, it writes the logs to files.
func (c *cluster) report() {
	const shown = 40
	acked, promotions := c.ledger.Counts()
	c.t.Logf("seed %d %s: %d commits acknowledged, %d promotions, %d reads served", c.seed, c.size.name, acked, promotions, c.readsServed)
	var found []string
	for _, l := range c.ledger.Lost() {
		_, text, _ := strings.Cut(l, "lacks ")
		id := strings.TrimSuffix(strings.Fields(text)[1], ",")
		found = append(found, fmt.Sprintf("%s; told to the caller: %t", l, c.ackedIDs[id]))
	}
	found = append(found, c.violations...)
	for _, v := range found[:min(len(found), shown)] {
		c.t.Error(v)
	}
	if len(found) > shown {
		c.t.Errorf("and %d more", len(found)-shown)
	}
	if !c.t.Failed() && os.Getenv("PISTACHIOTRAY_SOAK_KEEP") == "" {
		return
	}
	logs := map[string][]byte{"found.log": []byte(strings.Join(found, "\n") + "\n")}
	for _, h := range c.hosts {
		logs[h.name+".log"] = h.output.Bytes()
	}
	for _, m := range c.slots {
		logs[fmt.Sprintf("member-%d.log", m.index)] = m.output.Bytes()
	}
	logs["events.log"], _ = os.ReadFile(c.events.Name())
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-size-%d-", c.seed))
	if err != nil {
		c.t.Error(err)
	}
	for name, text := range logs {
		_ = os.WriteFile(filepath.Join(dir, name), text, 0o600)
	}
	c.t.Logf("logs: %s", dir)
}
