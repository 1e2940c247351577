package rset_test

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/pistachiotray/pistachiotray/connection/batch"
	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/process/rset"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

func noDelay(string) time.Duration { return 0 }

// newTargets returns the registrations of the first n targets of a group.
func newTargets(n int) []target.Target {
	targets := []target.Target{
		target.New("t1", "g", "10.0.0.1:1", "z").WithSlots(5).WithRole(true), target.New("t2", "g", "10.0.0.2:1", "z").WithSlots(5),
		target.New("t3", "g", "10.0.0.3:1", "z").WithSlots(5),
	}
	return targets[:n]
}

func TestViewIsLoggedWhenItChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		core, logs := observer.New(zap.InfoLevel)
		rs := rset.New("g", zap.New(core), &reusedAddress{}, func() time.Duration { return time.Hour + time.Since(began) }, noDelay)
		defer func() {
			rs.Update(nil, target.Target{}, 32)
			time.Sleep(time.Minute)
		}()
		targets := newTargets(3)
		// commit logs a commit, and returns the number of its view and of the views so far.
		commit := func() (uint64, int) {
			rs.LogCommit("q1", "t1", mark.New(1, 7))
			lines := logs.FilterMessage("commit acknowledged").All()
			return lines[len(lines)-1].ContextMap()["View"].(uint64), logs.FilterMessage("group view").Len()
		}
		for want, change := range []func(){
			func() { rs.Update(targets, targets[0], 32) },
			func() {
				rs.Update([]target.Target{targets[0], targets[1].WithLeaving(true), targets[2]}, targets[0], 32)
			},
			func() { rs.Update(targets[:2], targets[0], 32) },
			func() { rs.ClearLeader("t1") },
			func() {
				_, err := rs.Take(t.Context(), "t2", batch.New(caller.Caller{}))
				is.True(errors.Is(err, code.NotRunWrongTarget))
			},
		} {
			change()
			for range 3 {
				number, logged := commit()
				is.Equal(number, uint64(want+1))
				is.Equal(logged, want+1)
			}
		}
	})
}

func BenchmarkLogCommit(b *testing.B) {
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(io.Discard), zap.InfoLevel))
	began := time.Now()
	rs := rset.New("g", log, &reusedAddress{}, func() time.Duration { return time.Hour + time.Since(began) }, noDelay)
	targets := newTargets(3)
	rs.Update(targets, targets[0], 32)
	for b.Loop() {
		rs.LogCommit("d081ddd997c0fc1b", "i-552c7989", mark.New(3, 1200))
	}
}
