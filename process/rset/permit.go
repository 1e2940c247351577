package rset

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/lease"
	"github.com/pistachiotray/pistachiotray/process/permit"
	"github.com/pistachiotray/pistachiotray/process/sleep"
)

const (
	// confirmTimeout is how long other hosts may take to confirm that they know of no
	// replacement: two round trips between regions and a little more.
	confirmTimeout = 250 * time.Millisecond
	// confirmPause is the pause between two attempts, and confirmLimit bounds them. The next
	// commit begins anew.
	confirmPause = 100 * time.Millisecond
	confirmLimit = 10 * time.Second
)

// errLapsed is returned for a commit that was answered after its permit had lapsed.
var errLapsed = errors.New("the leader may have been replaced")

// WithPermit returns an option that lets no commit be sent to a leader if this host has not
// known for the time limit that no host announced to replace it. The function known returns
// the time as of which the table of leases is known, 0 if it is not. It is called without
// the lock of the group.
func WithPermit(limit time.Duration, known func() time.Duration) func(*ReplicaSet) {
	return func(rs *ReplicaSet) { rs.permit, rs.leasesKnownAt = permit.New(limit), known }
}

// NoteLease takes note of a stored lease. As long as it names an order that may still be
// carried out, no commits are sent to a leader other than the ordered target.
func (rs *ReplicaSet) NoteLease(l lease.Lease) {
	if !l.Done {
		rs.AnnounceReplacement(l.Replaces)
	}
	ordered := ""
	if l.OrderPending() {
		ordered = l.Target
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.ordered != ordered {
		rs.ordered = ordered
		rs.notifyChanged()
	}
}

// mayBeReplaced reports whether a target is a leader that may be being replaced; the caller
// holds the lock.
func (rs *ReplicaSet) mayBeReplaced(id string) bool {
	switch rs.leader {
	case id:
		return rs.doubt.open || rs.ordered != "" && rs.ordered != id
	case "":
		return rs.lastLeader == id
	}
	return false
}

// permitLeft returns for how long commits may still be sent to the leader.
func (rs *ReplicaSet) permitLeft() time.Duration {
	known := rs.leasesKnownAt()
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.permit.Left(rs.now(), known)
}

// guardCommit closes a connection if the permit lapses before the answer to a commit on it
// has arrived. The returned function ends that.
func (rs *ReplicaSet) guardCommit(cn *conn.Conn) (stop func()) {
	var lapse *time.Timer
	lapse = time.AfterFunc(time.Hour, func() {
		if left := rs.permitLeft(); left > 0 {
			lapse.Reset(left)
			return
		}
		rs.log.Warn("commit given up without a confirmation", zap.String("Group", rs.Name), zap.String("Target", cn.Target))
		cn.Close()
	})
	lapse.Reset(rs.permitLeft())
	return func() { lapse.Stop() }
}

// startConfirming asks other hosts whether they know of a replacement, unless they are being
// asked; the caller holds the lock.
func (rs *ReplicaSet) startConfirming() {
	if rs.confirming {
		return
	}
	rs.confirming = true
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), confirmLimit)
		defer stop()
		for ctx.Err() == nil && !rs.confirm(ctx) {
			sleep.For(ctx, confirmPause)
		}
		rs.mu.Lock()
		defer rs.mu.Unlock()
		rs.confirming = false
		rs.notifyChanged()
	}()
}

// confirm asks the other hosts once, unless commits may be sent by what is known already. It
// returns false if it must be tried again, also if no leader is known or it is doubted.
func (rs *ReplicaSet) confirm(ctx context.Context) bool {
	known := rs.leasesKnownAt()
	rs.mu.Lock()
	left, leader, open := rs.permit.Left(rs.now(), known), rs.leader, rs.mayBeReplaced(rs.leader)
	due := rs.permit.RenewalDue(left)
	rs.mu.Unlock()
	if !due {
		return true
	}
	if leader == "" || open {
		return false
	}
	asked := rs.now()
	if !rs.mostConfirm(ctx, leader) {
		if left <= 0 {
			rs.log.Info("no confirmation that the leader is not replaced", zap.String("Group", rs.Name), zap.String("Target", leader), zap.Duration("LeasesKnown", asked-known))
		}
		return false
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.permit = rs.permit.WithConfirmed(asked)
	return true
}

// mostConfirm reports whether most hosts that connect to the group, this one included, confirm
// that they know of no replacement of a leader. GatherAcknowledged counts the same hosts.
func (rs *ReplicaSet) mostConfirm(ctx context.Context, leader string) bool {
	ctx, stop := context.WithTimeout(ctx, confirmTimeout)
	defer stop()
	hosts := rs.otherHosts("")
	confirmed := 0
	rs.mu.Lock()
	self := rs.assignment.Self()
	rs.mu.Unlock()
	if rs.Confirms(leader, self) {
		confirmed++
	}
	answers := make(chan error, len(hosts))
	for _, h := range hosts {
		go func() { answers <- rs.borrower.Confirm(ctx, rs.Name, leader, self, h) }()
	}
	for range hosts {
		if permit.Majority(confirmed, len(hosts)+1) {
			return true
		}
		if <-answers == nil {
			confirmed++
		}
	}
	return permit.Majority(confirmed, len(hosts)+1)
}

// Confirms reports whether this host knows that a target leads and of no replacement of it, and
// that the host that asks, which may be this one, connects to the group: one that the others
// do not count must not be confirmed, since half of them may not have heard of a replacement. A
// host that started may have forgotten an announcement until it has read the leases.
func (rs *ReplicaSet) Confirms(leader, host string) bool {
	known := rs.leasesKnownAt()
	rs.mu.Lock()
	defer rs.mu.Unlock()
	counted := host == rs.assignment.Self() || slices.ContainsFunc(rs.connectingHosts(""), func(h gossip.HostInfo) bool { return h.Host == host })
	return counted && rs.leader == leader && !rs.mayBeReplaced(leader) && known >= rs.startedAt
}
