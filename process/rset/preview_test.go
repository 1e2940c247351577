package rset_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/pistachiotray/pistachiotray/connection/batch"
	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/process/choice"
	"github.com/pistachiotray/pistachiotray/process/gview"
	"github.com/pistachiotray/pistachiotray/process/rset"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/request/stmt"
	"github.com/pistachiotray/pistachiotray/version/route"
)

// behind is a target without any log, and counts what is opened to it.
type behind struct{ opened int }

func (b *behind) Open(_ context.Context, t target.Target, _ string) (*conn.Conn, error) {
	b.opened++
	return conn.New(t.ID, okLink{}), nil
}
func (*behind) Reach(context.Context, target.Target) error { return nil }

// orders is a route whose reads may be 1 s old.
func orders(kind int) route.Route {
	return route.New("orders", "g", kind).WithMaxAge(time.Second).WithTimes(3*time.Second, time.Second)
}

// shares returns the probability with which each target of a view is chosen.
func shares(v gview.View) map[string]float64 {
	found := map[string]float64{}
	for _, c := range v.Members {
		found[c.Rating.ID] = c.Rating.Share
	}
	return found
}

// member returns a target of a view.
func member(v gview.View, id string) choice.Choice {
	for _, c := range v.Members {
		if c.Rating.ID == id {
			return c
		}
	}
	return choice.Choice{}
}

// withReplicas runs a test with a leader, t1, and the replicas t2 and t3, each with a connection of
// the host.
func withReplicas(t *testing.T, test func(is *is.I, rs *rset.ReplicaSet, b *behind, logs *observer.ObservedLogs, now func() time.Duration)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		now := func() time.Duration { return time.Hour + time.Since(began) }
		core, logs := observer.New(zapcore.InfoLevel)
		b := &behind{}
		rs := rset.New("g", zap.New(core), b, now, func(zone string) time.Duration { return map[string]time.Duration{"a": 0, "b": time.Millisecond}[zone] }, rset.WithFirstStart(true))
		targets := []target.Target{target.New("t1", "g", "", "b").WithSlots(4).WithRole(true), target.New("t2", "g", "", "a").WithSlots(4), target.New("t3", "g", "", "b").WithSlots(4)}
		rs.Update(targets, targets[0], 10)
		rs.AddWatermark(mark.New(1, 5), now())
		time.Sleep(1300 * time.Millisecond)
		rs.AddWatermark(mark.New(1, 7), now())
		time.Sleep(200 * time.Millisecond)
		for _, target := range targets {
			_, _, err := rs.Do(t.Context(), target.ID, batch.New(caller.New("c", "orders"), []stmt.Stmt{stmt.New("1", stmt.Read, "")}).WithWait(time.Second))
			is.NoErr(err)
		}
		test(is, rs, b, logs, now)
		rs.Update(nil, target.Target{}, 10)
		time.Sleep(time.Minute)
	})
}

// A read that is only asked about must neither use up the check of a lagging replica, nor open
// or log anything, and what is told must be what the next read gets.
func TestPreviewTellsWhatPickDoes(t *testing.T) {
	withReplicas(t, func(is *is.I, rs *rset.ReplicaSet, b *behind, logs *observer.ObservedLogs, now func() time.Duration) {
		opened, lines := b.opened, logs.Len()
		rt := orders(route.BoundedStaleness)
		v := rs.Preview(rt, "", false)
		is.Equal(shares(v), map[string]float64{"t1": 1, "t2": 0, "t3": 0}) // the replicas lack 1/7
		is.Equal(member(v, "t2").Rating.Unusable, "it lags behind what the read must see")
		is.Equal([]any{member(v, "t2").Lag, member(v, "t2").LagAge, member(v, "t2").Heard, member(v, "t2").Failing}, []any{1500 * time.Millisecond, time.Duration(0), time.Duration(0), time.Duration(-1)})
		is.Equal([]any{v.Leader, v.Usable, v.Overdue, v.Shared, v.AtLeader, v.PositionKnown, v.Position, v.ProofAge}, []any{"t1", true, false, false, false, true, mark.New(1, 7), 200 * time.Millisecond})
		is.True(member(v, "t1").Own == 1 && member(v, "t1").Supply.Immediate && member(v, "t1").Supply.Open == 1)

		time.Sleep(400 * time.Millisecond) // a check of the replicas is due
		v = rs.Preview(rt, "", false)
		for range 100 {
			is.Equal(rs.Preview(rt, "", false), v)
		}
		is.Equal(shares(v), map[string]float64{"t1": 0, "t2": 1, "t3": 0})
		is.True(member(v, "t2").Check && !member(v, "t1").Check)
		for _, want := range []string{"t2", "t3", "t1"} {
			told := shares(rs.Preview(rt, "", false))
			need, reached, _, ok := rs.CoveringMark(now() - rt.DataAge())
			is.True(ok)
			got, ok := rs.Pick("orders", nil, need, reached)
			is.True(ok)
			is.Equal(got.ID, want)
			is.Equal(told[got.ID], 1.0)
		}
		is.Equal([]int{b.opened, logs.Len()}, []int{opened, lines})
	})
}

// What only the leader runs must be shown at the leader, and nowhere if it gets no new work.
func TestPreviewAtTheLeader(t *testing.T) {
	withReplicas(t, func(is *is.I, rs *rset.ReplicaSet, _ *behind, _ *observer.ObservedLogs, _ func() time.Duration) {
		for _, v := range []gview.View{rs.Preview(orders(route.Primary), "", false), rs.Preview(orders(route.BoundedStaleness), "", true)} {
			is.True(v.AtLeader && v.Usable)
			is.Equal(shares(v), map[string]float64{"t1": 1, "t2": 0, "t3": 0})
			is.Equal(member(v, "t2").Rating.Unusable, "it does not lead")
		}
		rs.ClearLeader("t1")
		v := rs.Preview(orders(route.Primary), "", true)
		is.Equal([]any{v.Leader, v.Usable, v.Overdue, v.Doubted}, []any{"", false, false, false})
		is.Equal(shares(v), map[string]float64{"t1": 0, "t2": 0, "t3": 0})
		time.Sleep(3 * time.Second)
		is.True(rs.Preview(orders(route.Primary), "", true).Overdue)
	})
}

// A customer's request must be shown at the lender that is asked for it, and an unreached lender as
// passed over.
func TestPreviewTellsTheLender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const connections = 18
		s := newSharedTarget(connections)
		defer s.close()
		lenders := s.lenders("bakery", connections)
		for range 2 {
			for _, h := range s.hosts {
				if s.stopped[h.Host] {
					continue
				}
				v := s.sets[h.Host].Preview(orders(route.BoundedStaleness), "bakery", false)
				first := lenders[len(s.stopped)].Host
				for _, l := range v.Members[0].Lenders {
					is.Equal(l.Share, map[bool]float64{true: 1}[l.Host == first])
					is.Equal(l.Self, l.Host == h.Host)
				}
				is.Equal(v.Members[0].Own, map[bool]float64{true: 1}[h.Host == first])
				is.Equal(v.Members[0].Supply.Open, s.sets[h.Host].Preview(orders(route.BoundedStaleness), "", false).Members[0].Supply.Open)
			}
			is.True(len(s.opened) == len(s.stopped)) // nothing was opened to tell that
			s.stopped[lenders[0].Host] = true
			for _, h := range s.hosts {
				if !s.stopped[h.Host] {
					is.NoErr(s.run(t.Context(), h.Host, "bakery"))
				}
			}
		}
	})
}
