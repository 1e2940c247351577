package spread_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/process/spread"
)

// maxUneven is the most that the busiest target may have over the mean.
const maxUneven = 1.3

// TestWorkIsEvenWithOldInformation guards against hosts that all choose the target which was
// idle some time ago, so that one target after another is overloaded.
func TestWorkIsEvenWithOldInformation(t *testing.T) {
	is := is.New(t)
	play := func(name string, age time.Duration, choose policy) (whole, windows float64) {
		s := newSimulation(7, age, choose)
		s.run(warmUp + 20*time.Second)
		whole, windows = s.busiest()
		t.Logf("%6v  %-28s busiest/mean %.2f in 20 s, %.2f in 1 s; p50 %v, p99 %v", age, name, whole, windows, s.quantile(0.5), s.quantile(0.99))
		return whole, windows
	}
	for _, age := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		whole, windows := play("spread", age, spreadPolicy)
		is.True(whole <= maxUneven)
		is.True(windows <= maxUneven)
		play("two random choices", age, twoChoices)
		play("least loaded by information", age, leastLoaded)
	}
	// These two use no information.
	play("random", time.Second, randomTarget)
	play("round robin", time.Second, roundRobin)
}

// TestWorkIsEvenInGroups plays what a deployment has: groups of three targets, of which one also
// gets the writes, and hosts that hear of one lender's work only in the answers to their own
// statements.
func TestWorkIsEvenInGroups(t *testing.T) {
	is := is.New(t)
	for name, choose := range map[string]policy{"spread": groupPolicy, "random": randomInGroup} {
		// The groups have the same capacity and demand, so that only the choice within them matters.
		s := newSimulation(7, 0, choose, func(t *simTarget) { t.slots, t.speed = 5, 1 })
		s.run(warmUp + 20*time.Second)
		whole, windows := s.busiest()
		t.Logf("%-8s busiest/mean %.2f in 20 s, %.2f in 1 s; p50 %v, p99 %v", name, whole, windows, s.quantile(0.5), s.quantile(0.99))
		if name == "spread" {
			is.True(whole <= maxUneven)
			is.True(windows <= maxUneven)
		}
	}
}

// newLoad returns the load of a target of which nothing but its distance is known.
func newLoad(id string, distance time.Duration) spread.Load {
	return spread.New(id, 0.5).WithTarget(5, distance, 1)
}

// TestOtherRegionsServeOnlyOverload guards against reads that cross regions, which takes 40 ms
// and costs bytes, while nearer targets can serve them in good time.
func TestOtherRegionsServeOnlyOverload(t *testing.T) {
	is := is.New(t)
	const now, work = time.Hour, 20 * time.Millisecond
	shares := func(outstanding int) []float64 {
		near := newLoad("near", 0).WithReport(now, outstanding)
		zone := newLoad("zone", 20*time.Millisecond).WithReport(now, outstanding)
		return spread.Shares(now, work, []spread.Load{near, zone, newLoad("far", 120*time.Millisecond)})
	}
	for _, outstanding := range []int{0, 5, 10, 20} {
		is.Equal(shares(outstanding)[2], 0.0)
		is.True(shares(outstanding)[0] == shares(outstanding)[1]) // the region's targets share the work
	}
	some, more := shares(40)[2], shares(80)[2]
	is.True(some > 0)
	is.True(more > some) // the far target gets work gradually
}

// TestTimesAreComparedByKind guards against taking a target for slow that gets longer work.
func TestTimesAreComparedByKind(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	long, short := newLoad("long", 0), newLoad("short", 0)
	for range 200 {
		now += 100 * time.Millisecond
		long = long.WithTime(now, 26*time.Millisecond, 26*time.Millisecond)
		short = short.WithTime(now, 5*time.Millisecond, 5*time.Millisecond)
	}
	shares := spread.Shares(now, 10*time.Millisecond, []spread.Load{long, short})
	is.True(shares[0] > 0.49 && shares[0] < 0.51)
}

// TestSlownessCountsWithoutReports guards against a share that follows the load alone, which is
// not known of a target that no host asked for long.
func TestSlownessCountsWithoutReports(t *testing.T) {
	is := is.New(t)
	share := func(took time.Duration) float64 {
		now := time.Hour
		slow, good := newLoad("slow", 0), newLoad("good", 0)
		for range 50 {
			now += 100 * time.Millisecond
			slow = slow.WithTime(now, took, 10*time.Millisecond)
			good = good.WithTime(now, 10*time.Millisecond, 10*time.Millisecond)
		}
		return spread.Shares(now, 10*time.Millisecond, []spread.Load{slow, good})[0]
	}
	is.True(share(15*time.Millisecond) > 0.38 && share(15*time.Millisecond) < 0.42) // by its speed
	is.True(share(30*time.Millisecond) > 0.01 && share(30*time.Millisecond) < 0.15) // less than that
}

// TestLoadCountsWithoutTimes guards against a share that follows the times alone, which tell of
// a load only when it has delayed statements.
func TestLoadCountsWithoutTimes(t *testing.T) {
	is := is.New(t)
	const now = time.Hour
	busy, idle := newLoad("busy", 0).WithReport(now, 6), newLoad("idle", 0).WithReport(now, 2)
	share := spread.Shares(now, 10*time.Millisecond, []spread.Load{busy, idle})[0]
	is.True(share > 0.2 && share < 0.4)
	own := spread.Shares(now, 10*time.Millisecond, []spread.Load{newLoad("own", 0).WithOwn(6), idle})[0]
	is.True(own < 0.4) // a host knows its own work before anyone reports it
}

// TestNoTargetIsForgotten guards against targets that get no work at all, so that nobody notices
// that they are well again.
func TestNoTargetIsForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	bad, good := newLoad("bad", 0), newLoad("good", 0)
	for range 200 {
		bad = bad.WithOutcome(now, true).WithTime(now, time.Minute, time.Millisecond).WithReport(now, 1000)
		good = good.WithOutcome(now, false).WithTime(now, time.Millisecond, time.Millisecond).WithReport(now, 0)
	}
	share := spread.Shares(now, time.Millisecond, []spread.Load{bad, good})[0]
	is.True(share > 0.001 && share < 0.02)
}

// TestPartsExplainTheChoice guards against ratings that differ from what decides.
func TestPartsExplainTheChoice(t *testing.T) {
	is := is.New(t)
	const now = time.Hour
	loads := []spread.Load{
		newLoad("a", 0).WithReport(now-time.Second, 7).WithOwn(2),
		newLoad("b", 0).WithOutcome(now, true),
		newLoad("c", 120*time.Millisecond),
	}
	shares := spread.Shares(now, 10*time.Millisecond, loads)
	ratings := spread.Ratings(now, 10*time.Millisecond, loads)
	for i, r := range ratings {
		is.Equal(r.ID, loads[i].ID)
		is.Equal(r.Share, shares[i])
		is.Equal(r.Estimate(), r.Work+r.Wait+r.Retry+r.Way)
	}
	is.Equal(ratings[0].Own, 2)
	is.Equal(ratings[0].ReportAge, time.Second)
	is.True(ratings[0].Outstanding > 8)
	is.Equal(ratings[1].ReportAge, time.Duration(-1))
	is.True(ratings[1].Retry > 0)
	is.Equal(ratings[2].Way, 120*time.Millisecond)
	is.Equal(spread.Choose(now, time.Second, nil, rand.New(rand.NewPCG(1, 1))), -1)
}

// TestHostsReturnAtDifferentTimes guards against hosts that all return at once to a target that
// was in trouble.
func TestHostsReturnAtDifferentTimes(t *testing.T) {
	is := is.New(t)
	const now, work = time.Hour, 10 * time.Millisecond
	share := func(temper float64, at time.Duration) float64 {
		bad := spread.New("bad", temper).WithTarget(5, 0, 1)
		for range 20 {
			bad = bad.WithOutcome(now, true)
		}
		return spread.Shares(at, work, []spread.Load{bad, newLoad("good", 0)})[0]
	}
	for _, later := range []time.Duration{10 * time.Second, 20 * time.Second, 40 * time.Second} {
		is.True(share(0, now+later) > 1.2*share(1, now+later))
	}
	is.True(share(1, now+2*time.Minute) > 0.45)
}

func BenchmarkChoose(b *testing.B) {
	const now = time.Hour
	loads := []spread.Load{
		newLoad("a", 0).WithReport(now-time.Second, 7).WithTime(now, time.Second, time.Second).WithOutcome(now, true),
		newLoad("b", 20*time.Millisecond).WithReport(now, 3), newLoad("c", 120*time.Millisecond),
	}
	random := rand.New(rand.NewPCG(1, 1))
	for b.Loop() {
		spread.Choose(now+time.Second, 10*time.Millisecond, loads, random)
	}
}
