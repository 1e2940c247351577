// Package promo replaces the leader of a database group.
package promo

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/lease"
	"github.com/pistachiotray/pistachiotray/process/member"
	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/process/rset"
	"github.com/pistachiotray/pistachiotray/process/sleep"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

const (
	// claimHold is how long other hosts may not claim the lease after a claim
	// whose replacement is not done: the time that a replacement with some
	// retries takes.
	claimHold = 3 * time.Second
	// checkPause is the pause between two checks of a group whose leader has a
	// problem, and between two attempts to prepare its replacement.
	checkPause = 100 * time.Millisecond
	// maxCheckPause is the longest pause between two checks. The pause doubles
	// while another host holds the lease, has an order pending, or the store does
	// not answer.
	maxCheckPause = 800 * time.Millisecond
	// startJitter is the longest random delay before an attempt to replace the
	// leader. It spreads the attempts of hosts that notice a problem at the
	// same time.
	startJitter = 120 * time.Millisecond
	// stepTimeout is the maximum duration of one command to a target. It
	// includes the wait for a connection, and opening one may have to wait for
	// a slot.
	stepTimeout = 600 * time.Millisecond
	// prepareTimeout is the maximum duration of the preparation of a
	// replacement, in which the replicas stop receiving log entries.
	prepareTimeout = 1500 * time.Millisecond
	// demoteTimeout is the maximum duration of a demotion. Callers wait for it if the
	// leader has failed and a host that was asked does not know that yet.
	demoteTimeout = 400 * time.Millisecond
	// electTimeout is the maximum duration of an election: of the commands that
	// demote the leader, and of those that stop the other targets once more.
	electTimeout = 1200 * time.Millisecond
	// tailTime is how long entries may take to arrive that a leader had sent when it was
	// demoted: several times the latency between regions. tailPause is the pause between two
	// checks whether they have.
	tailTime  = 120 * time.Millisecond
	tailPause = 20 * time.Millisecond
	// absentTimeout is the maximum duration of a command to a member that is absent, which is
	// not waited for: several round trips between regions.
	absentTimeout = 200 * time.Millisecond
	// gatherTimeout is how long other hosts may take to tell which commits were
	// acknowledged to them: two round trips between regions and a little more.
	gatherTimeout = 250 * time.Millisecond
	// receiveTime is how long replicas may take to receive an entry that the
	// leader wrote: several times the latency between regions.
	receiveTime = 400 * time.Millisecond
	// minReservePause and maxReservePause bound the mean pause before this host
	// tries to reserve the lease. The pause doubles each time until a
	// reservation succeeds. At most maxReserves such reservations are made by
	// all hosts under one leader.
	minReservePause = time.Second
	maxReservePause = time.Minute
	maxReserves     = 3
	// farHostDelay is the mean delay before a host reserves the lease if
	// maxReserves hosts are nearer to the leader, and grows by as much with each
	// further host. It leaves nearer hosts time to reserve the lease first.
	farHostDelay = 20 * time.Second
	// claimTimeout is the maximum duration of a claim, which is enough for a
	// slow store. A host that can fall back on a reserved lease waits only
	// claimTimeoutReserved, several times the usual response time of the store
	// from another region.
	claimTimeoutReserved = 350 * time.Millisecond
	claimTimeout         = 2 * time.Second
	// leadTimeout is the maximum wait until a promoted target leads, and
	// leadPollPause is the pause between two checks whether it does.
	leadTimeout   = 5 * time.Second
	leadPollPause = 40 * time.Millisecond
	// maxTakeoverDeferral is the maximum time for which a host that is probably
	// isolated leaves it to other hosts to take over from a silent leader. It is
	// several times the duration of a takeover.
	maxTakeoverDeferral = 4 * time.Second
	// commitMargin is how much later than its permit lapses a host's last commit may reach
	// the leader: the latency between regions, and some time for a busy machine.
	commitMargin = 200 * time.Millisecond
	// silentHostsTime is how long a replacement waits if most of the other hosts do not
	// answer. They may confirm to each other that the leader is not replaced.
	silentHostsTime = time.Minute
	// orderTimeout is the maximum duration of a promotion, from storing the
	// order until the target leads.
	orderTimeout = 20 * time.Second
)

// ErrTaken is returned when the stored lease has changed since it was read.
var ErrTaken = errors.New("the lease was changed since it was read")

// ErrFenced is returned when the platform refuses an order because of its
// fencing token.
var ErrFenced = errors.New("the platform refused the order")

// platform stores leases and promotes targets.
type platform interface {
	// Read returns a group's lease and the time by the store's clock.
	Read(ctx context.Context, group string) (lease.Lease, time.Duration, error)
	// Write stores a lease and returns it with its new version. It returns
	// ErrTaken if the stored lease has changed since it was read.
	Write(ctx context.Context, l lease.Lease) (lease.Lease, error)
	// Promote orders the lease's target to lead, and waits for the answer. It
	// returns ErrFenced if the lease's token is too low.
	Promote(ctx context.Context, l lease.Lease) error
}

// Promoter monitors one group's leader and replaces it.
type Promoter struct {
	host     string
	log      *zap.Logger
	group    *rset.ReplicaSet
	platform platform
	// reservedLease is the lease that this host claimed in advance, to be used
	// in an outage of the store. Its token is 0 if there is none.
	reservedLease lease.Lease
	reservePause  time.Duration
	// restored returns the newest era of the store that this host has seen, and how
	// long ago it learned that the store had been restored.
	restored func() (era uint64, ago time.Duration)
	// refresh updates the group's targets from the store.
	refresh func(ctx context.Context) error
	// current reports whether the group's targets are as new as this host could know
	// them while the store does not answer.
	current func() bool
	// members returns the group's members, registered or not, and refreshMembers reads
	// them from the store.
	members        func() member.Set
	refreshMembers func(ctx context.Context) error
	// now returns the time since some moment, including time when the machine was
	// suspended. heldUntil is when other hosts may claim the lease that this host
	// claimed last.
	now       func() time.Duration
	heldUntil time.Duration
	// permitTime is how long a host may send commits to a leader without a confirmation that
	// no host replaces it. outwaited is the leader to which, under the present claim, no
	// other host sends commits any more. silentSince is when most other hosts were found
	// not to answer, 0 if they answered last.
	permitTime  time.Duration
	outwaited   string
	silentSince time.Duration
	// orderPending is set after an order of this host that was not confirmed, while that
	// order may still be carried out. Run then hands the lead over to the ordered target
	// even if the leader serves again, since replicas must not receive log entries
	// before an order is answered, and one that joins meanwhile would.
	orderPending bool
	// heldAsked is set once no replica was found that holds back entries, since this host
	// started or last heard an announcement.
	heldAsked bool
	// claimed is the last claim of this host, until its order was carried out or it was
	// released. Its token is 0 if there is none.
	claimed lease.Lease
	// pending is the lease with the order that may still be carried out while this host
	// prepares the next one. Its token is 0 if there is none.
	pending lease.Lease
	// sent is the lease with the last order that this host sent. After another host has
	// claimed the lease, this host claims it again only after orderedUntil.
	sent         lease.Lease
	orderedUntil time.Duration
	// tally is how the last preparation counted the members.
	tally *tally
	// isolated reports whether a silent leader is more likely a fault of this
	// host than of the leader.
	isolated func() bool
	// settledLeader is the last leader under which enough hosts were seen to have
	// reserved the lease.
	settledLeader string
	// deferredLeader is the last leader under which this host delayed its
	// reservation of the lease to let nearer hosts reserve first.
	deferredLeader string
}

// New returns a Promoter for one group on one host.
func New(host string, log *zap.Logger, rs *rset.ReplicaSet, pl platform, options ...func(*Promoter)) *Promoter {
	p := &Promoter{host: host, log: log.With(zap.String("Group", rs.Name)), group: rs, platform: pl, isolated: func() bool { return false }}
	began := time.Now()
	p.now = func() time.Duration { return time.Since(began) }
	p.restored = func() (uint64, time.Duration) { return math.MaxUint64, math.MaxInt64 }
	p.refresh = func(context.Context) error { return nil }
	p.current = func() bool { return true }
	p.members = func() member.Set { return member.New(rs.Name).WithRegistered(rs.Targets(), 0) }
	p.refreshMembers = func(context.Context) error { return nil }
	for _, set := range options {
		set(p)
	}
	return p
}

// WithIsolationCheck returns an option that sets the function isolated, which
// reports whether a silent leader is more likely a fault of this host than of
// the leader. While it returns true, the host leaves a takeover to other hosts,
// for at most maxTakeoverDeferral.
func WithIsolationCheck(isolated func() bool) func(*Promoter) {
	return func(p *Promoter) { p.isolated = isolated }
}

// WithClock returns an option that sets the clock by which a claim of the lease ends. It
// includes time when the machine was suspended.
func WithClock(now func() time.Duration) func(*Promoter) {
	return func(p *Promoter) { p.now = now }
}

// WithPermits returns an option that sets how long a host may send commits to a leader without
// a confirmation that no host replaces it.
func WithPermits(limit time.Duration) func(*Promoter) {
	return func(p *Promoter) { p.permitTime = limit }
}

// WithRestores returns an option that sets the function restored, which returns the
// newest era of the store that this host has seen, and how long ago it learned that the
// store had been restored from a copy. The store may have lost the claim of a host that
// still acts on it, so for claimHold after that, the host claims no lease.
func WithRestores(restored func() (era uint64, ago time.Duration)) func(*Promoter) {
	return func(p *Promoter) { p.restored = restored }
}

// WithRegistrations returns an option that sets the functions refresh, which updates the
// group's targets from the store, and current, which reports whether they are as new as
// this host could know them while the store does not answer. A host that does not know
// all targets can't replace a leader: those that it does not know may go on
// acknowledging commits.
func WithRegistrations(refresh func(ctx context.Context) error, current func() bool) func(*Promoter) {
	return func(p *Promoter) { p.refresh, p.current = refresh, current }
}

// WithMembers returns an option that sets the functions refresh, which reads the group's
// members from the store, and known, which returns them, registered or not. All members
// must be heard before a leader is replaced that was not demoted.
func WithMembers(refresh func(ctx context.Context) error, known func() member.Set) func(*Promoter) {
	return func(p *Promoter) { p.refreshMembers, p.members = refresh, known }
}

// Run monitors the leader until the context ends.
func (p *Promoter) Run(ctx context.Context) {
	for {
		reserveDue, stop := p.reserveTimer()
		select {
		case <-ctx.Done():
			stop()
			return
		case <-reserveDue:
			if !p.reserveLease(ctx) {
				continue
			}
		case <-p.group.LeaderAlarm():
			stop()
		}
		began := time.Now()
		for wait := checkPause; ctx.Err() == nil; {
			why, due, trouble := p.group.LeaderProblem()
			if due && !planned(why) && time.Since(began) < maxTakeoverDeferral && p.isolated() {
				due = false
			}
			if p.orderPending && !due {
				why, due, trouble = rset.ReplicasBehind, true, true
			}
			doubts, open, _ := p.group.Doubts()
			answers := why != rset.LeaderSilent && why != rset.LeaderUnknown && !p.orderPending
			if (!trouble || open && answers) && !p.underWay(ctx, why) {
				p.group.TrustLeader(doubts)
				if !trouble {
					p.release(ctx)
					break
				}
			}
			switch {
			case due:
				sleep.For(ctx, rand.N(startJitter))
				wait = min(2*wait, maxCheckPause)
				if p.replace(ctx, why) {
					wait = checkPause
				}
			case trouble:
				wait = checkPause
			default:
				wait = min(2*wait, maxCheckPause)
			}
			p.pause(ctx, wait)
		}
		// A token that was reserved under another leader is lower than the
		// lease's present token, so it can't be used any more.
		if leader, ok := p.group.Leader(); ok && leader.ID != p.reservedLease.Target {
			p.reservedLease, p.reservePause = lease.Lease{}, 0
		}
	}
}

// pause waits for d, or until there is a new reason to doubt the leader: callers wait until
// it is trusted again.
func (p *Promoter) pause(ctx context.Context, d time.Duration) {
	sleep.Until(ctx, p.group.LeaderDoubted(), d)
}

// replace claims the lease and replaces the leader. It returns true if this
// host got the lease or used its reserved one, even if the replacement failed.
// Otherwise it returns false: the claim failed, another host acts, or the
// leader no longer needs to be replaced.
func (p *Promoter) replace(ctx context.Context, why string) bool {
	leader, _ := p.group.Leader()
	if why == rset.LeaderStalled && !p.replicationStalled(ctx, leader) {
		p.group.ClearStall(leader.ID)
		return false
	}
	if why == rset.ReplicasBehind && !p.orderPending && p.members().Missing() {
		p.group.NoteLagHandover()
		return false
	}
	l, ok := p.claim(ctx, why)
	ok = ok && p.confirm(ctx, l, why)
	if why == rset.ReplicasBehind {
		p.group.NoteLagHandover()
	}
	if !ok {
		return false
	}
	p.pending = p.pendingOrder(l)
	if leader, ok = p.group.Leader(); !ok {
		leader, _ = p.group.LostLeader()
	}
	if leader.ID != "" && leader.ID != p.pending.Former {
		// Another target has led since.
		p.pending = p.pending.WithFormer("", 0)
	}
	began := time.Now()
	p.tally = newTally(p.members())
	var chosen report.Report
	if planned(why) {
		chosen, ok = p.handover(ctx, leader, p.pending.Target)
	} else {
		chosen, ok = p.takeover(ctx, leader, p.pending.Target, why)
	}
	p.logCounts(l, leader.ID, chosen.Member, why, ok)
	if !ok {
		p.log.Warn("replacement not safe", zap.String("Why", why), zap.Uint64("Token", l.Token), zap.String("Noted", l.Target))
		// A stored order may still be carried out. Until a further order is
		// answered, no target may receive entries that the ordered target does
		// not have. After the claim has ended, another host may have ordered one.
		now, _ := p.group.Leader()
		if (p.pending.Token == 0 || now.ID == p.pending.Target) && p.holds() {
			p.resume(ctx)
		}
		return true
	}
	if l.Token == p.claimed.Token {
		// The claim may have been renewed.
		l = p.claimed
	}
	former, term := p.pending.Former, p.pending.FormerTerm
	if leader.ID != "" {
		former, term = leader.ID, chosen.Term
	}
	if p.promote(ctx, l.WithFormer(former, term), chosen.Member, why, began) {
		p.orderPending = false
	}
	return true
}

// resume orders all targets to receive log entries again, and does not wait for
// their answers.
func (p *Promoter) resume(ctx context.Context) {
	for _, t := range p.group.Targets() {
		go func() {
			ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), stepTimeout)
			defer stop()
			if _, err := p.group.Report(ctx, t, stmt.New(stmt.ProxyID, stmt.Resume, "")); err != nil {
				p.log.Info("replica did not resume receiving log entries", zap.String("Target", t.ID), zap.String("Error", err.Error()))
			}
		}()
	}
}
