package world

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/fault"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/request/retry"
	"github.com/pistachiotray/pistachiotray/standin/tally"
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

func (w *World) session(name string) *session {
	s, ok := w.sessions[name]
	if !ok {
		s = &session{name: name}
		w.sessions[name] = s
	}
	return s
}

// Fresh makes a session lose its floor, as one that moves without a token.
func (w *World) Fresh(name string) {
	s := w.session(name)
	s.floor, s.known = mark.Mark{}, false
}

// submit sends a request of a session through its entry host to the owner.
func (w *World) submit(s *session, id string, c call.Call, takes time.Duration, via int) {
	c.ID, c.Session, c.Group = id, s.name, "group"
	c = c.WithTimes(w.now, w.now.Add(c.Class.Deadline)).
		WithFloor(s.floor).
		WithFollows(s.inside).
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

func (w *World) route(p *pending) {
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
	k.post(func() { k.group.Arrive(w.now, c) })
}

// inFlight returns the requests that are at host i, in order of their ids.
func (w *World) inFlight(i int) []*pending {
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

func (w *World) lost(p *pending) {
	next, pause, again := p.retry.Lost(w.now)
	w.again(p, next, pause, again, p.retry.LostFault())
}

func (w *World) unsent(p *pending) {
	next, pause, again := p.retry.Unsent(w.now)
	w.again(p, next, pause, again, p.retry.UnsentFault())
}

func (w *World) again(p *pending, next retry.Retry, pause time.Duration, again bool, f *fault.Fault) {
	if !again {
		w.end(p, f)
		return
	}
	p.retry = next
	p.host = -1
	w.after(pause, func() { w.route(p) })
}

// ran keeps what the last run of a request that reached its owner gave.
func (w *World) ran(id string, m *fake, out outcome) {
	if p := w.calls[id]; p != nil && !p.over {
		p.last = &out
		p.lastAt = m
	}
}

func (w *World) refused(k *keeper, id string, f *fault.Fault) {
	p := w.calls[id]
	if p == nil || p.over || p.host != k.number {
		return
	}
	next, pause, again := p.retry.Refused(w.now, f)
	w.again(p, next, pause, again, p.retry.Final(f))
}

// end tells a session of a fault.
func (w *World) end(p *pending, f *fault.Fault) {
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
	if p.call.Follows || p.call.Begins {
		s.inside = false
	}
}

// gone returns the ids of what a fault says did not run.
func (s *session) gone(p *pending) []string {
	if p.call.Follows {
		return slices.Clone(s.txIDs)
	}
	return p.ids
}

// replied tells a session of an answer and checks it.
func (w *World) replied(k *keeper, id string, seen mark.Mark, status byte, held bool) {
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

// check holds an answer against what its session must see and what may not be
// acknowledged.
func (w *World) check(p *pending) {
	s := p.session
	if p.call.Class.Read {
		for _, id := range p.mustSee {
			if !p.lastAt.shows(id, p.last.seen) {
				w.fault("read %s of session %s does not see its own write %s", p.call.ID, s.name, id)
			}
		}
		if p.seen != "" && !p.lastAt.shows(p.seen, p.last.seen) {
			w.fault("read %s of session %s does not see %s, which it saw before", p.call.ID, s.name, p.seen)
		}
		s.seen = p.lastAt.newest(p.last.seen)
		p.replica = !p.lastAt.primary
		return
	}
	if s.inside {
		return
	}
	ids := p.ids
	if p.call.Follows {
		ids = s.txIDs
	}
	for _, id := range ids {
		s.acked = append(s.acked, id)
		w.checkAcknowledged(id)
	}
	p.executed = p.last.term
}

// checkAcknowledged holds an acknowledged write against the logs: it must be
// at the primary in force and at a majority.
func (w *World) checkAcknowledged(id string) {
	if p := w.leader(); p != nil && len(p.places[id]) == 0 {
		w.fault("write %s was acknowledged by a primary that has been replaced by %s", id, p.name)
	}
	holders := 0
	for _, m := range w.members {
		if len(m.places[id]) > 0 {
			holders++
		}
	}
	if holders <= len(w.members)/2 {
		w.fault("write %s was acknowledged with %d of %d members holding it", id, holders, len(w.members))
	}
}

// Finish heals everything, lets what is under way end, and holds all that the
// sessions were told against the log that remains.
func (w *World) Finish() {
	const (
		settle = 3 * time.Second
		most   = 90
	)
	for _, node := range slices.Sorted(maps.Keys(w.cut)) {
		w.Resume(node)
	}
	for _, k := range w.owners {
		w.Resume(k.name)
	}
	w.Run(w.Now() + settle)
	for i := 0; i < most && w.open(); i++ {
		w.Run(w.Now() + settle)
	}
	last := w.leader()
	if last == nil {
		w.fault("no primary at the end")
		return
	}
	for _, id := range slices.Sorted(maps.Keys(w.calls)) {
		if p := w.calls[id]; !p.over {
			w.fault("no answer to %s", p.call.ID)
		}
	}
	w.audit(last)
}

// open tells whether a request has no answer yet.
func (w *World) open() bool {
	return len(w.done) < len(w.calls)
}

func (w *World) audit(last *fake) {
	keys := map[string]int{}
	for _, e := range last.log {
		if e.key != "" && e.kind == "ran" {
			keys[e.key]++
		}
	}
	for key, n := range keys {
		if n > 1 {
			w.fault("the key %s ran %d times", key, n)
		}
	}
	for _, p := range w.done {
		w.auditCall(last, p)
	}
}

func (w *World) auditCall(last *fake, p *pending) {
	if p.call.Class.Read {
		return
	}
	for _, id := range p.ids {
		n := len(last.places[id])
		switch {
		case p.code == code.Done && n == 0 && !p.session.isOpen(id):
			if slices.Contains(p.session.acked, id) {
				w.fault("the acknowledged write %s is lost", id)
			}
		case n > 1 && !p.call.Class.Repeatable:
			w.fault("the write %s ran %d times", id, n)
		case (p.code.NotRun() || p.code == code.TransactionLost) && n > 0:
			w.fault("%s was told %s and ran", id, p.code.Name())
		case p.code == code.RanAnswerLost && n == 0:
			w.fault("%s was told that it ran and did not", id)
		}
	}
}

func (s *session) isOpen(id string) bool {
	return s.inside && slices.Contains(s.txIDs, id)
}

// Tallies returns the tally of each label, over the requests that ended.
func (w *World) Tallies() map[string]*tally.Tally {
	all := map[string]*tally.Tally{}
	for _, p := range w.done {
		label := p.call.Class.Name
		if all[label] == nil {
			all[label] = tally.New()
		}
		inTime := p.answer <= p.submit+p.call.Class.Deadline+2*w.clientDelay
		all[label].Add(p.code, p.submit, p.answer, p.takes, p.replica, inTime)
	}
	return all
}

// Outcome returns the result of a request, and false where it has none yet.
func (w *World) Outcome(id string) (code.Code, bool) {
	p, ok := w.calls[id]
	if !ok || !p.over {
		return 0, false
	}
	return p.code, true
}

// Gap returns the longest time between two acknowledged writes that follow
// each other and of which the second ran in a later term, or anywhere where
// terms is false.
func (w *World) Gap(terms bool) time.Duration {
	var writes []*pending
	for _, p := range w.done {
		if p.code == code.Done && !p.call.Class.Read {
			writes = append(writes, p)
		}
	}
	slices.SortStableFunc(writes, func(a, b *pending) int { return int(a.answer - b.answer) })
	var gap time.Duration
	for i := 1; i < len(writes); i++ {
		if !terms || writes[i].executed > writes[i-1].executed {
			gap = max(gap, writes[i].answer-writes[i-1].answer)
		}
	}
	return gap
}

// idle returns a session of the prefix without a request under way.
func (w *World) idle(prefix string) *session {
	for i := 0; ; i++ {
		s := w.session(prefix + "-" + strconv.Itoa(i))
		if !s.busy {
			return s
		}
	}
}

// Load lets requests of a class arrive over a while, at random times with a
// mean rate a second, each from a session that waits for nothing else.
func (w *World) Load(prefix string, c call.Call, rate float64, from, until, takes time.Duration, via int) {
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
func (w *World) Idle(name string) bool {
	return !w.session(name).busy
}

// Inside tells whether a session was told that its transaction is open.
func (w *World) Inside(name string) bool {
	return w.session(name).inside
}
