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

// session is the session of one caller, with the state that follows from its
// answers.
type session struct {
	name string
	// floor is the minimum log position that the session's reads must include. It
	// is known only if hasFloor is set.
	floor         mark.Mark
	hasFloor      bool
	inTransaction bool
	// acked holds the IDs of the writes that were acknowledged to the session.
	// newestSeen is the ID of the newest write that the session's last read saw.
	acked      []string
	newestSeen string
	// transactionKey is the idempotency key of the last transaction that the
	// session began, and transactionIDs holds the IDs of the requests in it.
	transactionKey string
	transactionIDs []string
	// busy is set while a request is in progress.
	busy bool
}

// request is one request of a session.
type request struct {
	session *session
	call    call.Call
	retry   retry.Retry
	// runTime is the time that the request occupies its slot.
	runTime time.Duration
	// submittedAt and answeredAt are offsets from the start of the simulation.
	submittedAt time.Duration
	answeredAt  time.Duration
	// code is the result code once ended is set.
	code  code.Code
	ended bool
	// host is the number of the host to which the request was sent, or -1 before
	// the first attempt and between attempts.
	host int
	// via is 0 to send the request to the current owner, or the number of the host
	// to send it to plus 1.
	via int
	// mustSee holds the acknowledged writes of the session, which a read must see.
	// mustSeeUpTo is the newest write that the session saw before; a read must see
	// this write too.
	mustSee     []string
	mustSeeUpTo string
	// lastRun is the result of the last run, or nil. lastMember is the member of
	// this run.
	lastRun    *runResult
	lastMember *member
	// ids holds the IDs of the requests to whose writes the result code applies.
	ids        []string
	retryAfter time.Duration
	// atReplica means that a replica served the read.
	atReplica bool
	// term is the term of the primary that ran an acknowledged write.
	term uint64
}

// sessionNamed returns the named session and creates it if necessary.
func (sm *Simulation) sessionNamed(name string) *session {
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
	s := sm.sessionNamed(name)
	s.floor, s.hasFloor = mark.Mark{}, false
}

// sendRequest sends a session's request, which arrives after the delay between caller
// and host. via is 0 for the current owner, or the number of another host plus 1.
func (sm *Simulation) sendRequest(s *session, id string, c call.Call, runTime time.Duration, via int) {
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
	p := &request{
		session: s, call: c, retry: retry.New(c), runTime: runTime, submittedAt: sm.Now(), host: -1, via: via,
		mustSee: slices.Clone(s.acked), mustSeeUpTo: s.newestSeen, ids: []string{id},
	}
	if (s.inTransaction && !c.Ends) || c.Begins {
		s.transactionIDs = append(s.transactionIDs, id)
	}
	sm.requests[id] = p
	sm.after(sm.clientDelay, func() { sm.route(p) })
}

// route submits a request to the current owner or to the host that via selects. If
// that host has crashed, the request counts as not sent.
func (sm *Simulation) route(p *request) {
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

// inFlight returns the requests that are in progress at host i, sorted by ID.
func (sm *Simulation) inFlight(i int) []*request {
	var all []*request
	for _, p := range sm.requests {
		if !p.ended && p.host == i {
			all = append(all, p)
		}
	}
	slices.SortFunc(all, func(a, b *request) int {
		if a.call.ID < b.call.ID {
			return -1
		}
		return 1
	})
	return all
}

// hostLost handles the crash of the host at which a request was in progress. It
// sends the request again, or ends it with a fault if a second run is not safe.
func (sm *Simulation) hostLost(p *request) {
	next, delay, ok := p.retry.AfterLoss(sm.now)
	sm.retryOrFail(p, next, delay, ok, p.retry.LostFault())
}

// notSent handles a request that could not be sent to its owner: it sends the
// request again or ends it with a fault.
func (sm *Simulation) notSent(p *request) {
	next, delay, ok := p.retry.AfterUnsent(sm.now)
	sm.retryOrFail(p, next, delay, ok, p.retry.UnsentFault())
}

// retryOrFail routes a request again after a delay if ok is set, and ends it with
// the fault f otherwise.
func (sm *Simulation) retryOrFail(p *request, next retry.Retry, delay time.Duration, ok bool, f *fault.Fault) {
	if !ok {
		sm.fail(p, f)
		return
	}
	p.retry = next
	p.host = -1
	sm.after(delay, func() { sm.route(p) })
}

// recordRun stores the result of a run that reached the host of its request. It
// replaces the result of an earlier run.
func (sm *Simulation) recordRun(id string, m *member, run runResult) {
	if p := sm.requests[id]; p != nil && !p.ended {
		p.lastRun = &run
		p.lastMember = m
	}
}

// refused handles a fault from the owner. A fault for a request that has since
// moved to another owner is ignored.
func (sm *Simulation) refused(h *host, id string, f *fault.Fault) {
	p := sm.requests[id]
	if p == nil || p.ended || p.host != h.number {
		return
	}
	next, delay, ok := p.retry.AfterRefusal(sm.now, f)
	sm.retryOrFail(p, next, delay, ok, p.retry.RefusalFault(f))
}

// fail ends a request with a fault.
func (sm *Simulation) fail(p *request, f *fault.Fault) {
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

// idsNotRun returns the IDs of the requests to which a not-run fault applies: in a
// transaction, the IDs of all its requests.
func (s *session) idsNotRun(p *request) []string {
	if p.call.InTransaction {
		return slices.Clone(s.transactionIDs)
	}
	return p.ids
}

// replied delivers an answer to its session and checks the answer. earlierAnswer
// means that the answer is from an earlier run of the request.
func (sm *Simulation) replied(h *host, id string, seen mark.Mark, status byte, earlierAnswer bool) {
	p := sm.requests[id]
	if p == nil || p.host != h.number {
		sm.addViolation("an answer to %s came from host %s, which did not have the request", id, h.name)
		return
	}
	if p.ended {
		sm.addViolation("two answers to %s", id)
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
		sm.addViolation("an answer to %s, of which no run returned a result", id)
		return
	}
	if p.lastRun.result.TargetError && !earlierAnswer {
		p.code = code.NotRunCanceled
		return
	}
	sm.checkAnswer(p)
}

// idleSession returns a session whose name begins with the prefix and that has no
// request in progress.
func (sm *Simulation) idleSession(prefix string) *session {
	for i := 0; ; i++ {
		s := sm.sessionNamed(prefix + "-" + strconv.Itoa(i))
		if !s.busy {
			return s
		}
	}
}

// Load submits copies of a call between two offsets from the start, as a Poisson
// process with the given mean rate per second. Each copy is sent in a session that
// has no other request in progress. via is 0 for the current owner, or the number of
// another host plus 1.
func (sm *Simulation) Load(prefix string, c call.Call, rate float64, from, until, runTime time.Duration, via int) {
	mean := float64(time.Second) / rate
	n := 0
	for at := from; at < until; at += time.Duration(sm.random.ExpFloat64() * mean) {
		id := prefix + "#" + strconv.Itoa(n)
		n++
		sm.At(at, func() {
			s := sm.idleSession(prefix)
			s.busy = true
			requested := c
			if c.Class.Once {
				requested = requested.WithKey(id)
			}
			sm.sendRequest(s, id, requested, runTime, via)
		})
	}
}

// Idle reports whether a session has no request in progress.
func (sm *Simulation) Idle(name string) bool {
	return !sm.sessionNamed(name).busy
}

// InTransaction reports whether a session's last answer left its transaction
// open.
func (sm *Simulation) InTransaction(name string) bool {
	return sm.sessionNamed(name).inTransaction
}
