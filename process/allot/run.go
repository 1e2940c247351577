package allot

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/award"
	"github.com/pistachiotray/pistachiotray/process/claim"
	"github.com/pistachiotray/pistachiotray/process/sleep"
)

const (
	// minGap is the minimum time between two claims.
	minGap = 100 * time.Millisecond
	// claimTimeout bounds the wait for the answer to a claim: a new connection and several
	// round trips between regions.
	claimTimeout = 300 * time.Millisecond
	// maxTurns is how many hosts are asked in a row without a pause.
	maxTurns = 4
)

// errUnknownHost is returned for a coordinator whose address is not known.
var errUnknownHost = errors.New("the address of the coordinator is not known")

// Run claims this host's shares until the context ends. It sends nothing while no customer
// of the plan has a limit.
func (al *Allotments) Run(ctx context.Context) {
	for ctx.Err() == nil {
		al.pause(ctx)
		al.mu.Lock()
		limited := al.limited
		al.mu.Unlock()
		if !limited {
			continue
		}
		settled := false
		for turn := 0; turn < maxTurns && ctx.Err() == nil && !settled; turn++ {
			settled = al.claim(ctx)
		}
		sleep.For(ctx, minGap)
	}
}

// pause waits until the next claim is due, or until one is asked for.
func (al *Allotments) pause(ctx context.Context) {
	al.mu.Lock()
	limited, interval := al.limited, al.buckets.Interval()
	al.mu.Unlock()
	if !limited {
		select {
		case <-al.wake:
		case <-ctx.Done():
		}
		return
	}
	// The time varies, so that the claims of hosts that start together spread.
	const spread = 0.1
	timer := time.NewTimer(time.Duration(float64(interval-minGap) * (1 - spread*rand.Float64())))
	defer timer.Stop()
	select {
	case <-al.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// claim sends one claim and takes note of the answer. It reports false if another claim
// should follow at once.
func (al *Allotments) claim(ctx context.Context) bool {
	al.coordMu.Lock()
	ready := al.coordinator.Ready(al.now())
	al.coordMu.Unlock()
	al.mu.Lock()
	sent := al.now()
	before := al.buckets.Coordinator()
	to, c, ok := al.buckets.Claim(sent, ready)
	al.mu.Unlock()
	if !ok {
		return true
	}
	answer, err := al.ask(ctx, to, c)
	taken := err == nil && al.takeOver(sent, answer)
	al.mu.Lock()
	defer al.mu.Unlock()
	now := al.now()
	if err != nil {
		al.buckets.Fail(now, to)
	} else {
		al.buckets.Accept(now, sent, to, answer)
	}
	if taken {
		al.buckets.TakeOver()
	}
	if after := al.buckets.Coordinator(); after != before && al.limiter.Allow() {
		al.log.Info("coordinator of the limits changed", zap.String("From", before), zap.String("To", after), zap.Uint64("Plan", al.plan.Version))
	}
	if err != nil && al.limiter.Allow() {
		al.log.Warn("claim of shares not answered", zap.String("Coordinator", to), zap.String("Error", err.Error()))
	}
	close(al.changed)
	al.changed = make(chan struct{})
	return err == nil && answer.Confirmed && al.buckets.Settled(now)
}

// ask sends a claim to a host, which may be this one.
func (al *Allotments) ask(ctx context.Context, to string, c claim.Claim) (award.Award, error) {
	if to == al.self {
		return al.Award(c), nil
	}
	al.mu.Lock()
	h, ok := al.assignment.Host(to)
	al.mu.Unlock()
	if !ok {
		return award.Award{}, errUnknownHost
	}
	ctx, stop := context.WithTimeout(ctx, claimTimeout)
	defer stop()
	return al.asker.Quota(ctx, c, h)
}
