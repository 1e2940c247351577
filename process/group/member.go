package group

import (
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

const (
	// minPollInterval and maxPollInterval bound the pause between two polls of a
	// member whose report may complete a pending confirmation or read index.
	minPollInterval = 500 * time.Microsecond
	maxPollInterval = 16 * time.Millisecond
	// minCatchUpInterval and maxCatchUpInterval bound the pause between two polls
	// of a replica that has not yet applied every confirmed entry.
	minCatchUpInterval = 5 * time.Millisecond
	maxCatchUpInterval = 160 * time.Millisecond
	// replicaHeartbeatFactor is the ratio of a replica's heartbeat interval to the
	// primary's. It applies while a primary is known.
	replicaHeartbeatFactor = 4
	// minOpenBackoff and maxOpenBackoff bound the backoff after a slot could not
	// be opened.
	minOpenBackoff = 20 * time.Millisecond
	maxOpenBackoff = 500 * time.Millisecond
	// missesUntilUnusable is how many polls in a row must fail until a member gets
	// no more work and counts as unreachable.
	missesUntilUnusable = 2
	// refreshAge is the time since a member's last answer after which an arriving
	// read causes a poll of the member. It is also the minimum time between two
	// rounds of such polls.
	refreshAge = 200 * time.Millisecond
	// maxMajorityAge limits the time since a majority last confirmed the term.
	// Beyond this limit, answers of the primary wait for a new report or read
	// index.
	maxMajorityAge = 2 * time.Second
)

// member is the state of one member, except for its reports, which are kept in
// Group.quorum.
type member struct {
	name string
	// slotLimit is how many slots are kept open.
	slotLimit int
	leaving   bool
	// usable is set if the member gets new work.
	usable bool
	// polling is set while a poll is in progress, and pollAgain if another one
	// was requested meanwhile.
	polling   bool
	pollAgain bool
	// lastHeard is when the member last answered a poll, a fence or a call.
	lastHeard time.Time
	// misses counts the polls in a row that failed.
	misses int
	// pollInterval and catchUpInterval are the pauses before the next poll for a
	// confirmation or read index, and for a replica to catch up. Each doubles
	// when it is used and is reset when the member makes progress.
	pollInterval    time.Duration
	catchUpInterval time.Duration
	// opening counts the slots that are being opened.
	opening int
	// openAfter is when slots may be opened again after a failure, and
	// openBackoff the length of that pause.
	openAfter   time.Time
	openBackoff time.Duration
}

// permittedMask returns the set of members that may serve a call now: bit i
// stands for member i. Writes need the primary and a reachable majority, and
// wait during a switchover. Reads go to every replica that is fresh enough, and
// to the primary when the replicas can't serve them soon.
func (g *Group) permittedMask(now time.Time, c call.Call) uint8 {
	p := g.primaryIndex()
	if !c.Class.Read {
		if p < 0 || !g.majorityReachable || g.switchingOver() {
			return 0
		}
		return 1 << p
	}
	var mask uint8
	for i := range g.members {
		if i != p && g.freshEnough(now, i, c) {
			mask |= 1 << i
		}
	}
	if p >= 0 && g.members[p].misses < missesUntilUnusable && !g.switchingOver() && g.spillsToPrimary(now, c, mask) {
		mask |= 1 << p
	}
	return mask
}

const (
	// A read that may be stale waits for the time to its deadline divided by
	// spillDivisor, but at most maxSpillDelay, for a replica to catch up with its
	// session, and only then goes to the primary. A read at the primary raises
	// the session's floor to the newest log position, so that for a while no
	// replica is fresh enough for the session.
	spillDivisor  = 10
	maxSpillDelay = 300 * time.Millisecond
	// spillThreshold is the predicted wait at the replicas above which reads use
	// the primary's slots too.
	spillThreshold = 20 * time.Millisecond
)

// spillsToPrimary reports whether a read may run at the primary in addition to
// the given replicas (bit i stands for member i). If there are replicas, the read
// may run at the primary if the predicted wait at the replicas is over
// spillThreshold. If there are none, a read without MaxAge may run at the primary
// at once, and a read with MaxAge after its spillDelay.
func (g *Group) spillsToPrimary(now time.Time, c call.Call, replicas uint8) bool {
	if replicas != 0 {
		return g.queue.PredictWait(c, replicas) > spillThreshold
	}
	if c.Class.MaxAge == 0 {
		return true
	}
	return now.Sub(c.Arrived) >= spillDelay(c)
}

// spillDelay returns how long after its arrival a read that may be stale waits
// for a replica before it may run at the primary.
func spillDelay(c call.Call) time.Duration {
	return min(c.Deadline.Sub(c.Arrived)/spillDivisor, maxSpillDelay)
}

// unparkReads lets parked reads run on the members that may serve them
// according to the newest reports.
func (g *Group) unparkReads(now time.Time) {
	for _, id := range sortedKeys(g.parked, func(*job) bool { return true }) {
		j := g.parked[id]
		if _, queued := g.waiting[id]; !queued {
			delete(g.parked, id)
			continue
		}
		if mask := g.permittedMask(now, j.call); mask != 0 {
			g.queue.SetMask(id, mask)
			delete(g.parked, id)
		}
	}
}

// freshEnough reports whether replica i may serve a read: it answers polls, is not
// leaving, does not report itself as a primary, has applied the session's floor, and
// its data is known to be no older than the read allows.
func (g *Group) freshEnough(now time.Time, i int, c call.Call) bool {
	m := g.members[i]
	r, _, ok := g.quorum.LastReport(m.name)
	if !ok || m.misses >= missesUntilUnusable || m.leaving || r.Primary {
		return false
	}
	if !r.Applied.AtLeast(c.Floor) {
		return false
	}
	age, known := g.quorum.Age(r.Applied, now)
	return known && age <= maxAge(c)
}

// defaultMaxAge limits the age of the data for a read without MaxAge. Such a read
// only has to see its session's own writes, which the session's floor ensures.
const defaultMaxAge = 10 * time.Second

// maxAge returns how old the data that a read sees may be.
func maxAge(c call.Call) time.Duration {
	if c.Class.MaxAge > 0 {
		return c.Class.MaxAge
	}
	return defaultMaxAge
}

// primaryIndex returns the index of the primary, or -1 if none is known.
func (g *Group) primaryIndex() int {
	name, _ := g.quorum.Primary()
	if i, ok := g.index[name]; ok {
		return i
	}
	return -1
}

// memberOrder returns the members in the order in which their free slots are
// granted: replicas with more free slots first, the primary last. The result is
// valid until the next call.
func (g *Group) memberOrder() []int {
	p := g.primaryIndex()
	g.pickOrder = g.pickOrder[:0]
	for i := range g.members {
		if i != p {
			g.pickOrder = append(g.pickOrder, i)
		}
	}
	slices.SortStableFunc(g.pickOrder, func(a, b int) int {
		_, freeA := g.queue.SlotCounts(a)
		_, freeB := g.queue.SlotCounts(b)
		return freeB - freeA
	})
	if p >= 0 {
		g.pickOrder = append(g.pickOrder, p)
	}
	return g.pickOrder
}

// updateMembers recomputes which members are usable and updates the queue. After a
// change of the usable members, of the primary, of the term, or of the reachability
// of a majority, it also aborts the writes of older terms and recomputes the
// permitted members of the waiting calls.
func (g *Group) updateMembers(now time.Time) {
	name, term := g.quorum.Primary()
	majority := g.reachableMembers() > len(g.members)/2
	changed := name != g.lastPrimary || term != g.lastTerm || majority != g.majorityReachable
	g.lastPrimary, g.lastTerm, g.majorityReachable = name, term, majority
	for i, m := range g.members {
		usable := m.misses < missesUntilUnusable && (!m.leaving || i == g.primaryIndex())
		changed = changed || usable != m.usable
		m.usable = usable
		g.queue.SetMember(i, usable, m.slotLimit)
	}
	if changed {
		g.abortOldTermWrites(now)
		g.updateMasks(now)
	}
}

// updateMasks recomputes the permitted members of every waiting call.
func (g *Group) updateMasks(now time.Time) {
	g.queue.UpdateMasks(func(c call.Call) uint8 { return g.permittedMask(now, c) })
}

// reachableMembers counts the members that answer polls, leaving ones included.
func (g *Group) reachableMembers() int {
	n := 0
	for _, m := range g.members {
		if m.misses < missesUntilUnusable {
			n++
		}
	}
	return n
}

// abortOldTermWrites aborts the writes and ends the writing transactions that
// began in an older term: their member no longer is the primary.
func (g *Group) abortOldTermWrites(now time.Time) {
	_, term := g.quorum.Primary()
	for _, id := range sortedKeys(g.slots, func(s *slotState) bool { return s.ready && s.term < term && s.write }) {
		s := g.slots[id]
		if s == nil {
			continue
		}
		if s.call != "" && s.call != rollbackCall {
			g.abortRun(now, id, s.call)
			continue
		}
		if s.session != "" {
			g.endTransaction(s.session)
			g.closeSlot(now, id)
		}
	}
}

// SlotOpened handles the result of opening a slot. A slot that is no longer needed
// is closed. After a failure, no slot of the member is opened until a backoff has
// passed. Failures during the backoff do not lengthen it: those slots were requested
// before it began.
func (g *Group) SlotOpened(now time.Time, slot uint64, ok bool) {
	s := g.slots[slot]
	if s == nil {
		g.effects.CloseSlot(slot)
		return
	}
	m := g.members[s.member]
	m.opening--
	if !ok {
		delete(g.slots, slot)
		if now.Before(m.openAfter) {
			return
		}
		m.openBackoff = min(max(m.openBackoff*2, minOpenBackoff), maxOpenBackoff)
		m.openAfter = now.Add(m.openBackoff)
		return
	}
	m.openBackoff = 0
	s.ready = true
	if !g.active {
		g.closeSlot(now, slot)
		return
	}
	g.queue.AddSlot(s.member, slot)
	g.dispatch(now)
}

// SlotLost handles the loss of a slot in which no call runs. If a call runs in the
// slot, SlotLost does nothing, since the result of that call reports the loss.
func (g *Group) SlotLost(now time.Time, slot uint64) {
	s := g.slots[slot]
	if s == nil || s.call != "" {
		return
	}
	if s.session != "" {
		g.endTransaction(s.session)
	}
	g.closeSlot(now, slot)
	g.openSlots(now)
}

// openSlots opens slots ahead of demand, up to the slot limit of each member that
// may get new work and is not in a backoff.
func (g *Group) openSlots(now time.Time) {
	if !g.active {
		return
	}
	for i, m := range g.members {
		if m.misses >= missesUntilUnusable || now.Before(m.openAfter) || (m.leaving && i != g.primaryIndex()) {
			continue
		}
		open, _ := g.queue.SlotCounts(i)
		for n := open + m.opening; n < m.slotLimit; n++ {
			g.lastSlotID++
			m.opening++
			g.slots[g.lastSlotID] = &slotState{member: i}
			g.effects.OpenSlot(g.lastSlotID, m.name)
		}
	}
}

// Lag returns how many confirmed entries a member has not applied yet, as the
// difference of the positions in the log.
func (g *Group) Lag(name string) uint64 {
	r, _, _ := g.quorum.LastReport(name)
	confirmed := g.quorum.Confirmed()
	if r.Applied.AtLeast(confirmed) {
		return 0
	}
	return confirmed.Position - min(r.Applied.Position, confirmed.Position)
}

// Confirmed returns the highest log position known to be confirmed.
func (g *Group) Confirmed() mark.Mark {
	return g.quorum.Confirmed()
}
