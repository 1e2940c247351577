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
	"github.com/pistachiotray/pistachiotray/request/answer"
	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/fault"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/request/result"
)

const (
	// pollTimeout bounds the wait for a member's report.
	pollTimeout = 200 * time.Millisecond
	// orderTimeout bounds the wait for a member to be fenced or promoted.
	orderTimeout = 250 * time.Millisecond
	// sightTimeout bounds the wait for other hosts' opinions.
	sightTimeout = 220 * time.Millisecond
	// dialTimeout bounds the opening of a slot.
	dialTimeout = 2 * time.Second
	// readTimeout bounds the wait for a caller that does not read.
	readTimeout = 5 * time.Second
	// idleCheck is how often an idle slot is looked at.
	idleCheck = 10 * time.Second
	// commandsKept is how many commands may wait for a slot's goroutine.
	commandsKept = 8
)

// owned is one group at this host with what carries out its effects. Its lock
// is that of the group; its slots' lock comes after it.
type owned struct {
	engine   *Engine
	name     string
	address  map[string]string
	controls map[string]*ctrl.Control

	mu   sync.Mutex
	g    *group.Group
	idle atomic.Bool

	slotsMu sync.Mutex
	slots   map[uint64]*line
}

// line is the goroutine that moves one slot's bytes.
type line struct {
	commands chan func(*slot.Slot)
	stop     context.CancelFunc
	ctx      context.Context
	mu       sync.Mutex
	slot     *slot.Slot
	closed   bool
}

func newOwned(e *Engine, name string, names, addresses, controls []string, slots int) *owned {
	o := &owned{
		engine: e, name: name, address: map[string]string{},
		controls: map[string]*ctrl.Control{}, slots: map[uint64]*line{},
	}
	for i, n := range names {
		o.address[n] = addresses[i]
		o.controls[n] = ctrl.New(n, controls[i], e.host)
	}
	options := append([]func(*group.Group){group.WithSlots(slots)}, e.options...)
	o.g = group.New(name, names, o, options...)
	return o
}

// with runs f on the group under its lock.
func (o *owned) with(f func(*group.Group, time.Time)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(o.g, o.engine.now())
}

// submit has a worker run f on the group.
func (o *owned) submit(f func(*group.Group, time.Time)) {
	o.engine.pool.Submit(func() { o.with(f) })
}

func (o *owned) tick() {
	o.with(func(g *group.Group, now time.Time) {
		g.Tick(now)
		o.idle.Store(g.Quiescent())
	})
}

func (o *owned) close() {
	o.slotsMu.Lock()
	for id, l := range o.slots {
		l.hang()
		delete(o.slots, id)
	}
	o.slotsMu.Unlock()
	for _, c := range o.controls {
		c.Close()
	}
}

func (o *owned) line(id uint64) *line {
	o.slotsMu.Lock()
	defer o.slotsMu.Unlock()
	return o.slots[id]
}

// command has the slot's goroutine run f; it never waits.
func (o *owned) command(id uint64, f func(*slot.Slot)) bool {
	l := o.line(id)
	if l == nil {
		return false
	}
	select {
	case l.commands <- f:
		return true
	default:
		return false
	}
}

// Run sends a call through a slot.
func (o *owned) Run(id uint64, c call.Call) {
	r := o.engine.request(c.ID)
	if r == nil {
		o.submit(func(g *group.Group, now time.Time) {
			g.RunFinished(now, id, c.ID, result.Result{Failure: result.Unsent})
		})
		return
	}
	run := r.answer.Begin()
	o.command(id, func(s *slot.Slot) {
		out := &intake{owned: o, slot: id, id: c.ID, answer: r.answer, run: run}
		res := s.Run(o.context(id), c, out)
		o.submit(func(g *group.Group, now time.Time) { g.RunFinished(now, id, c.ID, res) })
	})
}

func (o *owned) context(id uint64) context.Context {
	if l := o.line(id); l != nil {
		return l.ctx
	}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	return ctx
}

// Settle finds out whether a call's key is in the marker table.
func (o *owned) Settle(id uint64, c call.Call) {
	r := o.engine.request(c.ID)
	if r == nil {
		return
	}
	run := r.answer.Begin()
	o.command(id, func(s *slot.Slot) {
		res := s.Settle(c, &intake{owned: o, slot: id, id: c.ID, answer: r.answer, run: run})
		o.submit(func(g *group.Group, now time.Time) { g.RunFinished(now, id, c.ID, res) })
	})
}

// Rollback ends a slot's transaction.
func (o *owned) Rollback(id uint64) {
	o.command(id, func(s *slot.Slot) {
		ok := s.Rollback()
		o.submit(func(g *group.Group, now time.Time) { g.RolledBack(now, id, ok) })
	})
}

// Interrupt cancels a call that runs in a slot.
func (o *owned) Interrupt(id uint64, running string) {
	l := o.line(id)
	if l == nil {
		return
	}
	l.mu.Lock()
	s := l.slot
	l.mu.Unlock()
	if s != nil {
		go func() { _ = s.Cancel(context.Background(), running) }()
	}
}

// OpenSlot opens a slot to a member.
func (o *owned) OpenSlot(id uint64, member string) {
	ctx, stop := context.WithCancel(context.Background())
	l := &line{commands: make(chan func(*slot.Slot), commandsKept), stop: stop, ctx: ctx}
	o.slotsMu.Lock()
	o.slots[id] = l
	o.slotsMu.Unlock()
	go o.runLine(l, id, member)
}

func (o *owned) runLine(l *line, id uint64, member string) {
	ctx, stop := context.WithTimeout(l.ctx, dialTimeout)
	s, err := slot.New(ctx, member, o.address[member])
	stop()
	ok := err == nil && l.adopt(s)
	if err != nil {
		o.engine.log.Debug("slot refused", zap.String("Group", o.name), zap.String("Member", member), zap.Error(err))
	}
	o.submit(func(g *group.Group, now time.Time) { g.SlotOpened(now, id, ok) })
	if !ok {
		return
	}
	defer s.Close()
	check := time.NewTimer(idleCheck)
	defer check.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case f := <-l.commands:
			f(s)
			check.Reset(idleCheck)
		case <-check.C:
			if !s.Alive() {
				o.submit(func(g *group.Group, now time.Time) { g.SlotLost(now, id) })
				return
			}
			check.Reset(idleCheck)
		}
	}
}

// adopt keeps the slot, unless the line was hung up meanwhile.
func (l *line) adopt(s *slot.Slot) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		s.Close()
		return false
	}
	l.slot = s
	return true
}

func (l *line) hang() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.stop()
	if l.slot != nil {
		l.slot.Close()
	}
}

// CloseSlot closes a slot.
func (o *owned) CloseSlot(id uint64) {
	o.slotsMu.Lock()
	l := o.slots[id]
	delete(o.slots, id)
	o.slotsMu.Unlock()
	if l != nil {
		l.hang()
	}
}

// Reply releases the answer of a call.
func (o *owned) Reply(id string, seen mark.Mark, status byte, held bool) {
	if r := o.engine.take(id); r != nil {
		r.answer.Finish(seen, status, held)
	}
}

// Refuse ends a call without an answer.
func (o *owned) Refuse(id string, f *fault.Fault) {
	o.engine.Refused(id, f)
}

// Resume releases what a call has answered so far.
func (o *owned) Resume(id string) {
	if r := o.engine.request(id); r != nil {
		r.answer.Release()
	}
}

// Poll asks a member for a report after a delay.
func (o *owned) Poll(member string, after time.Duration) {
	if after == 0 {
		go o.poll(member)
		return
	}
	time.AfterFunc(after, func() { o.poll(member) })
}

func (o *owned) poll(member string) {
	ctx, stop := context.WithTimeout(context.Background(), pollTimeout)
	defer stop()
	r, asked, err := o.controls[member].Poll(ctx)
	o.submit(func(g *group.Group, now time.Time) {
		if err != nil {
			g.PollFailed(now, member)
			return
		}
		g.Reported(now, r, asked)
	})
}

// CheckReachability asks other hosts whether they reach a member.
func (o *owned) CheckReachability(member string) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), sightTimeout)
		defer stop()
		o.engine.links.CheckReach(ctx, o.name, member, func(reached bool) {
			o.submit(func(g *group.Group, now time.Time) { g.ReachabilityChecked(now, reached) })
		})
	}()
}

// Fence asks a member to promise a term.
func (o *owned) Fence(member string, term uint64) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), orderTimeout)
		defer stop()
		r, err := o.controls[member].Fence(ctx, term)
		o.submit(func(g *group.Group, now time.Time) {
			if err != nil || r.Term != term {
				g.Denied(now, member, r.Term)
				return
			}
			g.Granted(now, member, term, r.Received)
		})
	}()
}

// Promote makes a member the primary of a term.
func (o *owned) Promote(member string, term uint64) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), orderTimeout)
		defer stop()
		r, err := o.controls[member].Promote(ctx, term)
		ok := err == nil && r.Primary && r.Term == term
		o.submit(func(g *group.Group, now time.Time) { g.Promoted(now, member, term, ok) })
	}()
}

// Elected records a change of primary.
func (o *owned) Elected(member string, term uint64) {
	o.engine.log.Info("primary replaced", zap.String("Group", o.name), zap.String("Primary", member), zap.Uint64("Term", term))
	o.engine.recorder.Changed(o.name, member, term)
}

// Note keeps a decision for an explanation.
func (o *owned) Note(id, session, text string) {
	o.engine.recorder.Note(o.name, id, session, text)
}

// intake is the sink of one run: it passes a slot's answer to the request's.
type intake struct {
	owned  *owned
	slot   uint64
	id     string
	answer *answer.Answer
	run    int
}

// Append adds a part of the answer.
func (i *intake) Append(p []byte) bool {
	return i.answer.Append(i.run, p)
}

// Pause waits until the part read so far was released and read.
func (i *intake) Pause(ctx context.Context) error {
	i.owned.submit(func(g *group.Group, now time.Time) { g.AnswerPaused(now, i.slot, i.id) })
	ctx, stop := context.WithTimeout(ctx, readTimeout)
	defer stop()
	return i.answer.AwaitRoom(ctx)
}

// Flush releases the part read so far.
func (i *intake) Flush() {
	i.answer.Release()
}

// Input waits for the caller's COPY data.
func (i *intake) Input(ctx context.Context) ([]byte, bool, error) {
	ctx, stop := context.WithTimeout(ctx, readTimeout)
	defer stop()
	return i.answer.TakeInput(ctx)
}

// Abandoned tells whether nobody takes the answer any more.
func (i *intake) Abandoned() bool {
	return i.answer.Abandoned()
}
