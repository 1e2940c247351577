package rset

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

// removedFor is how long a target whose registration was removed is part of the logged
// view.
const removedFor = 5 * time.Minute

// view is what this host knows of the group, as it was logged last.
type view struct {
	// number counts the logged views, and is 0 before the first.
	number uint64
	// logged is set until the host's knowledge changes.
	logged bool
	// removed holds the targets whose registrations were removed, by ID.
	removed map[string]removal
}

// removal is a target whose registration was removed.
type removal struct {
	target target.Target
	at     time.Duration
}

// viewed is the log entry of one target in a view. Times are in milliseconds.
type viewed struct {
	ID         string
	Address    string
	Started    int64
	Registered bool
	Leaving    bool `json:",omitempty"`
	// RemovedMs is how long ago the registration was removed, FailingMs how long the
	// target has been failing, and HeardMs how long ago it answered, -1 if unknown.
	RemovedMs int64 `json:",omitempty"`
	FailingMs int64 `json:",omitempty"`
	HeardMs   int64
}

// changeView notes that this host's knowledge of the group changed; the caller holds the
// lock.
func (rs *ReplicaSet) changeView() {
	rs.view.logged = false
}

// noteRemoval notes in the view that a target's registration was removed; the caller
// holds the lock.
func (rs *ReplicaSet) noteRemoval(t target.Target) {
	if rs.view.removed == nil {
		rs.view.removed = map[string]removal{}
	}
	rs.view.removed[t.ID] = removal{t, rs.now()}
	rs.changeView()
}

// LogCommit logs that a target acknowledged the commit of a statement at a position.
// Before that, it logs the view if it has changed.
func (rs *ReplicaSet) LogCommit(id, target string, at mark.Mark) {
	rs.log.Info("commit acknowledged", zap.String("ID", id), zap.String("Group", rs.Name), zap.String("Target", target),
		zap.Stringer("Mark", at), zap.Uint64("View", rs.logView()))
}

// logView logs the view if it has changed, and returns its number.
func (rs *ReplicaSet) logView() uint64 {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.view.logged {
		return rs.view.number
	}
	rs.view.logged = true
	rs.view.number++
	rs.log.Info("group view", zap.String("Group", rs.Name), zap.Uint64("View", rs.view.number), zap.String("Leader", rs.leader),
		zap.Uint64("Term", rs.term), zap.Any("Members", rs.viewMembers()))
	return rs.view.number
}

// viewMembers returns the log entries of the targets; the caller holds the lock.
func (rs *ReplicaSet) viewMembers() []viewed {
	now := rs.now()
	members := make([]viewed, 0, len(rs.states)+len(rs.view.removed))
	for _, ts := range rs.states {
		v := viewed{ID: ts.target.ID, Address: ts.target.Address, Started: ts.target.Started, Registered: true, Leaving: ts.target.Leaving, HeardMs: -1}
		if ts.failingSince != 0 {
			v.FailingMs = max(1, (now - ts.failingSince).Milliseconds())
		}
		if ts.lastHeard != 0 {
			v.HeardMs = (now - ts.lastHeard).Milliseconds()
		}
		members = append(members, v)
	}
	for id, r := range rs.view.removed {
		if now-r.at > removedFor {
			delete(rs.view.removed, id)
			continue
		}
		members = append(members, viewed{ID: id, Address: r.target.Address, Started: r.target.Started, Leaving: r.target.Leaving, RemovedMs: max(1, (now - r.at).Milliseconds()), HeardMs: -1})
	}
	slices.SortFunc(members, func(a, b viewed) int { return cmp.Compare(a.ID, b.ID) })
	return members
}
