package engine

import (
	"context"
	"time"

	"github.com/pistachiotray/pistachiotray/process/group"
)

// Leave tells a session's owner that the session ended on purpose.
func (e *Engine) Leave(name, session string) {
	if host := e.Owner(name); host != e.host {
		e.links.Leave(host, name, session)
		return
	}
	e.LeaveOwned(name, session)
}

// LeaveOwned ends a session at this host as its owner.
func (e *Engine) LeaveOwned(name, session string) {
	e.do(name, func(g *group.Group, now time.Time) { g.EndSession(now, session) })
}

// Detach tells a session's owner that the session lost its connection.
func (e *Engine) Detach(name, session string) {
	if host := e.Owner(name); host != e.host {
		e.links.Detach(host, name, session)
		return
	}
	e.DetachOwned(name, session)
}

// DetachOwned begins the grace period of a session's transaction at this host.
func (e *Engine) DetachOwned(name, session string) {
	e.do(name, func(g *group.Group, now time.Time) { g.Detach(now, session) })
}

// Attach tells a session's owner that the session came back, and returns
// whether it has an open transaction.
func (e *Engine) Attach(ctx context.Context, name, session string) bool {
	if host := e.Owner(name); host != e.host {
		return e.links.Attach(ctx, host, name, session)
	}
	return e.AttachOwned(ctx, name, session)
}

// AttachOwned ends the grace period of a session's transaction at this host.
func (e *Engine) AttachOwned(ctx context.Context, name, session string) bool {
	found := make(chan bool, 1)
	e.do(name, func(g *group.Group, now time.Time) { found <- g.Attach(now, session) })
	if e.isUnknown(name) {
		return false
	}
	select {
	case open := <-found:
		return open
	case <-ctx.Done():
		return false
	}
}

func (e *Engine) isUnknown(name string) bool {
	e.groupsMu.RLock()
	defer e.groupsMu.RUnlock()
	return e.groups[name] == nil
}

// Reaches asks a member of a group itself, for another host's opinion.
func (e *Engine) Reaches(ctx context.Context, name, member string) bool {
	o := e.group(name)
	if o == nil {
		return false
	}
	c, ok := o.controls[member]
	if !ok {
		return false
	}
	_, _, err := c.Poll(ctx)
	return err == nil
}

// Switch begins a planned change of a group's primary. It reports false where
// this host does not own the group or has no such member.
func (e *Engine) Switch(name, to string) bool {
	o := e.group(name)
	if o == nil {
		return false
	}
	ok := false
	o.with(func(g *group.Group, now time.Time) { ok = g.Switch(now, to) })
	return ok
}

// Inspect runs f on each known group under its lock.
func (e *Engine) Inspect(f func(*group.Group)) {
	for _, o := range e.known() {
		o.with(func(g *group.Group, _ time.Time) { f(g) })
	}
}

// Drain gives up all groups and waits until nothing of this host's runs, or
// the context ends. It returns the number of requests that remained.
func (e *Engine) Drain(ctx context.Context) int {
	e.stopping.Store(true)
	e.pool.Submit(e.settleOwnership)
	for {
		n := e.remaining()
		if n == 0 {
			return 0
		}
		timer := time.NewTimer(tickEvery)
		select {
		case <-ctx.Done():
			timer.Stop()
			return n
		case <-timer.C:
		}
	}
}

func (e *Engine) remaining() int {
	n := 0
	e.Inspect(func(g *group.Group) {
		_, running, confirming, open := g.Counts()
		n += running + confirming + open
	})
	return n
}

// Close ends the engine's clock and closes every slot.
func (e *Engine) Close() {
	close(e.stop)
	e.done.Wait()
	for _, o := range e.known() {
		o.close()
	}
}
