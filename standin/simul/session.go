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

// session is the session of one caller, with what its answers have told it.
type session struct {
	name          string
	floor         mark.Mark
	hasFloor      bool
	inTransaction bool
	// acked are the IDs of the writes that were acknowledged to the session, and
	// newestSeen that of the newest write that its last read saw.
	acked      []string
	newestSeen string
	// transactionKey and transactionIDs belong to the last transaction that the
	// session began: its idempotency key and the IDs of its requests.
	transactionKey string
	transactionIDs []string
	// busy is set while a request is in progress.
	busy bool
}

// pending is one request of a session.
type pending struct {
	session *session
	call    call.Call
	retry   retry.Retry
	// runTime is the time that the request occupies its slot.
	runTime time.Duration
	// submittedAt and answeredAt are offsets from the start of the simulation.
	submittedAt time.Duration
	answeredAt  time.Duration
	code        code.Code
	ended       bool
	// host is the number of the host that has the request, or -1 between tries.
	host int
	// via is as in Submit.
	via int
	// mustSee are the writes of the session that a read must see; mustSeeUpTo is
	// the newest write that the session saw before.
	mustSee     []string
	mustSeeUpTo string
	// lastRun is the result of the last run, and lastMember where it ran.
	lastRun    *runResult
	lastMember *member
	// ids are the requests whose writes the outcome covers.
	ids        []string
	retryAfter time.Duration
	atReplica  bool
	// term is the term of the primary that ran an acknowledged write.
	term uint64
}

// session returns the session with a name, and creates it if there is none.
func (sm *Simulation) session(name string) *session {
	s, ok := sm.sessions[name]
	if !ok {
		s = &session{name: name}
		sm.sessions[name] = s
	}
	return s
}

// ForgetFloor removes a session's floor, as when the session moves to another
// host without a position token.
func (sm *Simulation) ForgetFloor(name string) {
	s := sm.session(name)
	s.floor, s.hasFloor = mark.Mark{}, false
}

// submit sends a session's request to the owner that its entry host knows.
func (sm *Simulation) submit(s *session, id string, c call.Call, runTime time.Duration, via int) {
	c.ID, c.Session, c.Group = id, s.name, "group"
	c = c.WithTimes(sm.now, sm.now.Add(c.Class.Deadline)).
		WithFloor(s.floor).
		WithInTransaction(s.inTransaction).
		WithFreshFloor(c.Class.Read && !s.hasFloor && !s.inTransaction)
	if !s.inTransaction {
		c = c.WithEnds(true)
	}
	if s.inTransaction {
		c = c.WithKey(s.transactionKey)
	}
	if c.Begins {
		s.transactionKey = c.Key
		s.transactionIDs = nil
	}
	s.busy = true
	p := &pending{
		session: s, call: c, retry: retry.New(c), runTime: runTime, submittedAt: sm.Now(), host: -1, via: via,
		mustSee: slices.Clone(s.acked), mustSeeUpTo: s.newestSeen, ids: []string{id},
	}
	if (s.inTransaction && !c.Ends) || c.Begins {
		s.transactionIDs = append(s.transactionIDs, id)
	}
	sm.calls[id] = p
	sm.after(sm.clientDelay, func() { sm.route(p) })
}

// route submits a request to its owner. A crashed owner counts as a request that
// was not sent.
func (sm *Simulation) route(p *pending) {
	p.host = sm.owner
	if p.via > 0 {
		p.host = p.via - 1
	}
	h := sm.hosts[p.host]
	if h.crashed {
		sm.notSent(p)
		return
	}
	c := p.retry.Call()
	h.post(func() { h.group.Submit(sm.now, c) })
}

// inFlight returns the requests that are in progress at host i, ordered by ID.
func (sm *Simulation) inFlight(i int) []*pending {
	var all []*pending
	for _, p := range sm.calls {
		if !p.ended && p.host == i {
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

// hostLost retries a request whose host crashed while it was in progress there, or
// ends it if it may not run again.
func (sm *Simulation) hostLost(p *pending) {
	next, delay, ok := p.retry.AfterLoss(sm.now)
	sm.retryOrFail(p, next, delay, ok, p.retry.LostFault())
}

// notSent retries or ends a request that could not be sent to its owner.
func (sm *Simulation) notSent(p *pending) {
	next, delay, ok := p.retry.AfterUnsent(sm.now)
	sm.retryOrFail(p, next, delay, ok, p.retry.UnsentFault())
}

// retryOrFail routes a request again after a delay, or ends it with a fault.
func (sm *Simulation) retryOrFail(p *pending, next retry.Retry, delay time.Duration, ok bool, f *fault.Fault) {
	if !ok {
		sm.fail(p, f)
		return
	}
	p.retry = next
	p.host = -1
	sm.after(delay, func() { sm.route(p) })
}

// recordRun stores the result of a request's last run that reached the owner.
func (sm *Simulation) recordRun(id string, m *member, out runResult) {
	if p := sm.calls[id]; p != nil && !p.ended {
		p.lastRun = &out
		p.lastMember = m
	}
}

// refused handles a fault from the owner. A fault for a request that has since
// moved to another owner is ignored.
func (sm *Simulation) refused(h *host, id string, f *fault.Fault) {
	p := sm.calls[id]
	if p == nil || p.ended || p.host != h.number {
		return
	}
	next, delay, ok := p.retry.AfterRefusal(sm.now, f)
	sm.retryOrFail(p, next, delay, ok, p.retry.RefusalFault(f))
}

// fail ends a request with a fault.
func (sm *Simulation) fail(p *pending, f *fault.Fault) {
	p.ended = true
	p.code = f.Code
	p.retryAfter = f.RetryAfter
	p.answeredAt = sm.Now() + sm.clientDelay
	sm.finished = append(sm.finished, p)
	s := p.session
	s.busy = false
	if f.Code.NotRun() || f.Code == code.TransactionLost {
		p.ids = s.idsNotRun(p)
	}
	if p.call.InTransaction || p.call.Begins {
		s.inTransaction = false
	}
}

// idsNotRun returns the IDs of the requests that a not-run fault covers: in a
// transaction, all of its requests.
func (s *session) idsNotRun(p *pending) []string {
	if p.call.InTransaction {
		return slices.Clone(s.transactionIDs)
	}
	return p.ids
}

// replied delivers an answer to its session and checks it.
func (sm *Simulation) replied(h *host, id string, seen mark.Mark, status byte, held bool) {
	p := sm.calls[id]
	if p == nil || p.host != h.number {
		sm.violation("an answer to %s came from host %s, which did not have the request", id, h.name)
		return
	}
	if p.ended {
		sm.violation("two answers to %s", id)
		return
	}
	p.ended = true
	p.code = code.Done
	p.answeredAt = sm.Now() + sm.clientDelay
	sm.finished = append(sm.finished, p)
	s := p.session
	s.busy = false
	s.floor = s.floor.Max(seen)
	s.hasFloor = s.hasFloor || !seen.IsZero()
	s.inTransaction = status != 'I'
	if p.lastRun == nil {
		sm.violation("an answer to %s, of which no run returned a result", id)
		return
	}
	if p.lastRun.result.TargetError && !held {
		p.code = code.NotRunCanceled
		return
	}
	sm.checkAnswer(p)
}

// idleSession returns a session with the prefix that has no request in progress.
func (sm *Simulation) idleSession(prefix string) *session {
	for i := 0; ; i++ {
		s := sm.session(prefix + "-" + strconv.Itoa(i))
		if !s.busy {
			return s
		}
	}
}

// Load submits copies of a call between two times, as a Poisson process with the
// given mean rate per second. Each comes from a session that has no other request
// in progress.
func (sm *Simulation) Load(prefix string, c call.Call, rate float64, from, until, runTime time.Duration, via int) {
	mean := float64(time.Second) / rate
	n := 0
	for at := from; at < until; at += time.Duration(sm.random.ExpFloat64() * mean) {
		id := prefix + "#" + strconv.Itoa(n)
		n++
		sm.At(at, func() {
			s := sm.idleSession(prefix)
			s.busy = true
			request := c
			if c.Class.Once {
				request = request.WithKey(id)
			}
			sm.submit(s, id, request, runTime, via)
		})
	}
}

// Idle reports whether a session has no request in progress.
func (sm *Simulation) Idle(name string) bool {
	return !sm.session(name).busy
}

// InTransaction reports whether a session's last answer left its transaction
// open.
func (sm *Simulation) InTransaction(name string) bool {
	return sm.session(name).inTransaction
}
