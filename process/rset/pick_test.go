package rset_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/pistachiotray/pistachiotray/process/assign"
	"github.com/pistachiotray/pistachiotray/process/borrow"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/rset"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

// pickCounts returns how often each of three targets is picked in 900 reads. The targets t1 and
// t2 are in the zone and the region of the host, t3 in another region. The targets accept a
// number of connections of ten hosts.
func pickCounts(t *testing.T, connections int) (counts map[string]int, lines int, explained map[string]float64) {
	t.Helper()
	is := is.New(t)
	began := time.Now()
	now := func() time.Duration { return time.Hour + time.Since(began) }
	regions := map[string]string{"a1": "a", "a2": "a", "b1": "b"}
	core, logs := observer.New(zapcore.InfoLevel)
	rs := rset.New("g", zap.New(core), &reusedAddress{}, now, assign.LatencyPenalty("a1", regions), rset.WithBorrower(borrow.New(nil, now)))
	hosts := assign.New(gossip.New("h0", "10.0.0.1:1", "a1", 0), regions)
	for i := range 9 {
		hosts = hosts.WithHost(gossip.New(fmt.Sprintf("h%d", i+1), "10.0.0.1:1", "b1", 0))
	}
	rs.SetAssignment(hosts)
	targets := []target.Target{
		target.New("t1", "g", "10.0.0.1:1", "a1").WithSlots(5).WithRole(true),
		target.New("t2", "g", "10.0.0.2:1", "a2").WithSlots(5), target.New("t3", "g", "10.0.0.3:1", "b1").WithSlots(5),
	}
	rs.Update(targets, targets[0], connections)
	defer func() {
		rs.Update(nil, target.Target{}, connections)
		time.Sleep(time.Minute)
	}()
	counts, explained = map[string]int{}, map[string]float64{}
	for range 900 {
		chosen, ok := rs.Pick("orders", nil, mark.Mark{}, 0)
		is.True(ok)
		counts[chosen.ID]++
	}
	for _, r := range rs.Explain("orders") {
		explained[r.ID] = r.Share
		is.Equal(r.Leads, r.ID == "t1")
	}
	return counts, logs.FilterMessage("target loads").Len(), explained
}

// Hosts that share the connections to the targets spread reads over the targets of the region.
// Others choose the nearest target as before.
func TestPickSpreadsOnlyWhereConnectionsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		counts, lines, explained := pickCounts(t, 100)
		is.Equal(counts, map[string]int{"t1": 900})
		is.Equal(lines, 0)
		is.Equal(explained, map[string]float64{"t1": 1, "t2": 0, "t3": 0})
		counts, lines, explained = pickCounts(t, 10)
		is.True(counts["t1"] > 350 && counts["t2"] > 350)
		is.Equal(counts["t3"], 0)
		is.Equal(lines, 1) // at most one a minute
		is.Equal(explained, map[string]float64{"t1": 0.5, "t2": 0.5, "t3": 0})
	})
}
