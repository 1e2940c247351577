package engine

import (
	"time"

	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/fault"
	"github.com/pistachiotray/pistachiotray/request/retry"
)

// Refused handles the refusal of a request by its group's owner. If this host is the
// request's entry host, it retries the request or ends it with the fault. If this
// host is only the owner, it ends the request with the fault, and the entry host
// decides about a retry.
func (e *Engine) Refused(id string, f *fault.Fault) {
	e.pool.Submit(func() { e.handleRefusal(id, f) })
}

func (e *Engine) handleRefusal(id string, f *fault.Fault) {
	r := e.request(id)
	if r == nil {
		return
	}
	next, pause, again := r.retry.AfterRefusal(e.now(), f)
	if !r.atEntry || !again {
		e.fail(id, r.retry.RefusalFault(f))
		return
	}
	e.retryAfter(r, next, pause)
}

// OwnerLost handles a request that entered at this host and whose owner was lost.
// If sent is true, the owner may have received the request; begun is true if a part
// of the answer has arrived.
func (e *Engine) OwnerLost(id string, sent, begun bool) {
	e.pool.Submit(func() { e.handleOwnerLoss(id, sent, begun) })
}

func (e *Engine) handleOwnerLoss(id string, sent, begun bool) {
	r := e.request(id)
	if r == nil {
		return
	}
	now := e.now()
	if !sent {
		next, pause, again := r.retry.AfterUnsent(now)
		e.retryOrFail(r, id, next, pause, again, r.retry.UnsentFault())
		return
	}
	next, pause, again := r.retry.WithDelivered(begun).AfterLoss(now)
	e.retryOrFail(r, id, next, pause, again, r.retry.LostFault())
}

// retryOrFail routes a request again after a pause if again is set, and otherwise
// fails it with f.
func (e *Engine) retryOrFail(r *request, id string, next retry.Retry, pause time.Duration, again bool, f *fault.Fault) {
	if !again {
		e.fail(id, f)
		return
	}
	e.retryAfter(r, next, pause)
}

// retryAfter routes a request again after a pause, or fails it if the host's
// retry budget is used up.
func (e *Engine) retryAfter(r *request, next retry.Retry, pause time.Duration) {
	if !e.retryBudget.AllowN(e.now(), 1) {
		c := next.Call()
		e.fail(c.ID, next.RefusalFault(fault.New(code.NotRunLimit, "this host's budget of retries is used up")))
		return
	}
	e.requestsMu.Lock()
	r.retry = next
	e.requestsMu.Unlock()
	time.AfterFunc(pause, func() { e.pool.Submit(func() { e.route(r) }) })
}
