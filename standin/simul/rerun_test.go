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

// TestCanceledRerunIsNotCalledNotRun plays the course of
// testdata/courses/canceled-and-ran.fail: the first run of a write is lost with
// its slot and still on its way to the member when the second is canceled.
func TestCanceledRerunIsNotCalledNotRun(t *testing.T) {
	is := is.New(t)
	w := simul.New(1, simul.WithSlots(2, 10*time.Millisecond), simul.WithLag(0, 0))
	w.Run(time.Second)
	w.Cut("h0")
	w.Run(w.Now() + 3*step)
	w.Submit("a", "a2", call.Call{Class: class.Defaults().WithOnce(true), Key: "a2"}, 24*time.Millisecond, 0)
	for i, pause := range []time.Duration{0, 0, 1, 1, 2, 2, 2, 2, 3, 3, 3} {
		w.Submit("a", "a"+strconv.Itoa(3+i), call.Call{Class: class.Defaults()}, time.Millisecond, 0)
		w.Run(w.Now() + pause*step)
	}
	w.Finish()
	is.Equal(w.Violations(), nil) // a refusal that says not run must be true
}
