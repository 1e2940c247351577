package qgroup_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/standin/qgroup"
)

// lapse is the time after which the registration of a member that was lost is gone, and
// maxDark the longest time without a leader while a member with all known commits lives.
const (
	lapse   = 3600 * time.Millisecond
	maxDark = 5 * time.Second
)

// A leader that is lost some time after a replica's machine was lost without a word is
// replaced by the other replica, which has all known commits, within 5 s.
func TestLeaderLostLongAfterAReplicaIsReplacedSoon(t *testing.T) {
	requireReplacement(t, 12*time.Second, 30*time.Second)
}

// The same for a leader that is lost shortly after the replica.
func TestLeaderLostShortlyAfterAReplicaIsReplacedSoon(t *testing.T) {
	requireReplacement(t, 2*time.Second)
}

// requireReplacement loses a replica, and the leader after each of the given times, and fails
// the test if there is no leader for longer than maxDark.
func requireReplacement(t *testing.T, times ...time.Duration) {
	t.Helper()
	for _, after := range times {
		for name, lose := range map[string]func(g *qgroup.Group){
			"crashed": func(g *qgroup.Group) { g.Crash(0) },
			"silent":  func(g *qgroup.Group) { g.SetSilent(0, true) },
		} {
			t.Run(after.String()+" "+name, func(t *testing.T) {
				runWithHosts(t, 3, 3, func(ctx context.Context, t *testing.T, c *testCluster) {
					is := is.New(t)
					c.introduce()
					w := c.startWriters(ctx)
					time.Sleep(4 * time.Second)
					c.group.SetSilent(2, true)
					time.AfterFunc(lapse, func() { c.group.SetUnregistered(2, true) })
					time.Sleep(after)
					lose(c.group)
					time.AfterFunc(lapse, func() { c.group.SetUnregistered(0, true) })
					lost := c.now()
					for c.group.Leader() == 0 && c.now()-lost < 90*time.Second {
						time.Sleep(10 * time.Millisecond)
					}
					if dark := c.now() - lost; dark > maxDark {
						t.Errorf("no leader for %v, want %v or less", dark, maxDark)
					}
					time.Sleep(time.Second)
					is.Equal(len(w.lost(is)), 0)
				})
			})
		}
	}
}
