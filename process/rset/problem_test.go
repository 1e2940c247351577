package rset_test

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/remote"
	"github.com/pistachiotray/pistachiotray/process/assign"
	"github.com/pistachiotray/pistachiotray/process/borrow"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/rset"
	"github.com/pistachiotray/pistachiotray/process/target"
)

// noHosts is a dialer that reaches no other host.
type noHosts struct{}

func (noHosts) Host(context.Context, gossip.HostInfo) (*remote.Remote, error) {
	return nil, syscall.ECONNREFUSED
}

// Where few hosts connect to a group, a lost leader must not make all hosts ask the store for
// the lease at the same time.
func TestHostsThatConnectReplaceALostLeaderFirst(t *testing.T) {
	for name, test := range map[string]struct {
		connections int
		after       time.Duration
	}{"every host connects": {1000, 1200 * time.Millisecond}, "two of 40 hosts connect": {8, 2700 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				began := time.Now()
				now := func() time.Duration { return time.Hour + time.Since(began) }
				rs := rset.New("g", zap.NewNop(), &reusedAddress{}, now, noDelay, rset.WithBorrower(borrow.New(noHosts{}, now)))
				defer func() {
					rs.Update(nil, target.Target{}, 32)
					time.Sleep(time.Minute)
				}()
				// The targets are in another zone than this host, and hosts of that zone are nearer.
				a := assign.New(gossip.New("self", "10.1.0.1:1", "far", 0), nil)
				for i := range 40 {
					a = a.WithHost(gossip.New(fmt.Sprintf("h%d", i), "10.2.0.1:1", "z", 0))
				}
				rs.SetAssignment(a)
				targets := newTargets(3)
				rs.Update(targets, targets[0], test.connections)
				rs.Update(targets[1:], target.Target{}, test.connections)
				due := func() bool {
					why, due, _ := rs.LeaderProblem()
					is.Equal(why, rset.LeaderUnknown)
					return due
				}
				time.Sleep(test.after - time.Millisecond)
				is.True(!due())
				time.Sleep(2 * time.Millisecond)
				is.True(due())
			})
		})
	}
}
