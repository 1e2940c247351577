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

// TestCanceledRerunIsNotCalledNotRun repeats the random run recorded in
// testdata/courses/canceled-and-ran.fail. The first run of a write is lost with its
// slot, but is still in flight to the member when the second run is canceled. The
// write may still take effect, so it must not be refused as not run.
func TestCanceledRerunIsNotCalledNotRun(t *testing.T) {
	is := is.New(t)
	sim := simul.New(1, simul.WithSlots(2, 10*time.Millisecond), simul.WithLag(0, 0))
	sim.Run(time.Second)
	sim.Cut("h0")
	sim.Run(sim.Now() + 3*step)
	sim.Submit("a", "a2", call.Call{Class: class.Defaults().WithOnce(true), Key: "a2"}, 24*time.Millisecond, 0)
	for i, pause := range []time.Duration{0, 0, 1, 1, 2, 2, 2, 2, 3, 3, 3} {
		sim.Submit("a", "a"+strconv.Itoa(3+i), call.Call{Class: class.Defaults()}, time.Millisecond, 0)
		sim.Run(sim.Now() + pause*step)
	}
	sim.Finish()
	is.Equal(sim.Violations(), nil) // a write that was refused as not run must not run
}
