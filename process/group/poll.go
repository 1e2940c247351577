package group

import (
	"time"

	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/request/call"
)

// refreshReports polls the members that have been silent for refreshAge when a read
// arrives, since a newer report may permit more members to serve it. It does so at
// most once per refreshAge.
func (g *Group) refreshReports(now time.Time, c call.Call) {
	if !c.Class.Read || now.Sub(g.refreshedAt) < refreshAge {
		return
	}
	g.refreshedAt = now
	for i, m := range g.members {
		if now.Sub(m.lastHeard) >= refreshAge {
			g.poll(i, 0)
		}
	}
}

// poll polls member i after a delay. If a poll of the member is in progress,
// another one follows once that poll is answered.
func (g *Group) poll(i int, after time.Duration) {
	m := g.members[i]
	if m.polling {
		m.pollAgain = true
		return
	}
	m.polling = true
	g.incrementCounter("Polls")
	g.effects.Poll(m.name, after)
}

func (g *Group) pollAll(after time.Duration) {
	for i := range g.members {
		g.poll(i, after)
	}
}

// pollForQuorum polls the members whose reports a pending confirmation or read
// index needs.
func (g *Group) pollForQuorum() {
	p := g.primaryIndex()
	highest := g.quorum.HighestAwaited()
	for i, m := range g.members {
		r, _, _ := g.quorum.LastReport(m.name)
		if i != p && !r.Received.AtLeast(highest) {
			g.poll(i, 0)
		}
	}
	if g.quorum.IndexWaiters() > 0 {
		g.pollAll(0)
	}
}

// Reported handles a member's report. asked is when the report was requested.
func (g *Group) Reported(now time.Time, r report.Report, asked time.Time) {
	i, ok := g.index[r.Member]
	if !ok {
		return
	}
	m := g.members[i]
	before, _, _ := g.quorum.LastReport(r.Member)
	g.memberAnswered(now, i)
	m.polling = false
	m.leaving = r.Leaving
	if r.Slots > 0 {
		m.slotLimit = r.Slots
	}
	g.quorum.Observe(r, asked)
	g.election.Reported(now, r)
	g.updateMembers(now)
	g.resolvePending(now)
	g.unparkReads(now)
	g.scheduleNextPoll(i, r, before)
	g.openSlots(now)
	g.dispatch(now)
}

// scheduleNextPoll schedules the next poll of a member that has just reported. A
// poll is needed if one was requested meanwhile, if a call waits for a confirmation
// or a read index, or if the member is a replica that has to catch up. The pauses
// double while the member makes no progress. If the member only has to catch up and
// the pause has exceeded its maximum, the next heartbeat is enough, unless reads are
// parked. before is the member's previous report.
func (g *Group) scheduleNextPoll(i int, r, before report.Report) {
	m := g.members[i]
	progress := r.Received != before.Received || r.Applied != before.Applied
	if progress || m.pollInterval == 0 {
		m.pollInterval = minPollInterval
		m.catchUpInterval = minCatchUpInterval
	}
	highest := g.quorum.HighestAwaited()
	switch {
	case m.pollAgain:
		m.pollAgain = false
		g.poll(i, 0)
	case g.quorum.IndexWaiters() > 0:
		g.poll(i, m.pollInterval)
		m.pollInterval = min(m.pollInterval*2, maxPollInterval)
	case i != g.primaryIndex() && !highest.IsZero() && !r.Received.AtLeast(highest):
		g.poll(i, m.pollInterval)
		m.pollInterval = min(m.pollInterval*2, maxPollInterval)
	case i != g.primaryIndex() && !r.Applied.AtLeast(g.quorum.Confirmed()) && (m.catchUpInterval <= maxCatchUpInterval || len(g.parked) > 0):
		g.poll(i, m.catchUpInterval)
		m.catchUpInterval = min(m.catchUpInterval*2, maxCatchUpInterval+1)
	}
}

// memberAnswered records that member i has just answered.
func (g *Group) memberAnswered(now time.Time, i int) {
	m := g.members[i]
	m.lastHeard = now
	m.misses = 0
}

// PollFailed handles a poll that failed or was not answered in time.
func (g *Group) PollFailed(now time.Time, name string) {
	i, ok := g.index[name]
	if !ok {
		return
	}
	m := g.members[i]
	m.polling = false
	m.pollAgain = false
	m.misses++
	g.incrementCounter("Misses")
	if g.active {
		g.election.HeartbeatMissed(now, name)
		g.poll(i, g.pollDelay(m))
	}
	g.updateMembers(now)
	g.dispatch(now)
}

// pollDelay returns the delay before the next poll of a member that did not
// answer: none after the first missesUntilUnusable failures in a row, then one
// heartbeat interval.
func (g *Group) pollDelay(m *member) time.Duration {
	if m.misses <= missesUntilUnusable {
		return 0
	}
	return g.heartbeatInterval
}

// majorityHeardRecently reports whether a majority confirmed the term within
// maxMajorityAge.
func (g *Group) majorityHeardRecently(now time.Time) bool {
	return now.Sub(g.quorum.IndexedAt()) <= maxMajorityAge
}
