package simul_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/standin/simul"
	"github.com/pistachiotray/pistachiotray/version/class"
)

// TestTransactionOfAnEarlierTermDoesNotCommit repeats a random run. The COMMIT of a transaction
// arrives late at a member that was replaced and leads again, after the next primary has
// withdrawn the transaction's key.
func TestTransactionOfAnEarlierTermDoesNotCommit(t *testing.T) {
	const (
		write  = "w"
		read   = "r"
		begin  = "b"
		commit = "c"
		skip   = "-"
		cut    = "x"
		freeze = "p"
		wake   = "u"
	)
	is := is.New(t)
	sim := simul.New(2, simul.WithSlots(5, 10*time.Millisecond), simul.WithLag(0, 0))
	sim.Run(time.Second)
	for i, a := range []struct {
		do    string
		via   int
		pause time.Duration
	}{
		{write, 0, 0},
		{read, 0, 2},
		{begin, 0, 0},
		{write, 0, 2},
		{skip, 0, 1},
		{write, 0, 0},
		{write, 2, 2},
		{write, 0, 1},
		{write, 0, 3},
		{write, 2, 0},
		{write, 0, 2},
		{write, 0, 1},
		{read, 0, 2},
		{cut, 0, 0},
		{write, 0, 1},
		{freeze, 0, 0},
		{write, 2, 0},
		{write, 0, 0},
		{commit, 0, 1},
		{write, 0, 0},
		{wake, 0, 0},
		{write, 0, 2},
		{write, 2, 1},
		{write, 0, 2},
		{write, 0, 0},
		{write, 2, 1},
		{read, 0, 1},
		{read, 0, 1},
		{skip, 0, 1},
		{write, 0, 1},
		{write, 0, 0},
		{write, 2, 3},
		{cut, 1, 0},
		{read, 0, 0},
		{write, 0, 1},
		{write, 0, 2},
		{write, 0, 2},
	} {
		id, takes := "a"+strconv.Itoa(i+1), time.Millisecond
		switch a.do {
		case write:
			sim.Submit("a", id, call.Call{Class: class.Defaults()}, takes, a.via)
		case read:
			sim.Submit("a", id, call.Call{Class: class.Defaults().WithRead(0)}, takes, a.via)
		case begin:
			sim.Submit("tx-a", id, call.Call{Class: class.Defaults(), Key: "key-" + id, Begins: true}, takes, 0)
		case commit:
			sim.Submit("tx-a", id, call.Call{Class: class.Defaults(), Ends: true, Body: []byte("COMMIT")}, 2*takes, 0)
		case cut:
			sim.Cut("m" + strconv.Itoa(a.via))
		case freeze:
			sim.Pause("h1")
		case wake:
			sim.Resume("h0")
		}
		sim.Run(sim.Now() + a.pause*step)
	}
	sim.Finish()
	is.Equal(sim.Violations(), nil)
}
