package engine

import (
	"time"

	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/fault"
	"github.com/pistachiotray/pistachiotray/request/retry"
)

// Refused takes an owner's fault for a request of this entry host.
func (e *Engine) Refused(id string, f *fault.Fault) {
	e.pool.Submit(func() { e.refused(id, f) })
}

func (e *Engine) refused(id string, f *fault.Fault) {
	r := e.request(id)
	if r == nil {
		return
	}
	next, pause, again := r.retry.AfterRefusal(e.now(), f)
	if !r.entry || !again {
		e.end(id, r.retry.RefusalFault(f))
		return
	}
	e.later(r, next, pause)
}

// OwnerLost takes the loss of the owner of a request of this entry host. Sent tells
// that the owner may have it.
func (e *Engine) OwnerLost(id string, sent, begun bool) {
	e.pool.Submit(func() { e.lost(id, sent, begun) })
}

func (e *Engine) lost(id string, sent, begun bool) {
	r := e.request(id)
	if r == nil {
		return
	}
	now := e.now()
	if !sent {
		next, pause, again := r.retry.AfterUnsent(now)
		e.orEnd(r, id, next, pause, again, r.retry.UnsentFault())
		return
	}
	next, pause, again := r.retry.WithDelivered(begun).AfterLoss(now)
	e.orEnd(r, id, next, pause, again, r.retry.LostFault())
}

func (e *Engine) orEnd(r *request, id string, next retry.Retry, pause time.Duration, again bool, f *fault.Fault) {
	if !again {
		e.end(id, f)
		return
	}
	e.later(r, next, pause)
}

func (e *Engine) later(r *request, next retry.Retry, pause time.Duration) {
	if !e.retries.AllowN(e.now(), 1) {
		c := next.Call()
		e.end(c.ID, next.RefusalFault(fault.New(code.NotRunLimit, "this host's budget of retries is used up")))
		return
	}
	e.requestsMu.Lock()
	r.retry = next
	e.requestsMu.Unlock()
	time.AfterFunc(pause, func() { e.pool.Submit(func() { e.route(r) }) })
}
