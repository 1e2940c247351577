package group

import (
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

const (
	// pollStepLeast and pollStepMost bound the pause between two polls of a
	// member that has yet to receive what a write awaits.
	pollStepLeast = 500 * time.Microsecond
	pollStepMost  = 16 * time.Millisecond
	// catchUpLeast and catchUpMost bound the pause between two polls of a
	// replica that has yet to apply what is confirmed.
	catchUpLeast = 5 * time.Millisecond
	catchUpMost  = 160 * time.Millisecond
	// replicaBeats is how many heartbeats of a primary fall on one of a replica.
	replicaBeats = 4
	// dialPauseLeast and dialPauseMost bound the pause after a refused slot.
	dialPauseLeast = 20 * time.Millisecond
	dialPauseMost  = 500 * time.Millisecond
	// missesToAvoid is how many missed reports in a row take a member out.
	missesToAvoid = 2
	// demandAge is the age from which a member's report is asked for anew
	// when a read could use a fresher one.
	demandAge = 200 * time.Millisecond
	// heardWithin is how old the last word of a majority may be for an answer
	// of the primary to be released without asking again.
	heardWithin = 2 * time.Second
)

// member is what the group knows of one member besides its reports.
type member struct {
	name      string
	limit     int
	leaving   bool
	usable    bool
	polling   bool
	again     bool
	heard     time.Time
	misses    int
	step      time.Duration
	catchUp   time.Duration
	opening   int
	dialAfter time.Time
	dialPause time.Duration
}

// permitted returns the set of members that may serve a call now.
func (g *Group) permitted(now time.Time, c call.Call) uint8 {
	p := g.primaryIndex()
	if !c.Class.Read {
		if p < 0 || !g.majority || g.blocked() {
			return 0
		}
		return 1 << p
	}
	var mask uint8
	for i := range g.members {
		if i != p && g.fresh(now, i, c) {
			mask |= 1 << i
		}
	}
	if p >= 0 && g.members[p].misses < missesToAvoid && !g.blocked() && g.spills(now, c, mask) {
		mask |= 1 << p
	}
	return mask
}

const (
	// spillShare of a stale read's time is how long it waits for a replica to
	// catch up with its session before it goes to the primary, spillMost at
	// most. Data read at the primary is the newest there is, so that a session
	// that reads there once would find no replica new enough again for a while.
	spillShare = 10
	spillMost  = 300 * time.Millisecond
	// spillWait is the predicted wait at the replicas from which reads use the
	// primary's slots too.
	spillWait = 20 * time.Millisecond
)

// spills tells whether a read may run at the primary beside the replicas in
// mask.
func (g *Group) spills(now time.Time, c call.Call, mask uint8) bool {
	if mask != 0 {
		return g.queue.PredictWait(c, mask) > spillWait
	}
	if c.Class.MaxAge == 0 {
		return true
	}
	return now.Sub(c.Arrived) >= spillAfter(c)
}

func spillAfter(c call.Call) time.Duration {
	return min(c.Deadline.Sub(c.Arrived)/spillShare, spillMost)
}

// movePermitted gives the reads that wait for a replica what the members'
// newest reports permit.
func (g *Group) movePermitted(now time.Time) {
	for _, id := range inOrder(g.parked, func(*work) bool { return true }) {
		w := g.parked[id]
		if _, waits := g.waiting[id]; !waits {
			delete(g.parked, id)
			continue
		}
		if mask := g.permitted(now, w.call); mask != 0 {
			g.queue.SetMask(id, mask)
			delete(g.parked, id)
		}
	}
}

// fresh tells whether replica i may serve a read.
func (g *Group) fresh(now time.Time, i int, c call.Call) bool {
	m := g.members[i]
	r, _, ok := g.quorum.LastReport(m.name)
	if !ok || m.misses >= missesToAvoid || m.leaving || r.Primary {
		return false
	}
	if !r.Applied.AtLeast(c.Floor) {
		return false
	}
	age, known := g.quorum.Age(r.Applied, now)
	return known && age <= maxAge(c)
}

// sessionAge bounds the age of a read that states none: its session's own
// work is what it must see.
const sessionAge = 10 * time.Second

func maxAge(c call.Call) time.Duration {
	if c.Class.MaxAge > 0 {
		return c.Class.MaxAge
	}
	return sessionAge
}

func (g *Group) primaryIndex() int {
	name, _ := g.quorum.Primary()
	if i, ok := g.index[name]; ok {
		return i
	}
	return -1
}

// order returns the members in the order in which free slots are tried:
// replicas with more free slots first, the primary last.
func (g *Group) order() []int {
	p := g.primaryIndex()
	g.tryOrder = g.tryOrder[:0]
	for i := range g.members {
		if i != p {
			g.tryOrder = append(g.tryOrder, i)
		}
	}
	slices.SortStableFunc(g.tryOrder, func(a, b int) int {
		_, freeA := g.queue.SlotCounts(a)
		_, freeB := g.queue.SlotCounts(b)
		return freeB - freeA
	})
	if p >= 0 {
		g.tryOrder = append(g.tryOrder, p)
	}
	return g.tryOrder
}

// changed adapts the queue to what is known of the members.
func (g *Group) changed(now time.Time) {
	name, term := g.quorum.Primary()
	majority := g.reachable() > len(g.members)/2
	moved := name != g.lastFirst || term != g.lastTerm || majority != g.majority
	g.lastFirst, g.lastTerm, g.majority = name, term, majority
	for i, m := range g.members {
		usable := m.misses < missesToAvoid && (!m.leaving || i == g.primaryIndex())
		moved = moved || usable != m.usable
		m.usable = usable
		g.queue.SetMember(i, usable, m.limit)
	}
	if moved {
		g.loseOldWrites(now)
		g.remask(now)
	}
}

func (g *Group) remask(now time.Time) {
	g.queue.Remask(func(c call.Call) uint8 { return g.permitted(now, c) })
}

func (g *Group) reachable() int {
	n := 0
	for _, m := range g.members {
		if m.misses < missesToAvoid {
			n++
		}
	}
	return n
}

// loseOldWrites gives up the runs of writes whose member no longer leads.
func (g *Group) loseOldWrites(now time.Time) {
	_, term := g.quorum.Primary()
	for _, id := range inOrder(g.seats, func(s *seat) bool { return s.ready && s.term < term && s.write }) {
		s := g.seats[id]
		if s == nil {
			continue
		}
		if s.call != "" && s.call != rollbackCall {
			g.loseRun(now, id, s.call)
			continue
		}
		if s.session != "" {
			g.endTransaction(s.session)
			g.closeSlot(now, id)
		}
	}
}

// SlotOpened takes the end of opening a slot. Refused tells that the member has
// no slot to give now.
func (g *Group) SlotOpened(now time.Time, slot uint64, ok bool) {
	s := g.seats[slot]
	if s == nil {
		g.out.CloseSlot(slot)
		return
	}
	m := g.members[s.member]
	m.opening--
	if !ok {
		delete(g.seats, slot)
		if now.Before(m.dialAfter) {
			return
		}
		m.dialPause = min(max(m.dialPause*2, dialPauseLeast), dialPauseMost)
		m.dialAfter = now.Add(m.dialPause)
		return
	}
	m.dialPause = 0
	s.ready = true
	if !g.active {
		g.closeSlot(now, slot)
		return
	}
	g.queue.AddSlot(s.member, slot)
	g.dispatch(now)
}

// SlotLost takes the loss of a slot in which nothing ran.
func (g *Group) SlotLost(now time.Time, slot uint64) {
	s := g.seats[slot]
	if s == nil || s.call != "" {
		return
	}
	if s.session != "" {
		g.endTransaction(s.session)
	}
	g.closeSlot(now, slot)
	g.dial(now)
}

// dial opens slots ahead of demand: each member's slots are all kept open.
func (g *Group) dial(now time.Time) {
	if !g.active {
		return
	}
	for i, m := range g.members {
		if m.misses >= missesToAvoid || now.Before(m.dialAfter) || (m.leaving && i != g.primaryIndex()) {
			continue
		}
		open, _ := g.queue.SlotCounts(i)
		for n := open + m.opening; n < m.limit; n++ {
			g.nextSlot++
			m.opening++
			g.seats[g.nextSlot] = &seat{member: i}
			g.out.OpenSlot(g.nextSlot, m.name)
		}
	}
}

// Lag returns by how many entries a member's applied log is behind what is
// confirmed, 0 where it is not.
func (g *Group) Lag(name string) uint64 {
	r, _, _ := g.quorum.LastReport(name)
	confirmed := g.quorum.Confirmed()
	if r.Applied.AtLeast(confirmed) {
		return 0
	}
	return confirmed.Position - min(r.Applied.Position, confirmed.Position)
}

// Confirmed returns the highest mark known to be confirmed.
func (g *Group) Confirmed() mark.Mark {
	return g.quorum.Confirmed()
}
