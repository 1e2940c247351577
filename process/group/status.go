package group

import (
	"time"

	"github.com/pistachiotray/pistachiotray/process/health"
)

// Members returns the status of each member, in the order of the group.
func (g *Group) Members() []health.Status {
	out := make([]health.Status, 0, len(g.members))
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
		out = append(out, s)
	}
	return out
}

// Problem returns what is wrong with the group and since when, as far as its
// owner knows. The text is empty if nothing is wrong.
func (g *Group) Problem() (string, time.Time) {
	return g.problem, g.problemSince
}

// updateProblem records what is wrong with the group and since when.
func (g *Group) updateProblem(now time.Time) {
	g.lastTick = now
	text := g.findProblem()
	if text != g.problem {
		g.problem = text
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
