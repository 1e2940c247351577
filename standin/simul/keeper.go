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
	pollTimeout  = 200 * time.Millisecond
	orderTimeout = 250 * time.Millisecond
	sightTimeout = 220 * time.Millisecond
	dialTimeout  = 2 * time.Second
)

// keeper is one host that can own the group: the group under test with fakes
// of what carries out its effects.
type keeper struct {
	world  *Simulation
	number int
	name   string
	group  *group.Group
	paused bool
	dead   bool
	inbox  []func()
	slots  map[uint64]*fake
	hung   map[uint64]bool
}

func newKeeper(w *Simulation, i int) *keeper {
	k := &keeper{world: w, number: i, name: fmt.Sprintf("h%d", i), slots: map[uint64]*fake{}, hung: map[uint64]bool{}}
	var names []string
	for _, m := range w.members {
		names = append(names, m.name)
	}
	options := append([]func(*group.Group){
		group.WithSlots(w.slots),
		group.WithJitter(time.Duration(i*37) * time.Millisecond),
	}, w.groupOptions...)
	k.group = group.New("group", names, k, options...)
	return k
}

// post has the host take an event now, or once it runs again.
func (k *keeper) post(f func()) {
	if k.dead {
		return
	}
	if k.paused {
		k.inbox = append(k.inbox, f)
		return
	}
	f()
}

func (k *keeper) wakeUp() {
	if k.paused {
		return
	}
	inbox := k.inbox
	k.inbox = nil
	for _, f := range inbox {
		k.post(f)
	}
}

func (k *keeper) member(name string) *fake {
	for _, m := range k.world.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

// Poll asks a member for a report after a delay.
func (k *keeper) Poll(name string, after time.Duration) {
	m := k.member(name)
	k.world.after(after, func() {
		k.post(func() {
			asked := k.world.now
			k.exchange(m, pollTimeout,
				func() any { return m.report() },
				func(r any) { k.group.Reported(k.world.now, r.(report.Report), asked) },
				func() { k.group.PollFailed(k.world.now, name) })
		})
	})
}

// exchange has a member do something and takes its answer, or tells that none
// came in time.
func (k *keeper) exchange(m *fake, timeout time.Duration, do func() any, take func(any), late func()) {
	over := false
	k.world.after(k.world.delay(), func() {
		m.receive(k.name, func() {
			answer := do()
			k.world.after(k.world.delay(), func() {
				if over || k.world.apart(k.name, m.name) {
					return
				}
				over = true
				k.post(func() { take(answer) })
			})
		})
	})
	k.world.after(timeout, func() {
		if !over {
			over = true
			k.post(late)
		}
	})
}

// Fence asks a member to promise a term.
func (k *keeper) Fence(name string, term uint64) {
	m := k.member(name)
	type answer struct {
		ok bool
		r  report.Report
	}
	k.exchange(m, orderTimeout,
		func() any { return answer{m.fence(term, k.name), m.report()} },
		func(a any) {
			got := a.(answer)
			if !got.ok {
				k.group.Denied(k.world.now, name, got.r.Term)
				return
			}
			k.group.Granted(k.world.now, name, term, k.world.granted(got.r))
		},
		func() { k.group.Denied(k.world.now, name, 0) })
}

// Promote makes a member the primary of a term.
func (k *keeper) Promote(name string, term uint64) {
	m := k.member(name)
	k.exchange(m, orderTimeout,
		func() any { return m.promote(term, k.name) },
		func(a any) { k.group.Promoted(k.world.now, name, term, a.(bool)) },
		func() { k.group.Promoted(k.world.now, name, term, false) })
}

// CheckReachability asks two other hosts whether they reach a member.
func (k *keeper) CheckReachability(name string) {
	m := k.member(name)
	for i := range 2 {
		witness := fmt.Sprintf("w%d", i)
		if k.world.apart(k.name, witness) || k.world.apart(witness, m.name) {
			k.world.after(sightTimeout, func() { k.post(func() { k.group.ReachabilityChecked(k.world.now, false) }) })
			continue
		}
		k.world.after(4*k.world.delay(), func() { k.post(func() { k.group.ReachabilityChecked(k.world.now, true) }) })
	}
}

// OpenSlot opens a slot to a member.
func (k *keeper) OpenSlot(slot uint64, name string) {
	m := k.member(name)
	k.slots[slot] = m
	k.exchange(m, dialTimeout,
		func() any { return k.hung[slot] || m.open(slotKey{k.number, slot}) },
		func(a any) {
			ok := a.(bool) && !k.hung[slot]
			k.world.after(k.world.connect, func() { k.post(func() { k.group.SlotOpened(k.world.now, slot, ok) }) })
		},
		func() { k.group.SlotOpened(k.world.now, slot, false) })
}

// CloseSlot closes a slot.
func (k *keeper) CloseSlot(slot uint64) {
	k.hung[slot] = true
	m := k.slots[slot]
	if m == nil {
		return
	}
	k.world.after(k.world.delay(), func() {
		m.receive(k.name, func() { m.close(slotKey{k.number, slot}) })
	})
}

// Run sends a call through a slot. What is on its way to a member that is cut
// off arrives there once the cut ends, even where the slot was closed.
func (k *keeper) Run(slot uint64, c call.Call) {
	k.send(slot, c, func(m *fake, s *fakeSlot) outcome { return m.execute(s, c) })
}

// Settle finds out whether a call's key is in the log.
func (k *keeper) Settle(slot uint64, c call.Call) {
	k.send(slot, c, func(m *fake, s *fakeSlot) outcome { return m.settle(s, c) })
}

func (k *keeper) send(slot uint64, c call.Call, execute func(*fake, *fakeSlot) outcome) {
	m := k.slots[slot]
	p := k.world.calls[c.ID]
	takes := time.Duration(0)
	if p != nil {
		takes = p.takes
	}
	k.world.after(k.world.delay(), func() {
		m.receive(k.name, func() {
			s := m.slots[slotKey{k.number, slot}]
			if s == nil {
				s = &fakeSlot{stopped: true}
				k.post(func() { k.group.RunFinished(k.world.now, slot, c.ID, result.Result{Failure: result.Lost}) })
			}
			s.running = c.ID
			k.world.after(takes, func() { k.finish(m, s, slot, c, execute) })
		})
	})
}

func (k *keeper) finish(m *fake, s *fakeSlot, slot uint64, c call.Call, execute func(*fake, *fakeSlot) outcome) {
	if s.running != c.ID {
		return
	}
	s.running = ""
	out := execute(m, s)
	k.world.after(k.world.delay(), func() {
		if k.hung[slot] || k.world.apart(k.name, m.name) {
			return
		}
		k.world.ran(c.ID, m, out)
		k.post(func() { k.group.RunFinished(k.world.now, slot, c.ID, out.result) })
	})
}

// Rollback ends a slot's transaction.
func (k *keeper) Rollback(slot uint64) {
	m := k.slots[slot]
	k.exchange(m, orderTimeout,
		func() any {
			s := m.slots[slotKey{k.number, slot}]
			if s == nil {
				return false
			}
			s.open, s.failed, s.wrote = false, false, nil
			return true
		},
		func(a any) { k.group.RolledBack(k.world.now, slot, a.(bool)) },
		func() { k.group.RolledBack(k.world.now, slot, false) })
}

// Interrupt cancels what runs in a slot: it ends without effect.
func (k *keeper) Interrupt(slot uint64, running string) {
	m := k.slots[slot]
	if m == nil {
		return
	}
	k.world.after(k.world.delay(), func() {
		m.receive(k.name, func() {
			s := m.slots[slotKey{k.number, slot}]
			if s == nil || s.running != running {
				return
			}
			id := s.running
			s.running = ""
			out := m.answer(s, true, false)
			k.world.after(k.world.delay(), func() {
				if !k.hung[slot] && !k.world.apart(k.name, m.name) {
					k.world.ran(id, m, out)
					k.post(func() { k.group.RunFinished(k.world.now, slot, id, out.result) })
				}
			})
		})
	})
}

// Reply passes an answer on to its session.
func (k *keeper) Reply(id string, seen mark.Mark, status byte, held bool) {
	k.world.replied(k, id, seen, status, held)
}

// Refuse passes a fault on to its session.
func (k *keeper) Refuse(id string, f *fault.Fault) {
	k.world.refused(k, id, f)
}

// Resume does nothing: the fakes' answers are short.
func (k *keeper) Resume(string) {}

// Elected does nothing: the members know.
func (k *keeper) Elected(string, uint64) {}

// Note does nothing.
func (k *keeper) Note(string, string, string) {}

// granted returns what a member says that it holds as it is fenced.
func (w *Simulation) granted(r report.Report) mark.Mark {
	if w.lie == DefectMarks {
		return mark.Mark{}
	}
	return r.Received
}
