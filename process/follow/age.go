package follow

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/sleep"
)

// limit returns the age at which a table is stale at a host with that many hops. A
// copy is as old as the wait at the store and at each host on the way.
func (f *Follower) limit(table string, hops int) time.Duration {
	return f.ages[table] + time.Duration(1+hops)*f.wait
}

// MaxAge returns how old the copy of a table gets at any host while the store answers.
func (f *Follower) MaxAge(table string) time.Duration {
	return f.limit(table, maxHops)
}

// stale reports whether a table is stale.
func (f *Follower) stale(hops int) bool {
	for table := range f.ages {
		if f.age(table) > f.limit(table, hops) {
			return true
		}
	}
	return false
}

// Current reports whether the copy of a table is as new as this host could know it: it is
// not stale, or another host that answers has no newer one.
func (f *Follower) Current(table string) bool {
	f.mu.Lock()
	alone := f.knownAt != 0 && len(f.hosts) <= 1
	answered := f.answeredAt != 0 && f.now()-f.answeredAt <= 2*(f.wait+answerMargin)
	f.mu.Unlock()
	return alone || answered || f.age(table) <= f.MaxAge(table)
}

// age returns for how long the store may have had newer changes of a table.
func (f *Follower) age(table string) time.Duration {
	return f.now() - f.mirror.FreshAt(table)
}

// Await waits until this host has to read a table from the store: it has no host to
// follow, or what it gets through others is stale. It returns false if the context
// ended.
func (f *Follower) Await(ctx context.Context, table string) bool {
	for ctx.Err() == nil {
		f.mu.Lock()
		changed := f.changed
		f.mu.Unlock()
		due, after := f.storeDue(table)
		if due {
			return true
		}
		f.pause(ctx, changed, after)
	}
	return false
}

// pause waits until the channel is closed, but no longer than d.
func (f *Follower) pause(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	sleep.Until(ctx, changed, max(d, minPause))
}

// storeDue reports whether this host has to read a table from the store, and otherwise
// after which time it may have to, unless its place changes before.
func (f *Follower) storeDue(table string) (bool, time.Duration) {
	r, ok := f.place()
	fresh := f.mirror.FreshAt(table)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var dueAt time.Duration
	switch {
	case !ok && table == f.hostTable:
		return true, 0
	case !ok:
		dueAt = f.started + f.hostPatience
	case len(r.Upstreams()) == 0:
		return true, 0
	case fresh == 0:
		dueAt = f.knownAt + startPatience
	default:
		dueAt = fresh + f.limit(table, r.Hops()) + f.wait
		read := f.reads[table]
		unanswered := read.at > fresh
		if unanswered {
			// The store may answer nobody, and those that this host follows go on asking.
			dueAt = max(dueAt, read.at+read.pause)
		}
		if now >= dueAt {
			f.log.Info("copy of a table is old, reading the store", zap.String("Table", table), zap.Duration("Age", now-fresh))
			next := ownRead{at: now, pause: firstRetryAges * f.ages[table]}
			if unanswered {
				next.pause = retryAges * f.ages[table]
			}
			f.reads[table] = next
		}
	}
	if ok {
		return now >= dueAt, min(dueAt, f.rankUntil) - now
	}
	return now >= dueAt, dueAt - now
}
