package rset

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/member"
	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/process/sleep"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

const (
	// hedgeDelay is how long one replica is asked alone whether it has received a commit.
	hedgeDelay = 60 * time.Millisecond
	// copyTimeout bounds one question for a replica's position.
	copyTimeout = 500 * time.Millisecond
	// minCopyPause and maxCopyPause bound the pause between two questions to a replica. The
	// pause doubles while the replica receives none of the commits that wait.
	minCopyPause = 4 * time.Millisecond
	maxCopyPause = 160 * time.Millisecond
)

// errNoCopy is returned for an acknowledged commit if no replica is known to have received it.
var errNoCopy = errors.New("no known replica has received the commit")

// SetMembers sets the function that returns the group's members, registered or not.
func (rs *ReplicaSet) SetMembers(known func() member.Set) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.members = known
}

// awaitCopy waits until a replica that a replacement of the leader would ask has received a
// commit that the leader acknowledged. The leader counts any replica, also one that no host
// knows yet or that is about to leave.
func (rs *ReplicaSet) awaitCopy(ctx context.Context, leader string, m mark.Mark) error {
	began := rs.now()
	replicas := rs.copyTargets(leader)
	if len(replicas) == 0 {
		return nil
	}
	done, stop := rs.copies.Add(leader, m)
	defer stop()
	rs.askForCopies(replicas[:1])
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	for {
		var err error
		select {
		case err = <-done:
			if err == nil {
				return nil
			}
		case <-hedge.C:
			rs.askForCopies(rs.copyTargets(leader))
			hedge.Reset(copyTimeout)
			continue
		case <-ctx.Done():
			err = ctx.Err()
		}
		rs.log.Warn("commit has no copy", zap.String("Group", rs.Name), zap.String("Leader", leader), zap.Stringer("Position", m),
			zap.Int("Replicas", len(replicas)), zap.Duration("Waited", rs.now()-began), zap.String("Error", err.Error()))
		return errors.Wrap(errNoCopy, err.Error())
	}
}

// How a replica can be asked for its position. The ones that are easier to reach come first.
const (
	answering = iota
	failing
	unregistered
)

// copyTarget is a replica that may confirm commits. reach is one of the constants above, and cost
// the expected time of its answer.
type copyTarget struct {
	target target.Target
	reach  int
	cost   time.Duration
}

// copyTargets returns the replicas whose logs a replacement of the leader would take into
// account, the one that is expected to answer first at the head. Replicas that are leaving count
// only if there are no others.
func (rs *ReplicaSet) copyTargets(leader string) []copyTarget {
	rs.mu.Lock()
	now, known := rs.now(), rs.members
	var found []copyTarget
	for id, ts := range rs.states {
		if id == leader {
			continue
		}
		reach := answering
		if ts.failingSince != 0 {
			reach = failing
		}
		found = append(found, copyTarget{ts.target, reach, rs.distance(ts.target.Zone) + ts.expectedLatency(now)})
	}
	rs.mu.Unlock()
	if known != nil {
		// The ReplicaSet must not be locked here: the members are read from it.
		for _, t := range known().Members() {
			if t.ID != leader && !slices.ContainsFunc(found, func(c copyTarget) bool { return c.target.ID == t.ID }) {
				found = append(found, copyTarget{target: t, reach: unregistered})
			}
		}
	}
	if slices.ContainsFunc(found, func(c copyTarget) bool { return !c.target.Leaving }) {
		found = slices.DeleteFunc(found, func(c copyTarget) bool { return c.target.Leaving })
	}
	slices.SortFunc(found, func(a, b copyTarget) int {
		return cmp.Or(cmp.Compare(a.reach, b.reach), cmp.Compare(a.cost, b.cost), cmp.Compare(a.target.ID, b.target.ID))
	})
	return found
}

// askForCopies asks replicas for their positions as long as commits wait, unless they are being
// asked.
func (rs *ReplicaSet) askForCopies(replicas []copyTarget) {
	for _, c := range replicas {
		if rs.copies.Ask(c.target.ID) {
			go rs.askForCopy(c)
		}
	}
}

// askForCopy asks a replica for its position as long as commits wait.
func (rs *ReplicaSet) askForCopy(c copyTarget) {
	if c.reach == unregistered {
		defer rs.copies.Forget(c.target.ID)
	}
	pause := minCopyPause
	for again := true; again; again = rs.copies.AskAgain(c.target.ID) {
		r, err := rs.reportPosition(c)
		if err == nil && rs.copies.Received(c.target.ID, r.Received) {
			pause = minCopyPause
			continue
		}
		if err != nil && c.reach == answering {
			// Another host may have a connection to the replica.
			c.reach = failing
		}
		sleep.For(context.Background(), pause)
		pause = min(2*pause, maxCopyPause)
	}
}

// reportPosition returns a replica's report. It changes nothing at the replica: a member ignores
// an order to pause with a term that it has reached.
func (rs *ReplicaSet) reportPosition(c copyTarget) (report.Report, error) {
	ctx, stop := context.WithTimeout(context.Background(), copyTimeout)
	defer stop()
	ask := stmt.New(stmt.ProxyID, stmt.Pause, "").WithName("", "0")
	switch c.reach {
	case answering:
		return rs.Report(ctx, c.target, ask)
	case failing:
		return rs.ReportFromAny(ctx, c.target, ask, rs.Report)
	}
	return rs.ReportFromAny(ctx, c.target, ask, rs.ReportUnregistered)
}
