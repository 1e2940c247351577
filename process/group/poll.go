package group

import (
	"time"

	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/request/call"
)

// refreshFor asks for fresher reports where a read could use them.
func (g *Group) refreshFor(now time.Time, c call.Call) {
	if !c.Class.Read || now.Sub(g.wanted) < demandAge {
		return
	}
	g.wanted = now
	for i, m := range g.members {
		if now.Sub(m.heard) >= demandAge {
			g.poll(i, 0)
		}
	}
}

func (g *Group) poll(i int, after time.Duration) {
	m := g.members[i]
	if m.polling {
		m.again = true
		return
	}
	m.polling = true
	g.count("Polls")
	g.out.Poll(m.name, after)
}

func (g *Group) pollAll(after time.Duration) {
	for i := range g.members {
		g.poll(i, after)
	}
}

// pollForQuorum asks the members whose word a waiting call lacks.
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

// Reported takes a member's report that was asked for at the time asked.
func (g *Group) Reported(now time.Time, r report.Report, asked time.Time) {
	i, ok := g.index[r.Member]
	if !ok {
		return
	}
	m := g.members[i]
	before, _, _ := g.quorum.LastReport(r.Member)
	g.heardFrom(now, i)
	m.polling = false
	m.leaving = r.Leaving
	if r.Slots > 0 {
		m.limit = r.Slots
	}
	g.quorum.Observe(r, asked)
	g.elect.Reported(now, r)
	g.changed(now)
	g.decide(now)
	g.movePermitted(now)
	g.pollOn(i, r, before)
	g.dial(now)
	g.dispatch(now)
}

// pollOn decides when a member that answered is asked again.
func (g *Group) pollOn(i int, r, before report.Report) {
	m := g.members[i]
	progress := r.Received != before.Received || r.Applied != before.Applied
	if progress || m.step == 0 {
		m.step = pollStepLeast
		m.catchUp = catchUpLeast
	}
	highest := g.quorum.HighestAwaited()
	switch {
	case m.again:
		m.again = false
		g.poll(i, 0)
	case g.quorum.IndexWaiters() > 0:
		g.poll(i, m.step)
		m.step = min(m.step*2, pollStepMost)
	case i != g.primaryIndex() && !highest.IsZero() && !r.Received.AtLeast(highest):
		g.poll(i, m.step)
		m.step = min(m.step*2, pollStepMost)
	case i != g.primaryIndex() && !r.Applied.AtLeast(g.quorum.Confirmed()) && (m.catchUp <= catchUpMost || len(g.parked) > 0):
		g.poll(i, m.catchUp)
		m.catchUp = min(m.catchUp*2, catchUpMost+1)
	}
}

// heardFrom takes any sign of life of member i.
func (g *Group) heardFrom(now time.Time, i int) {
	m := g.members[i]
	m.heard = now
	m.misses = 0
}

// PollFailed takes a poll that a member did not answer in time.
func (g *Group) PollFailed(now time.Time, name string) {
	i, ok := g.index[name]
	if !ok {
		return
	}
	m := g.members[i]
	m.polling = false
	m.again = false
	m.misses++
	g.count("Misses")
	if g.active {
		g.elect.HeartbeatMissed(now, name)
		g.poll(i, g.missPause(m))
	}
	g.changed(now)
	g.dispatch(now)
}

// missPause spaces the polls of a member that does not answer.
func (g *Group) missPause(m *member) time.Duration {
	if m.misses <= missesToAvoid {
		return 0
	}
	return g.heartbeat
}

// recentlyHeard tells whether a majority confirmed the term a short while ago.
func (g *Group) recentlyHeard(now time.Time) bool {
	return now.Sub(g.quorum.IndexedAt()) <= heardWithin
}
