package qgroup_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/connection/runner"
	"github.com/pistachiotray/pistachiotray/process/meter"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
	"github.com/pistachiotray/pistachiotray/standin/qgroup"
)

// play runs f on a virtual clock with a group and two hosts.
func play(t *testing.T, f func(t *testing.T, c *course)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		c := newCourse(ctx, t, 2)
		c.band.OnStatement = func(string, map[string]string, string) {}
		time.Sleep(time.Second)
		defer func() {
			stop()
			for _, h := range c.hosts {
				h.crew.Update(nil, target.Target{}, 1)
			}
			time.Sleep(time.Minute)
		}()
		f(t, c)
	})
}

// client is a session at one host.
type client struct {
	course *course
	runner *runner.Runner
	n      int
}

func (c *course) client(host int, database string) *client {
	return &client{course: c, runner: runner.New(caller.New(fmt.Sprintf("c%d", host), database), c.hosts[host], meter.New(zap.NewNop()), c.now)}
}

func (k *client) run(kind int, name, rest string) reply.Reply {
	k.n++
	s := stmt.New(fmt.Sprintf("q%d", k.n), kind, "").WithName(name, rest).WithArrived(k.course.now())
	return k.runner.Run(context.Background(), s)
}

// until runs a write until one succeeds and returns how long that took.
func (k *client) until(most time.Duration) (time.Duration, bool) {
	began := k.course.now()
	for k.course.now()-began < most {
		if k.run(stmt.Write, "a", "b").OK() {
			return k.course.now() - began, true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return 0, false
}

// gapLimit is the stated target from the last answered write of a primary
// that goes dark to the first of the next.
const gapLimit = 3 * time.Second

func TestGapOfATakeover(t *testing.T) {
	for name, fail := range map[string]func(b *qgroup.Group){
		"dark":    func(b *qgroup.Group) { b.SetSilent(0, true) },
		"crashed": func(b *qgroup.Group) { b.Crash(0) },
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, c *course) {
				is := is.New(t)
				k := c.client(0, "primary")
				is.True(k.run(stmt.Write, "a", "a").OK())
				fail(c.band)
				gap, ok := k.until(2 * gapLimit)
				is.True(ok)
				if gap > gapLimit {
					t.Errorf("no write for %v, want %v or less", gap, gapLimit)
				}
			})
		})
	}
}

// A read at a replica that goes silent is answered by another one within the
// time that the platform grants a statement.
func TestReadMovesOnFromASilentReplica(t *testing.T) {
	play(t, func(t *testing.T, c *course) {
		is := is.New(t)
		k := c.client(1, "bounded")
		r := k.run(stmt.Read, "a", "")
		is.True(r.OK())
		is.True(strings.HasPrefix(r.Signature, "g-1")) // the nearest
		c.band.SetSilent(1, true)
		began := c.now()
		r = k.run(stmt.Read, "a", "")
		is.True(r.OK())
		is.True(c.now()-began < time.Second)
	})
}

// A read that was sent and not answered may have run, whatever later targets
// say of it.
func TestLostReadIsNotCalledNotRun(t *testing.T) {
	play(t, func(t *testing.T, c *course) {
		is := is.New(t)
		k := c.client(1, "session")
		c.band.SetReceiveBlocked(1, true) // the nearest replica lacks what the session writes
		is.True(k.run(stmt.Write, "a", "b").OK())
		// Another one starts with an empty log, and the leader is gone.
		c.band.Crash(2)
		c.band.SetReceiveBlocked(2, true)
		c.band.StartEmpty(2)
		c.band.Crash(0)
		time.Sleep(300 * time.Millisecond)
		c.band.LoseAnswers(1)
		r := k.run(stmt.Read, "a", "")
		is.True(!r.OK())
		is.True(!r.Code.NotRun())
	})
}

// Leases that were claimed ahead serve while the store can't be reached.
func TestTakeoverWithoutTheStore(t *testing.T) {
	play(t, func(t *testing.T, c *course) {
		is := is.New(t)
		k := c.client(0, "primary")
		time.Sleep(5 * time.Second)
		is.True(k.run(stmt.Write, "a", "a").OK())
		c.down(true)
		c.band.SetSilent(0, true)
		gap, ok := k.until(2 * gapLimit)
		is.True(ok)
		if gap > gapLimit {
			t.Errorf("no write for %v, want %v or less", gap, gapLimit)
		}
		is.Equal(len(slices.Compact(c.band.Orders())), 1) // all holders name the same target
	})
}

func TestHandoverIsNotNoticed(t *testing.T) {
	play(t, func(t *testing.T, c *course) {
		is := is.New(t)
		k := c.client(0, "primary")
		is.True(k.run(stmt.Write, "a", "a").OK())
		c.band.SetLeaving(0, true)
		for end := c.now() + 3*time.Second; c.now() < end; time.Sleep(15 * time.Millisecond) {
			if r := k.run(stmt.Write, "a", "b"); !r.OK() && r.Code != code.OutcomeUnknown {
				t.Errorf("a write during the handover: %s", r.Code.Name())
			}
		}
		is.True(c.band.Leader() != 0)
	})
}

// The named target leads only some time after its order was accepted, with
// what it has then. Nobody may receive in between.
func TestNobodyReceivesBeforeTheLead(t *testing.T) {
	play(t, func(t *testing.T, c *course) {
		is := is.New(t)
		k := c.client(0, "primary")
		is.True(k.run(stmt.Write, "a", "a").OK())
		// The leader lives and is cut off from both hosts only.
		c.band.SetPartitioned(0, qgroup.AllHosts, true)
		go k.until(4 * time.Second)
		for end := c.now() + 5*time.Second; c.now() < end && c.band.Leader() == 0; time.Sleep(time.Millisecond) {
			if len(c.band.Orders()) == 0 {
				continue
			}
			for i := 1; i < 3; i++ {
				if !c.band.ReceivePaused(i) && c.band.Leader() == 0 {
					t.Fatalf("member %d receives at %v although the order is under way", i, c.now())
				}
			}
		}
		is.True(c.band.Leader() != 0)
	})
}

// An order without an answer may still be carried out, so the next one names
// the same target, and nobody receives meanwhile.
func TestUnansweredOrderIsRepeated(t *testing.T) {
	play(t, func(t *testing.T, c *course) {
		is := is.New(t)
		k := c.client(0, "primary")
		is.True(k.run(stmt.Write, "a", "a").OK())
		c.band.DelayOrder(4 * time.Second)
		c.band.SetSilent(0, true)
		_, ok := k.until(10 * time.Second)
		is.True(ok)
		time.Sleep(6 * time.Second)
		orders := slices.Compact(c.band.Orders())
		is.Equal(len(orders), 1) // one target, however often it was named
	})
}

func TestSlowWritesAreNoStall(t *testing.T) {
	play(t, func(t *testing.T, c *course) {
		is := is.New(t)
		c.band.SetStatementTime(1200 * time.Millisecond) // longer than the route's timeout
		k := c.client(0, "primary")
		for end := c.now() + 8*time.Second; c.now() < end; {
			is.True(!k.run(stmt.Write, "a", "b").OK())
		}
		is.Equal(len(c.band.Orders()), 0)
	})
}

func TestStallIsEnded(t *testing.T) {
	play(t, func(t *testing.T, c *course) {
		is := is.New(t)
		k := c.client(0, "primary")
		is.True(k.run(stmt.Write, "a", "a").OK())
		c.band.SetReceiveBlocked(1, true)
		c.band.SetReceiveBlocked(2, true)
		_, ok := k.until(10 * time.Second)
		is.True(ok) // the old leader receives what the new one writes
	})
}

// A host that nobody tells of a new leader asks the targets.
func TestLeaderIsFoundWithoutRegistrations(t *testing.T) {
	play(t, func(t *testing.T, c *course) {
		is := is.New(t)
		k := c.client(1, "primary")
		is.True(k.run(stmt.Write, "a", "a").OK())
		c.deaf[1].Store(true)
		c.band.SetSilent(0, true)
		gap, ok := k.until(2 * gapLimit)
		is.True(ok)
		is.True(gap <= gapLimit)
	})
}

func TestRefusedEarlyWhereNoLeaderIsExpected(t *testing.T) {
	play(t, func(t *testing.T, c *course) {
		is := is.New(t)
		k := c.client(0, "primary")
		for i := range 3 {
			c.band.SetSilent(i, true)
		}
		for end := c.now() + 4*time.Second; c.now() < end; {
			k.run(stmt.Write, "a", "b")
		}
		const aim = 800 * time.Millisecond
		began := c.now()
		r := k.run(stmt.Write, "a", "b")
		is.True(r.Code.NotRun())
		is.True(c.now()-began < aim/4) // the platform counts a quarter as held for too long
	})
}

func TestLeavingLeaderGetsNoWorkAfterItsTime(t *testing.T) {
	play(t, func(t *testing.T, c *course) {
		is := is.New(t)
		// The others leave as well, so that nobody can take over.
		for i := range 3 {
			c.band.SetLeaving(i, true)
		}
		time.Sleep(6 * time.Second)
		k := c.client(0, "primary")
		r := k.run(stmt.Write, "a", "b")
		is.True(r.Code.NotRun())
	})
}

func TestReadOfAnEmptyLog(t *testing.T) {
	play(t, func(t *testing.T, c *course) {
		is := is.New(t)
		for _, database := range []string{"primary", "bounded", "session"} {
			r := c.client(0, database).run(stmt.Read, "a", "")
			is.True(r.OK())
			is.True(strings.HasPrefix(r.Signature, "g-"))
		}
	})
}

func TestIdleTransactionIsEnded(t *testing.T) {
	play(t, func(t *testing.T, c *course) {
		is := is.New(t)
		k := c.client(0, "primary")
		is.True(k.run(stmt.Begin, "", "").OK())
		is.True(k.run(stmt.Write, "a", "b").OK())
		time.Sleep(2 * time.Second)
		r := k.run(stmt.Read, "a", "")
		is.Equal(r.Status, reply.Failed)
		r = k.run(stmt.Commit, "", "")
		is.Equal(r.Code, code.TransactionLost)
		is.Equal(r.Status, reply.Idle)
		is.Equal(len(c.band.WriteCounts(0)), 0)
	})
}

// A host behind a link that is cut or choked takes all targets for silent.
func TestHostThatReachesFewTargetsReplacesNobody(t *testing.T) {
	for name, doubt := range map[string]bool{"one group": false, "many groups": true} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, c *course) {
				is := is.New(t)
				is.True(c.client(0, "primary").run(stmt.Write, "a", "b").OK())
				c.doubts[0].Store(doubt)
				c.band.SetPartitioned(0, 0, true)
				for range 3 {
					c.client(0, "primary").run(stmt.Write, "a", "b")
				}
				time.Sleep(time.Second)
				is.Equal(len(c.band.Orders()) == 0, doubt)
				is.True(!doubt || c.client(1, "primary").run(stmt.Write, "a", "b").OK()) // the leader serves others
				time.Sleep(10 * time.Second)
				is.True(len(c.band.Orders()) > 0) // nobody else saw to it
			})
		})
	}
}
