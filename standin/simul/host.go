package simul

import (
	"fmt"
	"time"

	"github.com/pistachiotray/pistachiotray/process/group"
	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/fault"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/request/result"
)

const (
	pollTimeout = 200 * time.Millisecond
	// orderTimeout limits the time of a fencing, a promotion or a rollback.
	orderTimeout = 250 * time.Millisecond
	// reachabilityTimeout is the time after which a reachability check by another
	// host fails.
	reachabilityTimeout = 220 * time.Millisecond
	dialTimeout         = 2 * time.Second
)

// host is one host that can own the group. It contains the decision code under
// test, a group.Group, and carries out its effects on the simulated members.
type host struct {
	sim     *Simulation
	number  int
	name    string
	group   *group.Group
	paused  bool
	crashed bool
	// inbox holds the events that arrived while the host was paused.
	inbox []func()
	// slots holds the member of each slot, and closed the slots that the host has
	// closed.
	slots  map[uint64]*member
	closed map[uint64]bool
}

func newHost(sm *Simulation, i int) *host {
	h := &host{sim: sm, number: i, name: fmt.Sprintf("h%d", i), slots: map[uint64]*member{}, closed: map[uint64]bool{}}
	var names []string
	for _, m := range sm.members {
		names = append(names, m.name)
	}
	options := append([]func(*group.Group){
		group.WithSlots(sm.slots),
		group.WithJitter(time.Duration(i*37) * time.Millisecond),
	}, sm.groupOptions...)
	h.group = group.New("group", names, h, options...)
	return h
}

// post runs an event f at the host. While the host is paused, f waits until the
// host resumes. A crashed host drops f.
func (h *host) post(f func()) {
	if h.crashed {
		return
	}
	if h.paused {
		h.inbox = append(h.inbox, f)
		return
	}
	f()
}

// wakeUp runs the events that arrived while the host was paused. It does nothing
// if the host is still paused.
func (h *host) wakeUp() {
	if h.paused {
		return
	}
	inbox := h.inbox
	h.inbox = nil
	for _, f := range inbox {
		h.post(f)
	}
}

func (h *host) memberNamed(name string) *member {
	for _, m := range h.sim.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

// Poll asks a member for a report after a delay.
func (h *host) Poll(name string, after time.Duration) {
	m := h.memberNamed(name)
	h.sim.after(after, func() {
		h.post(func() {
			asked := h.sim.now
			h.exchange(m, pollTimeout,
				func() any { return m.report() },
				func(r any) { h.group.Reported(h.sim.now, r.(report.Report), asked) },
				func() { h.group.PollFailed(h.sim.now, name) })
		})
	})
}

// exchange runs do at a member and passes its answer to onAnswer. If no answer
// arrives before the timeout, it calls onTimeout instead; do may still run later.
func (h *host) exchange(m *member, timeout time.Duration, do func() any, onAnswer func(any), onTimeout func()) {
	finished := false
	h.sim.after(h.sim.delay(), func() {
		m.receive(h.name, func() {
			answer := do()
			h.sim.after(h.sim.delay(), func() {
				if finished || h.sim.partitioned(h.name, m.name) {
					return
				}
				finished = true
				h.post(func() { onAnswer(answer) })
			})
		})
	})
	h.sim.after(timeout, func() {
		if !finished {
			finished = true
			h.post(onTimeout)
		}
	})
}

// Fence asks a member to grant a term, after which it no longer acts as the
// primary of an earlier one.
func (h *host) Fence(name string, term uint64) {
	m := h.memberNamed(name)
	type answer struct {
		ok bool
		r  report.Report
	}
	h.exchange(m, orderTimeout,
		func() any { return answer{m.fence(term, h.name), m.report()} },
		func(a any) {
			granted := a.(answer)
			if !granted.ok {
				h.group.Denied(h.sim.now, name, granted.r.Term)
				return
			}
			h.group.Granted(h.sim.now, name, term, h.sim.grantedMark(granted.r))
		},
		func() { h.group.Denied(h.sim.now, name, 0) })
}

// Promote makes a member the primary of a term.
func (h *host) Promote(name string, term uint64) {
	m := h.memberNamed(name)
	h.exchange(m, orderTimeout,
		func() any { return m.promote(term, h.name) },
		func(a any) { h.group.Promoted(h.sim.now, name, term, a.(bool)) },
		func() { h.group.Promoted(h.sim.now, name, term, false) })
}

// CheckReachability asks two other hosts whether they reach a member.
func (h *host) CheckReachability(name string) {
	m := h.memberNamed(name)
	for i := range 2 {
		witness := fmt.Sprintf("w%d", i)
		if h.sim.partitioned(h.name, witness) || h.sim.partitioned(witness, m.name) {
			h.sim.after(reachabilityTimeout, func() { h.post(func() { h.group.ReachabilityChecked(h.sim.now, false) }) })
			continue
		}
		h.sim.after(4*h.sim.delay(), func() { h.post(func() { h.group.ReachabilityChecked(h.sim.now, true) }) })
	}
}

// OpenSlot opens a slot to a member.
func (h *host) OpenSlot(slot uint64, name string) {
	m := h.memberNamed(name)
	h.slots[slot] = m
	h.exchange(m, dialTimeout,
		func() any { return h.closed[slot] || m.open(slotKey{h.number, slot}) },
		func(a any) {
			ok := a.(bool) && !h.closed[slot]
			h.sim.after(h.sim.connectTime, func() { h.post(func() { h.group.SlotOpened(h.sim.now, slot, ok) }) })
		},
		func() { h.group.SlotOpened(h.sim.now, slot, false) })
}

// CloseSlot closes a slot.
func (h *host) CloseSlot(slot uint64) {
	h.closed[slot] = true
	m := h.slots[slot]
	if m == nil {
		return
	}
	h.sim.after(h.sim.delay(), func() {
		m.receive(h.name, func() { m.close(slotKey{h.number, slot}) })
	})
}

// Run sends a call through a slot. A call in flight to a partitioned member arrives
// once the partition ends, even if the slot was closed meanwhile.
func (h *host) Run(slot uint64, c call.Call) {
	h.runInSlot(slot, c, func(m *member, s *memberSlot) runResult { return m.execute(s, c) })
}

// ResolveKey determines the outcome of a call's idempotency key at the member of a
// slot. The member withdraws the key if the call did not run.
func (h *host) ResolveKey(slot uint64, c call.Call) {
	h.runInSlot(slot, c, func(m *member, s *memberSlot) runResult { return m.resolveKey(s, c) })
}

// runInSlot runs a call at the member of a slot for the run time of its request.
// If the member no longer has the slot, the group receives the result Lost, but
// the call still takes effect, as it may at a real database.
func (h *host) runInSlot(slot uint64, c call.Call, execute func(*member, *memberSlot) runResult) {
	m := h.slots[slot]
	p := h.sim.requests[c.ID]
	runTime := time.Duration(0)
	if p != nil {
		runTime = p.runTime
	}
	h.sim.after(h.sim.delay(), func() {
		m.receive(h.name, func() {
			s := m.slots[slotKey{h.number, slot}]
			if s == nil {
				s = &memberSlot{closed: true}
				h.post(func() { h.group.RunFinished(h.sim.now, slot, c.ID, result.Result{Failure: result.Lost}) })
			}
			s.running = c.ID
			h.sim.after(runTime, func() { h.finishRun(m, s, slot, c, execute) })
		})
	})
}

// finishRun applies a call's effect at the member, unless the call was interrupted.
// It then sends the result to the group. The result does not arrive if the host has
// closed the slot or can't reach the member.
func (h *host) finishRun(m *member, s *memberSlot, slot uint64, c call.Call, execute func(*member, *memberSlot) runResult) {
	if s.running != c.ID {
		return
	}
	s.running = ""
	run := execute(m, s)
	h.sim.after(h.sim.delay(), func() {
		if h.closed[slot] || h.sim.partitioned(h.name, m.name) {
			return
		}
		h.sim.recordRun(c.ID, m, run)
		h.post(func() { h.group.RunFinished(h.sim.now, slot, c.ID, run.result) })
	})
}

// Rollback rolls back a slot's transaction. It fails if the member no longer has
// the slot or does not answer in time.
func (h *host) Rollback(slot uint64) {
	m := h.slots[slot]
	h.exchange(m, orderTimeout,
		func() any {
			s := m.slots[slotKey{h.number, slot}]
			if s == nil {
				return false
			}
			s.inTransaction, s.failed, s.writes = false, false, nil
			return true
		},
		func(a any) { h.group.RolledBack(h.sim.now, slot, a.(bool)) },
		func() { h.group.RolledBack(h.sim.now, slot, false) })
}

// Interrupt cancels a call if it still runs in the slot. A canceled call has no
// effect.
func (h *host) Interrupt(slot uint64, running string) {
	m := h.slots[slot]
	if m == nil {
		return
	}
	h.sim.after(h.sim.delay(), func() {
		m.receive(h.name, func() {
			s := m.slots[slotKey{h.number, slot}]
			if s == nil || s.running != running {
				return
			}
			id := s.running
			s.running = ""
			run := m.answer(s, true, false)
			h.sim.after(h.sim.delay(), func() {
				if !h.closed[slot] && !h.sim.partitioned(h.name, m.name) {
					h.sim.recordRun(id, m, run)
					h.post(func() { h.group.RunFinished(h.sim.now, slot, id, run.result) })
				}
			})
		})
	})
}

// Reply delivers an answer to its session.
func (h *host) Reply(id string, seen mark.Mark, status byte, earlierAnswer bool) {
	h.sim.replied(h, id, seen, status, earlierAnswer)
}

// Refuse delivers a fault to its session.
func (h *host) Refuse(id string, f *fault.Fault) {
	h.sim.refused(h, id, f)
}

// Resume does nothing: simulated answers are never sent in chunks.
func (h *host) Resume(string) {}

// Elected does nothing: the members already follow the new primary.
func (h *host) Elected(string, uint64) {}

// Note does nothing: the simulation keeps no notes for operators.
func (h *host) Note(string, string, string) {}

// grantedMark returns the log position that a fenced member reports to the host:
// the last one it received, or zero with DefectMarks.
func (sm *Simulation) grantedMark(r report.Report) mark.Mark {
	if sm.defect == DefectMarks {
		return mark.Mark{}
	}
	return r.Received
}
