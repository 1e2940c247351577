package relay_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/connection/batch"
	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/process/rset"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/request/stmt"
	"github.com/pistachiotray/pistachiotray/standin/qgroup"
)

// readFor runs reads through a host for a time, each at the target that Pick returns, and
// returns how many each target got.
func readFor(t *testing.T, far *rset.ReplicaSet, length time.Duration) map[string]int {
	t.Helper()
	counts := map[string]int{}
	var mu sync.Mutex
	var readers sync.WaitGroup
	end := time.Now().Add(length)
	for range 4 {
		readers.Go(func() {
			read := batch.New(caller.Caller{}, []stmt.Stmt{stmt.New("1", stmt.Read, "").WithName("a", "")}).WithKind("orders").WithWait(time.Second)
			for time.Now().Before(end) {
				chosen, ok := far.Pick("orders", nil, mark.Mark{}, 0)
				if !ok {
					t.Error("no target")
					return
				}
				mu.Lock()
				counts[chosen.ID]++
				mu.Unlock()
				_, _, _ = far.Do(t.Context(), chosen.ID, read)
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	readers.Wait()
	return counts
}

// Reads that may run at any target must not all run at the one that was quickest lately.
func TestReadsAreSpreadOverTheTargets(t *testing.T) {
	withHosts(t, func(t *testing.T, _ *hostNetwork, far *rset.ReplicaSet, b *qgroup.Group) {
		is := is.New(t)
		b.SetStatementTime(10 * time.Millisecond)
		counts := readFor(t, far, 10*time.Second)
		sum := counts["g-0"] + counts["g-1"] + counts["g-2"]
		for _, r := range far.Explain("orders") {
			is.True(r.ReportAge >= 0)                            // the answers of the lenders state the load
			is.True(float64(counts[r.ID]) > 0.25*float64(sum))   // a third each
			is.True(r.Estimate() == r.Work+r.Wait+r.Retry+r.Way) // the parts explain the estimate
		}
	})
}

// Reads that may run elsewhere must leave a leader that is busy with writes.
func TestReadsLeaveABusyLeader(t *testing.T) {
	withHosts(t, func(t *testing.T, _ *hostNetwork, far *rset.ReplicaSet, b *qgroup.Group) {
		is := is.New(t)
		b.SetStatementTime(10 * time.Millisecond)
		before := readFor(t, far, 5*time.Second)
		end := time.Now().Add(10 * time.Second)
		var writers sync.WaitGroup
		for range 4 {
			writers.Go(func() {
				write := stmt.New("1", stmt.Write, "").WithName("a", "b")
				for time.Now().Before(end) {
					cn, err := far.Take(t.Context(), "g-0", batch.New(caller.Caller{}).WithWait(time.Second))
					if err != nil {
						continue
					}
					_, err = far.Run(t.Context(), cn, caller.Caller{}, write)
					is.NoErr(err)
					far.Put(cn)
				}
			})
		}
		busy := readFor(t, far, 10*time.Second)
		writers.Wait()
		share := func(counts map[string]int) float64 {
			return float64(counts["g-0"]) / float64(counts["g-0"]+counts["g-1"]+counts["g-2"])
		}
		is.True(share(before) > 0.25)
		is.True(share(busy) < 0.25)
		is.True(busy["g-0"] > 0)
	})
}

// A target that fails in part must get less work, and its ordinary share after that.
func TestReadsLeaveATargetThatFailsInPart(t *testing.T) {
	withHosts(t, func(t *testing.T, _ *hostNetwork, far *rset.ReplicaSet, b *qgroup.Group) {
		is := is.New(t)
		b.SetStatementTime(10 * time.Millisecond)
		b.SetFailureRate(1, 0.4)
		failing := readFor(t, far, 20*time.Second)
		is.True(failing["g-1"] > 0)
		is.True(failing["g-1"] < failing["g-2"]/3)
		b.SetFailureRate(1, 0)
		readFor(t, far, 40*time.Second)
		well := readFor(t, far, 10*time.Second)
		is.True(well["g-1"] > well["g-2"]*3/4)
	})
}

// A lender whose connections stay busy with the work of others must be relieved by the next one.
func TestBusyLenderIsRelieved(t *testing.T) {
	withHosts(t, func(t *testing.T, network *hostNetwork, far *rset.ReplicaSet, _ *qgroup.Group) {
		is := is.New(t)
		read := batch.New(caller.Caller{}, []stmt.Stmt{stmt.New("1", stmt.Read, "").WithName("a", "")}).WithWait(time.Second)
		do := func() {
			_, _, err := far.Do(t.Context(), "g-0", read)
			is.NoErr(err)
		}
		for range 5 {
			do()
		}
		first, second := network.hosts["gate-1"], network.hosts["gate-2"]
		if second.dialed {
			first, second = second, first
		}
		is.True(!second.dialed) // without load, one lender is enough
		cn, err := first.group.Take(t.Context(), "g-0", batch.New(caller.Caller{}))
		is.NoErr(err)
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			do()
		}
		is.True(second.dialed)
		first.group.Put(cn)
	})
}
