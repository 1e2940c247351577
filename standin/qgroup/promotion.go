package qgroup

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/request/mark"
)

// ErrFenced is returned for a promotion order whose token is lower than that of
// an order accepted before, or whose target is unknown or stopped.
var ErrFenced = errors.New("the order's token is too low")

// Order orders the promotion of a member and returns at once. An accepted order is
// carried out after the promotion time. An order that DelayOrder delays gets no
// answer: Order then waits until the context ends.
func (g *Group) Order(ctx context.Context, id string, token uint64) error {
	g.mu.Lock()
	if len(g.orderDelays) > 0 {
		d := g.orderDelays[0]
		g.orderDelays = g.orderDelays[1:]
		g.mu.Unlock()
		time.AfterFunc(d, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			// The caller gets no answer, so a refusal is not reported.
			_ = g.acceptOrder(id, token)
		})
		<-ctx.Done()
		return ctx.Err()
	}
	defer g.mu.Unlock()
	return g.acceptOrder(id, token)
}

// acceptOrder checks an order's token and target, and schedules the promotion; the
// caller holds the lock.
func (g *Group) acceptOrder(id string, token uint64) error {
	m := g.memberByID(id)
	if token < g.highestToken || m == nil || !m.up {
		return ErrFenced
	}
	g.highestToken = token
	g.orders = append(g.orders, id)
	if !m.leads {
		time.AfterFunc(g.promoteTime, func() { g.promote(m) })
	}
	return nil
}

// promote makes a member lead the next term with the log that it has received. The
// log of each other member is truncated to the prefix that it shares with this
// log. promote does nothing if the member is down or already leads.
func (g *Group) promote(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !m.up || m.leads {
		return
	}
	g.term++
	for _, o := range g.members {
		if o.leads || o == m {
			o.minApplied = len(o.log)
		}
		o.leads, o.demoted = o == m, false
		o.pauseTerm = 0
		o.term = g.term
		if o != m && !isPrefix(o.log, m.log) {
			o.log = append([]entry(nil), m.log[:min(len(m.log), commonPrefix(o.log, m.log))]...)
		}
		o.notify()
	}
	g.scheduleShipping()
}

// commonPrefix returns the length of the longest common prefix of two logs.
func commonPrefix(a, b []entry) int {
	n := 0
	for n < len(a) && n < len(b) && a[n].mark == b[n].mark {
		n++
	}
	return n
}

// isPrefix reports whether log a is a prefix of log b.
func isPrefix(a, b []entry) bool {
	return commonPrefix(a, b) == len(a)
}

// scheduleShipping sends the leader's log to the replicas after the shipping
// delay; the caller holds the lock.
func (g *Group) scheduleShipping() {
	for _, m := range g.members {
		if term := m.term; g.acknowledges(m) {
			time.AfterFunc(g.shipDelay, func() { g.shipLog(m, term) })
		}
	}
}

// shipLog copies the leader's log to the replicas that accept entries from it. It
// does nothing if the leader is down or silent, or no longer leads the term in
// which the shipping was scheduled.
func (g *Group) shipLog(leader *member, term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.acknowledges(leader) || leader.term != term || leader.silent {
		return
	}
	for _, m := range g.members {
		if m == leader || !m.up || m.silent || m.receiveBlocked || m.pauseTerm > term && !g.ignoresPause(m) {
			continue
		}
		if n := commonPrefix(m.log, leader.log); n < len(leader.log) {
			m.log = append(m.log[:n:n], leader.log[n:]...)
			for i := range m.log[n:] {
				m.log[n+i].receivedAt = time.Now()
			}
		}
	}
	leader.notify()
}

// ignoresPause reports whether BreakPause makes a member continue to receive after
// it reported that it stopped. Only the last member does so: if all
// members did, the next leader would miss no entry and the checks would have
// nothing to detect.
func (g *Group) ignoresPause(m *member) bool {
	return g.brokenPromise == BreakPause && m == g.members[len(g.members)-1]
}

// onReplica reports whether a replica has the entry at a log position; the caller
// holds the lock. With BreakDurability it always returns true.
func (g *Group) onReplica(leader *member, at mark.Mark) bool {
	if g.brokenPromise == BreakDurability {
		return true
	}
	for _, m := range g.members {
		if m != leader && m.contains(at) {
			return true
		}
	}
	return false
}

// reportedMark returns the position that a member reports to have received; the caller holds the
// lock. With BreakDurability it is the last one of any member that runs.
func (g *Group) reportedMark(m *member) mark.Mark {
	last := m.lastMark()
	if g.brokenPromise == BreakDurability {
		for _, o := range g.members {
			if o.up {
				last = last.Max(o.lastMark())
			}
		}
	}
	return last
}
