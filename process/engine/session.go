package engine

import (
	"context"
	"time"

	"github.com/pistachiotray/pistachiotray/process/group"
	"github.com/pistachiotray/pistachiotray/process/sleep"
)

// Leave handles a session that its caller ended. It ends the session at the owner
// of the session's group, which may be this host.
func (e *Engine) Leave(name, session string) {
	if host := e.Owner(name); host != e.host {
		e.links.Leave(host, name, session)
		return
	}
	e.LeaveOwned(name, session)
}

// LeaveOwned ends a session at this host as the owner of the session's group.
func (e *Engine) LeaveOwned(name, session string) {
	e.onKnownGroup(name, func(g *group.Group, now time.Time) { g.EndSession(now, session) })
}

// Detach handles a session that lost its connection. It detaches the session at the
// owner of the session's group, which may be this host.
func (e *Engine) Detach(name, session string) {
	if host := e.Owner(name); host != e.host {
		e.links.Detach(host, name, session)
		return
	}
	e.DetachOwned(name, session)
}

// DetachOwned starts the grace period of a session's open transaction at this host
// as the owner of the session's group.
func (e *Engine) DetachOwned(name, session string) {
	e.onKnownGroup(name, func(g *group.Group, now time.Time) { g.Detach(now, session) })
}

// Attach handles a session that reconnected. It attaches the session at the owner
// of the session's group, which may be this host, and reports whether the session
// has an open transaction.
func (e *Engine) Attach(ctx context.Context, name, session string) bool {
	if host := e.Owner(name); host != e.host {
		return e.links.Attach(ctx, host, name, session)
	}
	return e.AttachOwned(ctx, name, session)
}

// AttachOwned ends the grace period of a session's transaction at this host as the
// owner of the session's group, and reports whether the session has an open
// transaction. It returns false if the group was never used here or ctx ends first.
func (e *Engine) AttachOwned(ctx context.Context, name, session string) bool {
	found := make(chan bool, 1)
	e.onKnownGroup(name, func(g *group.Group, now time.Time) { found <- g.Attach(now, session) })
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

// isUnknown reports whether a group has no runner at this host.
func (e *Engine) isUnknown(name string) bool {
	e.groupsMu.RLock()
	defer e.groupsMu.RUnlock()
	return e.groups[name] == nil
}

// Reaches reports whether a member answers a poll from this host. The owner of the
// group requests this check from other hosts when it can't reach the primary.
func (e *Engine) Reaches(ctx context.Context, name, member string) bool {
	gr := e.runner(name)
	if gr == nil {
		return false
	}
	c, ok := gr.controls[member]
	if !ok {
		return false
	}
	_, _, err := c.Poll(ctx)
	return err == nil
}

// StartSwitchover starts a planned change of a group's primary to the member to. It
// returns false if this host does not own the group, if the member is unknown or is
// the primary already, or if another switchover is in progress.
func (e *Engine) StartSwitchover(name, to string) bool {
	gr := e.runner(name)
	if gr == nil {
		return false
	}
	ok := false
	gr.withGroup(func(g *group.Group, now time.Time) { ok = g.StartSwitchover(now, to) })
	return ok
}

// Inspect calls f for each group that was used at this host, under the group's
// lock.
func (e *Engine) Inspect(f func(*group.Group)) {
	for _, gr := range e.allGroups() {
		gr.withGroup(func(g *group.Group, _ time.Time) { f(g) })
	}
}

// Drain deactivates all groups and waits until no call or transaction of them is in
// progress, or until the context ends. It returns the number of calls and
// transactions that are still in progress.
func (e *Engine) Drain(ctx context.Context) int {
	e.stopping.Store(true)
	e.pool.Submit(e.updateOwnership)
	for {
		n := e.inProgress()
		if n == 0 {
			return 0
		}
		if !sleep.For(ctx, tickInterval) {
			return n
		}
	}
}

// inProgress returns the number of running and confirming calls and of open
// transactions in all groups.
func (e *Engine) inProgress() int {
	n := 0
	e.Inspect(func(g *group.Group) {
		_, running, confirming, open := g.Counts()
		n += running + confirming + open
	})
	return n
}

// Close stops the engine's loops and closes every slot and control connection.
func (e *Engine) Close() {
	close(e.stop)
	e.loops.Wait()
	for _, gr := range e.allGroups() {
		gr.close()
	}
}
