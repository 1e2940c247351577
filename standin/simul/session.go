package simul

import (
	"slices"
	"strconv"
	"time"

	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/fault"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/request/retry"
)

// session is one caller, with what it was told.
type session struct {
	name   string
	floor  mark.Mark
	known  bool
	inside bool
	acked  []string
	seen   string
	key    string
	txIDs  []string
	busy   bool
}

// pending is one request of a session.
type pending struct {
	session  *session
	call     call.Call
	retry    retry.Retry
	takes    time.Duration
	submit   time.Duration
	answer   time.Duration
	code     code.Code
	over     bool
	host     int
	via      int
	mustSee  []string
	seen     string
	last     *outcome
	lastAt   *fake
	ids      []string
	hint     time.Duration
	replica  bool
	executed uint64
}

func (w *Simulation) session(name string) *session {
	s, ok := w.sessions[name]
	if !ok {
		s = &session{name: name}
		w.sessions[name] = s
	}
	return s
}

// ForgetFloor makes a session lose its floor, as one that moves without a token.
func (w *Simulation) ForgetFloor(name string) {
	s := w.session(name)
	s.floor, s.known = mark.Mark{}, false
}

// submit sends a request of a session through its entry host to the owner.
func (w *Simulation) submit(s *session, id string, c call.Call, takes time.Duration, via int) {
	c.ID, c.Session, c.Group = id, s.name, "group"
	c = c.WithTimes(w.now, w.now.Add(c.Class.Deadline)).
		WithFloor(s.floor).
		WithInTransaction(s.inside).
		WithFreshFloor(c.Class.Read && !s.known && !s.inside)
	if !s.inside {
		c = c.WithEnds(true)
	}
	if s.inside {
		c = c.WithKey(s.key)
	}
	if c.Begins {
		s.key = c.Key
		s.txIDs = nil
	}
	s.busy = true
	p := &pending{
		session: s, call: c, retry: retry.New(c), takes: takes, submit: w.Now(), host: -1, via: via,
		mustSee: slices.Clone(s.acked), seen: s.seen, ids: []string{id},
	}
	if (s.inside && !c.Ends) || c.Begins {
		s.txIDs = append(s.txIDs, id)
	}
	w.calls[id] = p
	w.after(w.clientDelay, func() { w.route(p) })
}

func (w *Simulation) route(p *pending) {
	p.host = w.current
	if p.via > 0 {
		p.host = p.via - 1
	}
	k := w.owners[p.host]
	if k.dead {
		w.unsent(p)
		return
	}
	c := p.retry.Call()
	k.post(func() { k.group.Submit(w.now, c) })
}

// inFlight returns the requests that are at host i, in order of their ids.
func (w *Simulation) inFlight(i int) []*pending {
	var all []*pending
	for _, p := range w.calls {
		if !p.over && p.host == i {
			all = append(all, p)
		}
	}
	slices.SortFunc(all, func(a, b *pending) int {
		if a.call.ID < b.call.ID {
			return -1
		}
		return 1
	})
	return all
}

func (w *Simulation) lost(p *pending) {
	next, pause, again := p.retry.AfterLoss(w.now)
	w.again(p, next, pause, again, p.retry.LostFault())
}

func (w *Simulation) unsent(p *pending) {
	next, pause, again := p.retry.AfterUnsent(w.now)
	w.again(p, next, pause, again, p.retry.UnsentFault())
}

func (w *Simulation) again(p *pending, next retry.Retry, pause time.Duration, again bool, f *fault.Fault) {
	if !again {
		w.end(p, f)
		return
	}
	p.retry = next
	p.host = -1
	w.after(pause, func() { w.route(p) })
}

// ran keeps what the last run of a request that reached its owner gave.
func (w *Simulation) ran(id string, m *fake, out outcome) {
	if p := w.calls[id]; p != nil && !p.over {
		p.last = &out
		p.lastAt = m
	}
}

func (w *Simulation) refused(k *keeper, id string, f *fault.Fault) {
	p := w.calls[id]
	if p == nil || p.over || p.host != k.number {
		return
	}
	next, pause, again := p.retry.AfterRefusal(w.now, f)
	w.again(p, next, pause, again, p.retry.RefusalFault(f))
}

// end tells a session of a fault.
func (w *Simulation) end(p *pending, f *fault.Fault) {
	p.over = true
	p.code = f.Code
	p.hint = f.RetryAfter
	p.answer = w.Now() + w.clientDelay
	w.done = append(w.done, p)
	s := p.session
	s.busy = false
	if f.Code.NotRun() || f.Code == code.TransactionLost {
		p.ids = s.gone(p)
	}
	if p.call.InTransaction || p.call.Begins {
		s.inside = false
	}
}

// gone returns the ids of what a fault says did not run.
func (s *session) gone(p *pending) []string {
	if p.call.InTransaction {
		return slices.Clone(s.txIDs)
	}
	return p.ids
}

// replied tells a session of an answer and checks it.
func (w *Simulation) replied(k *keeper, id string, seen mark.Mark, status byte, held bool) {
	p := w.calls[id]
	if p == nil || p.host != k.number {
		w.fault("an answer to %s came from host %s, where it was not", id, k.name)
		return
	}
	if p.over {
		w.fault("two answers to %s", id)
		return
	}
	p.over = true
	p.code = code.Done
	p.answer = w.Now() + w.clientDelay
	w.done = append(w.done, p)
	s := p.session
	s.busy = false
	s.floor = s.floor.Max(seen)
	s.known = s.known || !seen.IsZero()
	s.inside = status != 'I'
	if p.last == nil {
		w.fault("an answer to %s, which gave none", id)
		return
	}
	if p.last.result.Refused && !held {
		p.code = code.NotRunCanceled
		return
	}
	w.check(p)
}

// idle returns a session of the prefix without a request under way.
func (w *Simulation) idle(prefix string) *session {
	for i := 0; ; i++ {
		s := w.session(prefix + "-" + strconv.Itoa(i))
		if !s.busy {
			return s
		}
	}
}

// Load lets requests of a class arrive over a while, at random times with a
// mean rate a second, each from a session that waits for nothing else.
func (w *Simulation) Load(prefix string, c call.Call, rate float64, from, until, takes time.Duration, via int) {
	mean := float64(time.Second) / rate
	n := 0
	for at := from; at < until; at += time.Duration(w.random.ExpFloat64() * mean) {
		id := prefix + "#" + strconv.Itoa(n)
		n++
		w.At(at, func() {
			s := w.idle(prefix)
			s.busy = true
			one := c
			if c.Class.Once {
				one = one.WithKey(id)
			}
			w.submit(s, id, one, takes, via)
		})
	}
}

// Idle tells whether a session has no request under way.
func (w *Simulation) Idle(name string) bool {
	return !w.session(name).busy
}

// InTransaction tells whether a session was told that its transaction is open.
func (w *Simulation) InTransaction(name string) bool {
	return w.session(name).inside
}
