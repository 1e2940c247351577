package engine

import (
	"context"
	"time"

	"github.com/pistachiotray/pistachiotray/process/group"
)

// Leave notifies the owner of a session's group that the caller ended the
// session.
func (e *Engine) Leave(name, session string) {
	if host := e.Owner(name); host != e.host {
		e.links.Leave(host, name, session)
		return
	}
	e.LeaveOwned(name, session)
}

// LeaveOwned ends a session of a group that this host owns.
func (e *Engine) LeaveOwned(name, session string) {
	e.onKnownGroup(name, func(g *group.Group, now time.Time) { g.EndSession(now, session) })
}

// Detach notifies the owner of a session's group that the session lost its
// connection.
func (e *Engine) Detach(name, session string) {
	if host := e.Owner(name); host != e.host {
		e.links.Detach(host, name, session)
		return
	}
	e.DetachOwned(name, session)
}

// DetachOwned starts the grace period of a session's open transaction, for a
// group that this host owns.
func (e *Engine) DetachOwned(name, session string) {
	e.onKnownGroup(name, func(g *group.Group, now time.Time) { g.Detach(now, session) })
}

// Attach notifies the owner of a session's group that the session reconnected,
// and reports whether the session has an open transaction.
func (e *Engine) Attach(ctx context.Context, name, session string) bool {
	if host := e.Owner(name); host != e.host {
		return e.links.Attach(ctx, host, name, session)
	}
	return e.AttachOwned(ctx, name, session)
}

// AttachOwned ends the grace period of a session's transaction, for a group that
// this host owns, and reports whether the session has an open transaction.
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

// Reaches reports whether this host reaches a member. The owner of the group
// asks other hosts this for a second opinion.
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

// StartSwitchover starts a planned switchover of a group's primary. It returns false if
// this host does not own the group, or the group has no such member.
func (e *Engine) StartSwitchover(name, to string) bool {
	gr := e.runner(name)
	if gr == nil {
		return false
	}
	ok := false
	gr.withGroup(func(g *group.Group, now time.Time) { ok = g.StartSwitchover(now, to) })
	return ok
}

// Inspect calls f for each known group, under the group's lock.
func (e *Engine) Inspect(f func(*group.Group)) {
	for _, gr := range e.allGroups() {
		gr.withGroup(func(g *group.Group, _ time.Time) { f(g) })
	}
}

// Drain deactivates all groups and waits until none of their calls and
// transactions is in progress, or the context ends. It returns the number that
// remained.
func (e *Engine) Drain(ctx context.Context) int {
	e.stopping.Store(true)
	e.pool.Submit(e.updateOwnership)
	for {
		n := e.inProgress()
		if n == 0 {
			return 0
		}
		timer := time.NewTimer(tickInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return n
		case <-timer.C:
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

// Close stops the engine's loops and closes every slot.
func (e *Engine) Close() {
	close(e.stop)
	e.loops.Wait()
	for _, gr := range e.allGroups() {
		gr.close()
	}
}
