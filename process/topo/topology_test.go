package topo_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/batch"
	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/process/assign"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/roster"
	"github.com/pistachiotray/pistachiotray/process/rset"
	"github.com/pistachiotray/pistachiotray/process/topo"
	"github.com/pistachiotray/pistachiotray/request/stmt"
	"github.com/pistachiotray/pistachiotray/standin/qgroup"
	"github.com/pistachiotray/pistachiotray/version/plan"
)

// TestLikelyIsolated disconnects the host from some targets of three groups.
// The host must consider itself isolated only if most of the targets that it
// uses are silent and the silent ones belong to more than one group.
func TestLikelyIsolated(t *testing.T) {
	names := []string{"g1", "g2", "g3"}
	for name, c := range map[string]struct {
		hidden map[string]int
		want   bool
	}{
		"none":        {map[string]int{}, false},
		"one target":  {map[string]int{"g1": 1}, false},
		"one group":   {map[string]int{"g1": 3}, false},
		"a zone":      {map[string]int{"g1": 1, "g2": 1, "g3": 1}, false},
		"most of all": {map[string]int{"g1": 2, "g2": 2, "g3": 2}, true},
		"all":         {map[string]int{"g1": 3, "g2": 3, "g3": 3}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				began := time.Now()
				now := func() time.Duration { return time.Hour + time.Since(began) }
				groups := map[string]*qgroup.Group{}
				p := plan.New(1)
				r := roster.New()
				for _, g := range names {
					groups[g] = qgroup.New(g, 3)
					p = p.WithGroup(g, 32)
					for _, tg := range groups[g].Targets() {
						r = r.WithTarget(tg)
					}
				}
				open := func(g string) *rset.ReplicaSet {
					return rset.New(g, zap.NewNop(), groups[g].From(0), now, func(string) time.Duration { return 0 })
				}
				tp := topo.New(zap.NewNop(), assign.New(gossip.New("h", "10.0.0.1:1", "a", 0), nil), open, func(*rset.ReplicaSet) {})
				tp.Adopt(p)
				tp.SetRoster(r)
				readAll(t.Context(), tp, names)
				is.True(!tp.LikelyIsolated())
				for g, n := range c.hidden {
					for i := range n {
						groups[g].SetPartitioned(i, 0, true)
					}
				}
				readAll(t.Context(), tp, names)
				is.Equal(tp.LikelyIsolated(), c.want)
				for _, g := range names {
					for i := range 3 {
						groups[g].SetPartitioned(i, 0, false)
					}
				}
				time.Sleep(10 * time.Second)
				tp.SetRoster(roster.New())
				time.Sleep(time.Minute)
			})
		})
	}
}

// readAll sends a read to every target, and waits until the targets that don't
// answer count as failing.
func readAll(ctx context.Context, tp *topo.Topology, groups []string) {
	for _, g := range groups {
		rs, _ := tp.ReplicaSet(g)
		for _, tg := range rs.Targets() {
			go func() {
				ctx, stop := context.WithTimeout(ctx, time.Second)
				defer stop()
				read := stmt.New("1", stmt.Read, "").WithName("a", "")
				// Disconnected targets don't answer.
				_, _, _ = rs.Do(ctx, tg.ID, batch.New(caller.Caller{}, []stmt.Stmt{read}))
			}()
		}
	}
	time.Sleep(1500 * time.Millisecond)
}
