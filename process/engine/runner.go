package engine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/ctrl"
	"github.com/pistachiotray/pistachiotray/connection/slot"
	"github.com/pistachiotray/pistachiotray/process/group"
	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/fault"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/request/result"
)

const (
	// pollTimeout is the longest wait for a member's report.
	pollTimeout = 200 * time.Millisecond
	// orderTimeout is the longest wait for a member's answer to a fence or to a
	// promotion.
	orderTimeout = 250 * time.Millisecond
	// reachTimeout is the longest wait for the reachability checks of a member by
	// other hosts.
	reachTimeout = 220 * time.Millisecond
	// dialTimeout is the longest time that opening a slot may take.
	dialTimeout = 2 * time.Second
	// callerTimeout is the longest wait for a caller to read its answer or to send
	// its COPY data.
	callerTimeout = 5 * time.Second
	// idleCheckInterval is the time between two liveness checks of an idle slot.
	idleCheckInterval = 10 * time.Second
	// commandBuffer is the number of commands that may wait for a slot's
	// goroutine.
	commandBuffer = 8
)

// groupRunner holds one group's state at this host and carries out the effects
// that the group's decisions require. In the lock order, mu comes before slotsMu.
type groupRunner struct {
	engine *Engine
	name   string
	// addresses and controls are the connection strings and the control
	// connections of the members, by member name.
	addresses map[string]string
	controls  map[string]*ctrl.Control

	// mu protects group.
	mu    sync.Mutex
	group *group.Group
	// idle is true while the group needs no tick at the short interval.
	idle atomic.Bool

	// slotsMu protects slots, which are kept by slot id.
	slotsMu sync.Mutex
	slots   map[uint64]*slotRunner
}

// slotRunner is the state of the goroutine that opens one slot and runs commands
// on its connection.
type slotRunner struct {
	commands chan func(*slot.Slot)
	cancel   context.CancelFunc
	ctx      context.Context
	// mu protects slot and closed.
	mu     sync.Mutex
	slot   *slot.Slot
	closed bool
}

func newGroupRunner(e *Engine, name string, names, addresses, controls []string, slots int) *groupRunner {
	gr := &groupRunner{
		engine: e, name: name, addresses: map[string]string{},
		controls: map[string]*ctrl.Control{}, slots: map[uint64]*slotRunner{},
	}
	for i, n := range names {
		gr.addresses[n] = addresses[i]
		gr.controls[n] = ctrl.New(n, controls[i], e.host)
	}
	options := append([]func(*group.Group){group.WithSlots(slots)}, e.groupOptions...)
	gr.group = group.New(name, names, gr, options...)
	return gr
}

// withGroup runs f on the group while it holds the group's lock.
func (gr *groupRunner) withGroup(f func(*group.Group, time.Time)) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	f(gr.group, gr.engine.now())
}

// submit queues f to run on a worker, under the group's lock.
func (gr *groupRunner) submit(f func(*group.Group, time.Time)) {
	gr.engine.pool.Submit(func() { gr.withGroup(f) })
}

// tick ticks the group and records whether it is idle now.
func (gr *groupRunner) tick() {
	gr.withGroup(func(g *group.Group, now time.Time) {
		g.Tick(now)
		gr.idle.Store(g.Quiescent())
	})
}

// close closes all slots and control connections.
func (gr *groupRunner) close() {
	gr.slotsMu.Lock()
	for id, sr := range gr.slots {
		sr.close()
		delete(gr.slots, id)
	}
	gr.slotsMu.Unlock()
	for _, c := range gr.controls {
		c.Close()
	}
}

func (gr *groupRunner) slotByID(id uint64) *slotRunner {
	gr.slotsMu.Lock()
	defer gr.slotsMu.Unlock()
	return gr.slots[id]
}

// onSlot queues f for the slot's goroutine and reports whether it did. It never
// blocks: f is dropped if the slot is closed or has too many waiting commands.
func (gr *groupRunner) onSlot(id uint64, f func(*slot.Slot)) bool {
	sr := gr.slotByID(id)
	if sr == nil {
		return false
	}
	select {
	case sr.commands <- f:
		return true
	default:
		return false
	}
}

// Run runs a call in a slot. A request that is no longer in progress counts as
// unsent.
func (gr *groupRunner) Run(id uint64, c call.Call) {
	r := gr.engine.request(c.ID)
	if r == nil {
		gr.submit(func(g *group.Group, now time.Time) {
			g.RunFinished(now, id, c.ID, result.Result{Failure: result.Unsent})
		})
		return
	}
	run := r.answer.Begin()
	gr.onSlot(id, func(s *slot.Slot) {
		sink := &answerSink{runner: gr, slot: id, id: c.ID, answer: r.answer, run: run}
		res := s.Run(gr.slotContext(id), c, sink)
		gr.submit(func(g *group.Group, now time.Time) { g.RunFinished(now, id, c.ID, res) })
	})
}

// slotContext returns the context of a slot, a canceled one if the slot is
// closed.
func (gr *groupRunner) slotContext(id uint64) context.Context {
	if sr := gr.slotByID(id); sr != nil {
		return sr.ctx
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// ResolveKey uses a slot to look a call's idempotency key up in the marker table, and
// withdraws the key if it is not there.
func (gr *groupRunner) ResolveKey(id uint64, c call.Call) {
	r := gr.engine.request(c.ID)
	if r == nil {
		return
	}
	run := r.answer.Begin()
	gr.onSlot(id, func(s *slot.Slot) {
		res := s.ResolveOutcome(c, &answerSink{runner: gr, slot: id, id: c.ID, answer: r.answer, run: run})
		gr.submit(func(g *group.Group, now time.Time) { g.RunFinished(now, id, c.ID, res) })
	})
}

// Rollback rolls back a slot's transaction.
func (gr *groupRunner) Rollback(id uint64) {
	gr.onSlot(id, func(s *slot.Slot) {
		ok := s.Rollback()
		gr.submit(func(g *group.Group, now time.Time) { g.RolledBack(now, id, ok) })
	})
}

// Interrupt cancels the call with this id if it still runs in the slot. It does not
// wait for the cancellation.
func (gr *groupRunner) Interrupt(id uint64, callID string) {
	sr := gr.slotByID(id)
	if sr == nil {
		return
	}
	sr.mu.Lock()
	s := sr.slot
	sr.mu.Unlock()
	if s != nil {
		go func() { _ = s.Cancel(context.Background(), callID) }()
	}
}

// OpenSlot starts the goroutine that opens a slot to a member and runs commands on
// it.
func (gr *groupRunner) OpenSlot(id uint64, member string) {
	ctx, cancel := context.WithCancel(context.Background())
	sr := &slotRunner{commands: make(chan func(*slot.Slot), commandBuffer), cancel: cancel, ctx: ctx}
	gr.slotsMu.Lock()
	gr.slots[id] = sr
	gr.slotsMu.Unlock()
	go gr.runSlot(sr, id, member)
}

// runSlot opens a slot and runs its commands until the slot is closed or a liveness
// check fails.
func (gr *groupRunner) runSlot(sr *slotRunner, id uint64, member string) {
	ctx, stop := context.WithTimeout(sr.ctx, dialTimeout)
	s, err := slot.New(ctx, member, gr.addresses[member])
	stop()
	ok := err == nil && sr.setSlot(s)
	if err != nil {
		gr.engine.log.Debug("opening a slot failed", zap.String("Group", gr.name), zap.String("Member", member), zap.Error(err))
	}
	gr.submit(func(g *group.Group, now time.Time) { g.SlotOpened(now, id, ok) })
	if !ok {
		return
	}
	defer s.Close()
	check := time.NewTimer(idleCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-sr.ctx.Done():
			return
		case f := <-sr.commands:
			f(s)
			check.Reset(idleCheckInterval)
		case <-check.C:
			if !s.Alive() {
				gr.submit(func(g *group.Group, now time.Time) { g.SlotLost(now, id) })
				return
			}
			check.Reset(idleCheckInterval)
		}
	}
}

// setSlot sets the opened slot. If the runner was closed meanwhile it closes the
// slot and returns false.
func (sr *slotRunner) setSlot(s *slot.Slot) bool {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	if sr.closed {
		s.Close()
		return false
	}
	sr.slot = s
	return true
}

func (sr *slotRunner) close() {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.closed = true
	sr.cancel()
	if sr.slot != nil {
		sr.slot.Close()
	}
}

// CloseSlot closes a slot.
func (gr *groupRunner) CloseSlot(id uint64) {
	gr.slotsMu.Lock()
	sr := gr.slots[id]
	delete(gr.slots, id)
	gr.slotsMu.Unlock()
	if sr != nil {
		sr.close()
	}
}

// Reply finishes the answer of a call and releases it to the caller. If
// earlierAnswer is true, the buffered answer of the previous run is released.
func (gr *groupRunner) Reply(id string, seen mark.Mark, status byte, earlierAnswer bool) {
	if r := gr.engine.removeRequest(id); r != nil {
		r.answer.Finish(seen, status, earlierAnswer)
	}
}

// Refuse passes the group's refusal of a call to the engine, which retries the
// request or ends its answer with the fault.
func (gr *groupRunner) Refuse(id string, f *fault.Fault) {
	gr.engine.Refused(id, f)
}

// Resume releases the chunk of a call's answer that was read so far, so that the
// slot can continue reading.
func (gr *groupRunner) Resume(id string) {
	if r := gr.engine.request(id); r != nil {
		r.answer.Release()
	}
}

// Poll requests a report from a member after a delay.
func (gr *groupRunner) Poll(member string, after time.Duration) {
	if after == 0 {
		go gr.pollMember(member)
		return
	}
	time.AfterFunc(after, func() { gr.pollMember(member) })
}

// pollMember requests a report from a member and passes it to the group. It blocks
// for up to pollTimeout.
func (gr *groupRunner) pollMember(member string) {
	ctx, stop := context.WithTimeout(context.Background(), pollTimeout)
	defer stop()
	r, asked, err := gr.controls[member].Poll(ctx)
	gr.submit(func(g *group.Group, now time.Time) {
		if err != nil {
			g.PollFailed(now, member)
			return
		}
		g.Reported(now, r, asked)
	})
}

// CheckReachability asks other hosts whether they reach a member that this host
// can't reach.
func (gr *groupRunner) CheckReachability(member string) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), reachTimeout)
		defer stop()
		gr.engine.links.CheckReach(ctx, gr.name, member, func(reached bool) {
			gr.submit(func(g *group.Group, now time.Time) { g.ReachabilityChecked(now, reached) })
		})
	}()
}

// Fence asks a member to promise that it will follow no term below the given one.
func (gr *groupRunner) Fence(member string, term uint64) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), orderTimeout)
		defer stop()
		r, err := gr.controls[member].Fence(ctx, term)
		gr.submit(func(g *group.Group, now time.Time) {
			if err != nil || r.Term != term {
				g.Denied(now, member, r.Term)
				return
			}
			g.Granted(now, member, term, r.Received)
		})
	}()
}

// Promote makes a member the primary of a term.
func (gr *groupRunner) Promote(member string, term uint64) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), orderTimeout)
		defer stop()
		r, err := gr.controls[member].Promote(ctx, term)
		ok := err == nil && r.Primary && r.Term == term
		gr.submit(func(g *group.Group, now time.Time) { g.Promoted(now, member, term, ok) })
	}()
}

// Elected logs and records a change of primary.
func (gr *groupRunner) Elected(member string, term uint64) {
	gr.engine.log.Info("primary replaced", zap.String("Group", gr.name), zap.String("Primary", member), zap.Uint64("Term", term))
	gr.engine.recorder.Changed(gr.name, member, term)
}

// Note records a decision for the command explain.
func (gr *groupRunner) Note(id, session, text string) {
	gr.engine.recorder.Note(gr.name, id, session, text)
}
