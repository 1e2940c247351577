package conn_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
	"github.com/pistachiotray/pistachiotray/standin/twins"
)

// target is a connection to a target that runs each statement, but fails those of one kind and
// does nothing for them.
type target struct {
	failing int
	// ran holds the statements that ran, and rounds counts the batches.
	ran    []stmt.Stmt
	rounds int
	closed bool
}

func (t *target) Run(_ context.Context, batch []stmt.Stmt) ([]reply.Reply, error) {
	t.rounds++
	var replies []reply.Reply
	for _, s := range batch {
		if s.Kind == t.failing {
			replies = append(replies, reply.Refuse(code.TargetFailed, ""))
			continue
		}
		t.ran = append(t.ran, s)
		replies = append(replies, reply.Done(reply.Idle))
	}
	return replies, nil
}

func (t *target) Report(context.Context, stmt.Stmt) (report.Report, error) {
	return report.Report{}, nil
}
func (t *target) Broken() bool { return t.closed }
func (t *target) Close()       { t.closed = true }

// A target runs what is sent after a refused statement too, so that a statement that was sent with
// a refused SET, RESET or PREPARE ran with the values of another session.
func TestStatementIsNotSentWithAFailedPreparation(t *testing.T) {
	const id = "c1"
	first := caller.New("a", "orders").WithValue("schema", "praha").WithValue("colour", "red")
	second := caller.New("b", "orders").WithValue("schema", "brno").WithPrepared("p", "q1", true)
	for name, failing := range map[string]int{"set": stmt.Set, "reset": stmt.Reset, "prepare": stmt.Prepare} {
		for _, kind := range []int{stmt.Read, stmt.Write, stmt.Execute} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				to := &target{failing: -1}
				cn := conn.New("t", to)
				_, err := cn.Run(t.Context(), first, stmt.New("c0", stmt.Write, ""))
				is.NoErr(err)
				to.failing = failing
				_, err = cn.Run(t.Context(), second, stmt.New(id, kind, "").WithName("p", "x"))
				ran := slices.ContainsFunc(to.ran, func(s stmt.Stmt) bool { return s.ID == id })
				prepares := kind == stmt.Execute || failing != stmt.Prepare
				is.Equal(ran, !prepares)
				is.Equal(err != nil, prepares)
				is.Equal(cn.Broken(), prepares) // the values that are set on it are not known
			})
		}
	}
}

// Only statements that need a preparation take a second round trip.
func TestRoundTrips(t *testing.T) {
	is := is.New(t)
	to := &target{failing: -1}
	cn := conn.New("t", to)
	c := caller.New("a", "orders")
	rounds := func(c caller.Caller, s stmt.Stmt) int {
		before := to.rounds
		_, err := cn.Run(t.Context(), c, s)
		is.NoErr(err)
		return to.rounds - before
	}
	is.Equal(rounds(c, stmt.New("1", stmt.Write, "")), 1)
	c = c.WithValue("schema", "brno")
	is.Equal(rounds(c, stmt.New("2", stmt.Write, "")), 2)
	is.Equal(rounds(c, stmt.New("3", stmt.Write, "")), 1)
	c = c.WithValue("schema", "praha")
	is.Equal(rounds(c, stmt.New(stmt.ProxyID, stmt.Begin, "")), 1) // undone if SET fails
	is.Equal(rounds(c, stmt.New("4", stmt.Write, "")), 1)
}

// A connection keeps 32 replies, so that the values of a session with more of them could not be set.
func TestManyValuesAreSetInParts(t *testing.T) {
	is := is.New(t)
	to := &target{failing: -1}
	c := caller.New("a", "orders")
	for i := range 60 {
		c = c.WithValue(string(rune('A'+i)), "x")
	}
	for _, s := range []stmt.Stmt{stmt.New("1", stmt.Write, ""), stmt.New(stmt.ProxyID, stmt.Begin, "")} {
		to.ran, to.rounds = nil, 0
		_, err := conn.New("t", to).Run(t.Context(), c, s)
		is.NoErr(err)
		is.Equal(len(to.ran), 61)
		is.Equal(to.rounds, 4)
	}
}

// preparingTarget is a connection to a target that prepares and executes statements.
type preparingTarget struct {
	target
	prepared map[string]string
	// executed holds the texts of the statements that were executed, and prepares counts the
	// statements that were prepared.
	executed []string
	prepares int
}

func (t *preparingTarget) Run(ctx context.Context, batch []stmt.Stmt) ([]reply.Reply, error) {
	for _, s := range batch {
		switch s.Kind {
		case stmt.Reset:
			clear(t.prepared)
		case stmt.Prepare:
			t.prepares++
			t.prepared[s.Name] = fmt.Sprint(s.Writes, s.Rest)
		case stmt.Execute:
			t.executed = append(t.executed, t.prepared[s.Name])
		}
	}
	return t.target.Run(ctx, batch)
}

// Guards against names of prepared statements that two texts share at a target: an execution ran
// the text of another session.
func TestEachTextHasItsOwnName(t *testing.T) {
	const ordinary = "size of crew member by base"
	first, second := twins.XXHash64()
	texts := []string{
		ordinary, strconv.FormatUint(xxhash.Sum64String(ordinary), 36), "r-" + ordinary, "w-1", "r-1", "1", "2", "10", "",
		first, second, strconv.FormatUint(xxhash.Sum64String(first), 36), fmt.Sprintf("%x", sha256.Sum256([]byte(first))), first + " ", first + "\t",
	}
	sum := sha256.Sum256([]byte(first))
	texts = append(texts, string(sum[:]), string(sum[:31]))
	is := is.New(t)
	to := &preparingTarget{target: target{failing: -1}, prepared: map[string]string{}}
	cn := conn.New("t", to)
	for range 3 {
		for _, text := range texts {
			for _, writes := range []bool{false, true} {
				c := caller.New("a", "orders").WithPrepared("p", text, writes)
				_, err := cn.Run(t.Context(), c, stmt.New("1", stmt.Execute, "").WithName("p", "x").WithWrites(writes))
				is.NoErr(err)
				is.Equal(to.executed[len(to.executed)-1], fmt.Sprint(writes, text))
			}
		}
		is.Equal(to.prepares, 2*len(texts)) // once a connection
	}
}

// Guards against connections that keep the messages of sessions which have ended: a name or a short
// value is a part of a message of up to 1 MiB.
func TestConnectionKeepsNoMessages(t *testing.T) {
	is := is.New(t)
	const messageBytes, limit = 1 << 20, 64 << 10
	to := &target{failing: -1}
	cn := conn.New("t", to)
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	for part, cut := range map[string]int{"short name": 6, "long name": 1 << 10, "short text": messageBytes - 6} {
		message := part + strings.Repeat("x", messageBytes)
		c := caller.New("a", "orders").WithValue(message[:cut], message[cut:]).WithPrepared("p", message[:cut], false)
		_, err := cn.Run(t.Context(), c, stmt.New("1", stmt.Execute, "").WithName("p", "x"))
		is.NoErr(err)
		to.ran = nil
		is.True(heap() < before+limit)
	}
	runtime.KeepAlive(cn)
}
