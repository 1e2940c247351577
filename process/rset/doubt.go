package rset

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// errReplaced is returned to calls that wait for a connection to a leader that is about to be
// replaced.
var errReplaced = errors.New("the leader is about to be replaced")

// doubt is the state of a leader that may be being replaced, while it may serve again.
type doubt struct {
	// count is the number of reasons for a doubt so far.
	count uint64
	// open is set while no commit may be sent to the leader.
	open bool
	// announced is when a host last announced to replace a target, 0 if none did, and
	// announcedID that target, which may be found to lead later.
	announced   time.Duration
	announcedID string
}

// AnnounceReplacement records that a host is about to replace a target that may lead. It
// closes the connections to that target, and no commit is sent to it until it is known whether
// the replacement goes on.
func (rs *ReplicaSet) AnnounceReplacement(id string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if id == "" {
		return
	}
	rs.doubt.announced, rs.doubt.announcedID = rs.now(), id
	if rs.leader == id {
		rs.doubtLeader("replacement announced")
		rs.raiseAlarm()
	}
	ts, ok := rs.states[id]
	if !ok {
		return
	}
	// Commits that were sent to it before must not be acknowledged to callers any more.
	ts.pool.Abort(errReplaced)
	if rs.borrower != nil {
		rs.borrower.Abort(id)
	}
}

// doubtLeader lets no commit be sent to the leader until TrustLeader is called; the caller
// holds the lock.
func (rs *ReplicaSet) doubtLeader(why string) {
	rs.doubt.count++
	signal(rs.doubted)
	if !rs.doubt.open {
		rs.doubt.open = true
		rs.log.Info("leader doubted", zap.String("Group", rs.Name), zap.String("Target", rs.leader), zap.String("Why", why))
	}
}

// doubtIfLost doubts a leader if connections to it were lost since the last call. Its process
// may have restarted, and lead again although it was demoted meanwhile.
func (rs *ReplicaSet) doubtIfLost(id string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	ts, ok := rs.states[id]
	if !ok {
		return
	}
	lost := ts.pool.Lost()
	if lost != ts.lost && rs.leader == id {
		rs.doubtLeader("connections lost")
		rs.raiseAlarm()
	}
	ts.lost = lost
}

// Doubts returns how many reasons for a doubt of a leader there were so far, whether no
// commit may be sent to the present one, and how long ago a host announced to replace it. The
// time is negative if none did.
func (rs *ReplicaSet) Doubts() (count uint64, open bool, announced time.Duration) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	announced = -1
	if rs.doubt.announced != 0 && rs.doubt.announcedID == rs.leader {
		announced = rs.now() - rs.doubt.announced
	}
	return rs.doubt.count, rs.doubt.open, announced
}

// TrustLeader lets commits be sent to the leader, unless there were other reasons for a
// doubt than the given number.
func (rs *ReplicaSet) TrustLeader(count uint64) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.doubt.open && rs.doubt.count == count {
		rs.doubt.open = false
		rs.log.Info("leader trusted", zap.String("Group", rs.Name), zap.String("Target", rs.leader))
		rs.notifyChanged()
	}
}

// awaitTrust waits until commits may be sent on a connection: not while its target is doubted,
// or is the last leader and none is known, nor without a permit. A host that lends the
// connection waits for the permit itself. It returns ErrNotSent if the context ends first.
func (rs *ReplicaSet) awaitTrust(ctx context.Context, cn *conn.Conn) error {
	for {
		known := rs.leasesKnownAt()
		rs.mu.Lock()
		open, changed := rs.mayBeReplaced(cn.Target), rs.changed
		left := rs.permit.Left(rs.now(), known)
		if !open && !cn.Borrowed && rs.permit.RenewalDue(left) {
			rs.startConfirming()
		}
		rs.mu.Unlock()
		if !open && (cn.Borrowed || left > 0) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Wrap(ErrNotSent, "the leader may be replaced")
		}
	}
}

// mayCommit reports whether a stage may commit data on a connection.
func mayCommit(cn *conn.Conn, stage []stmt.Stmt) bool {
	for _, s := range stage {
		if s.WritesData() || s.Kind == stmt.Commit && cn.Wrote {
			return true
		}
	}
	return false
}
