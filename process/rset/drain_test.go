package rset_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/rset"
	"github.com/pistachiotray/pistachiotray/process/target"
)

// A host that hears late that the leader leaves must not give it work for longer than others.
func TestLeavingLeaderThatWasHeardOfLateGetsWorkForTheDrainTime(t *testing.T) {
	const drain = 7 * time.Second
	for _, c := range []struct{ late, want time.Duration }{{0, drain}, {2 * time.Second, drain}, {4 * time.Second, 4*time.Second + drain/2}} {
		t.Run(c.late.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				began := time.Now()
				now := func() time.Duration { return time.Hour + time.Since(began) }
				known := now()
				rs := rset.New("g", zap.NewNop(), &reusedAddress{}, now, noDelay, rset.WithDrainTime(drain), rset.WithFirstStart(true),
					rset.WithRegistrationsKnown(func() time.Duration { return known }))
				defer func() {
					rs.Update(nil, target.Target{}, 32)
					time.Sleep(time.Minute)
				}()
				targets := newTargets(3)
				rs.Update(targets, targets[0], 32)
				time.Sleep(time.Second)
				leaves := time.Now()
				known = now()
				time.Sleep(c.late)
				targets[0] = targets[0].WithLeaving(true)
				rs.Update(targets, targets[0], 32)
				const step = 50 * time.Millisecond
				for range int(2 * drain / step) {
					ctx, stop := context.WithTimeout(t.Context(), time.Millisecond)
					_, err := rs.AwaitLeader(ctx)
					stop()
					if err != nil {
						break
					}
					time.Sleep(step)
				}
				got := time.Since(leaves)
				is.True(got >= c.want-step && got <= c.want+2*step)
			})
		})
	}
}
