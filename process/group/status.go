package group

import (
	"time"

	"github.com/pistachiotray/pistachiotray/process/health"
)

// Members returns the status of each member, in the order given to New.
func (g *Group) Members() []health.Status {
	statuses := make([]health.Status, 0, len(g.members))
	p := g.primaryIndex()
	for i, m := range g.members {
		r, asked, _ := g.quorum.LastReport(m.name)
		s := health.New(m.name)
		s.Primary = i == p
		s.Usable = m.usable
		s.Leaving = m.leaving
		s.Term = r.Term
		s.Received = r.Received.String()
		s.Applied = r.Applied.String()
		s.LagEntries = g.Lag(m.name)
		s.SlotsOpen, s.SlotsFree = g.queue.SlotCounts(i)
		if !asked.IsZero() {
			s.HeardAgo = g.lastTick.Sub(asked)
		}
		statuses = append(statuses, s)
	}
	return statuses
}

// Problem returns the most severe problem of the group at the last tick, and since
// when it has existed. The text is empty if there is none or if this host does not
// own the group.
func (g *Group) Problem() (string, time.Time) {
	return g.problem, g.problemSince
}

// updateProblem records the group's most severe problem and since when it has
// existed.
func (g *Group) updateProblem(now time.Time) {
	g.lastTick = now
	problem := g.findProblem()
	if problem != g.problem {
		g.problem = problem
		g.problemSince = now
	}
}

// findProblem returns the most severe problem of the group, or an empty text.
func (g *Group) findProblem() string {
	if !g.active {
		return ""
	}
	name, _ := g.quorum.Primary()
	switch {
	case !g.majorityReachable:
		return "a majority of members is unreachable: writes wait and can't be confirmed"
	case name == "":
		return "no primary is known"
	case g.election.InProgress():
		return "the primary " + name + " is being replaced"
	case g.members[g.index[name]].misses >= missesUntilUnusable:
		return "the primary " + name + " does not answer"
	case g.switchover != nil:
		return "a planned change of primary to " + g.switchover.successor + " is in progress"
	}
	for _, m := range g.members {
		if m.misses >= missesUntilUnusable {
			return "member " + m.name + " does not answer"
		}
	}
	return ""
}
