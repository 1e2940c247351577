package group

import (
	"time"

	"github.com/pistachiotray/pistachiotray/request/mark"
)

const (
	// switchoverDrainLimit is the maximum time that a switchover waits for running
	// writes to end before it fences; new writes are held back meanwhile.
	switchoverDrainLimit = 2 * time.Second
)

// switchover is a planned change of primary in progress.
type switchover struct {
	successor string
	began     time.Time
	// fencing is set once the election was started.
	fencing bool
}

// StartSwitchover begins a planned change of primary to the given member. New calls
// at the primary wait until a primary is elected or the switchover expires.
// StartSwitchover returns false if the member is unknown or is the primary already,
// if another switchover is in progress, or if this host does not own the group.
func (g *Group) StartSwitchover(now time.Time, to string) bool {
	if _, ok := g.index[to]; !ok || g.switchover != nil || !g.active {
		return false
	}
	if name, _ := g.quorum.Primary(); name == to {
		return false
	}
	g.switchover = &switchover{successor: to, began: now}
	g.updateMasks(now)
	g.advanceSwitchover(now)
	return true
}

func (g *Group) switchingOver() bool {
	return g.switchover != nil
}

// advanceSwitchover starts the election of the successor once no write runs and
// the successor has received every confirmed entry, or after switchoverDrainLimit.
func (g *Group) advanceSwitchover(now time.Time) {
	s := g.switchover
	if s == nil || s.fencing {
		return
	}
	if now.Sub(s.began) < switchoverDrainLimit && (g.writesRunning() || !g.hasConfirmedLog(s.successor)) {
		return
	}
	s.fencing = true
	g.election.StartSwitchover(now, s.successor)
}

// writesRunning reports whether a write or a writing transaction holds a slot,
// or any call still waits for a confirmation or a read index.
func (g *Group) writesRunning() bool {
	for _, s := range g.slots {
		if s.write && (s.call != "" || s.session != "") {
			return true
		}
	}
	return len(g.pending) > 0
}

// hasConfirmedLog reports whether the member has received every confirmed entry.
func (g *Group) hasConfirmedLog(name string) bool {
	r, _, ok := g.quorum.LastReport(name)
	return ok && r.Received.AtLeast(g.quorum.Confirmed())
}

// CheckReachability implements the effects of elect.Election. It notes that the
// primary is suspected and asks other hosts whether they reach it.
func (g *Group) CheckReachability(member string) {
	g.effects.Note("", "", g.name+": primary "+member+" missed its heartbeats, asking other hosts")
	g.effects.CheckReachability(member)
}

// Fence implements the effects of elect.Election and counts the fence.
func (g *Group) Fence(member string, term uint64) {
	g.incrementCounter("Fences")
	g.effects.Fence(member, term)
}

// Promote implements the effects of elect.Election. It passes the promotion on to
// the group's own effects.
func (g *Group) Promote(member string, term uint64) {
	g.effects.Promote(member, term)
}

// Elected implements the effects of elect.Election. It ends a switchover, if one is
// in progress, and polls all members, so that the reports that confirm the new term
// arrive soon.
func (g *Group) Elected(member string, term uint64) {
	g.incrementCounter("Replacements")
	g.switchover = nil
	g.effects.Elected(member, term)
	g.members[g.index[member]].misses = 0
	g.pollAll(0)
}

// ReachabilityChecked handles the answer of another host to CheckReachability:
// whether that host reached the primary.
func (g *Group) ReachabilityChecked(now time.Time, reached bool) {
	g.election.ReachabilityChecked(now, reached)
}

// Granted handles a member's promise of a term. received is the log position of the
// last entry that the member has stored.
func (g *Group) Granted(now time.Time, name string, term uint64, received mark.Mark) {
	if i, ok := g.index[name]; ok {
		g.memberAnswered(now, i)
	}
	g.election.Granted(now, name, term, received)
}

// Denied handles a fence that was not granted. term is the highest term that the
// member has promised, or 0 if it did not answer.
func (g *Group) Denied(now time.Time, name string, term uint64) {
	g.election.Denied(now, name, term)
}

// Promoted handles the answer to a promotion. ok is true if the member is the
// primary of the term now.
func (g *Group) Promoted(now time.Time, name string, term uint64, ok bool) {
	g.election.Promoted(now, name, term, ok)
	g.updateMembers(now)
	g.dispatch(now)
}
