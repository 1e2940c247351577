package simul_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/standin/simul"
	"github.com/pistachiotray/pistachiotray/version/class"
)

// step is the unit of virtual time between two actions.
const step = 150 * time.Millisecond

// randomRun draws a random sequence of requests and failures, simulates it and
// returns the violations of promises.
func randomRun(t *rapid.T) []string {
	seed := rapid.Uint64Range(1, 1<<32).Draw(t, "seed")
	slots := rapid.SampledFrom([]int{2, 5}).Draw(t, "slots")
	sim := simul.New(seed,
		simul.WithSlots(slots, 10*time.Millisecond),
		simul.WithLag(
			time.Duration(rapid.IntRange(0, 30).Draw(t, "ship"))*time.Millisecond,
			time.Duration(rapid.IntRange(0, 80).Draw(t, "apply"))*time.Millisecond))
	sim.Run(time.Second)
	number := 0
	for range rapid.IntRange(5, 40).Draw(t, "actions") {
		randomAction(t, sim, &number)
		sim.Run(sim.Now() + time.Duration(rapid.IntRange(0, 3).Draw(t, "pause"))*step)
	}
	sim.Finish()
	return sim.Violations()
}

// randomAction draws one request or failure and applies it to the simulation.
// It increments number, the number of the last action, for the request's ID.
func randomAction(t *rapid.T, sim *simul.Simulation, number *int) {
	session := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "session")
	node := rapid.SampledFrom([]string{"m0", "m1", "m2", "h0", "h1", "m0|m1", "m1|m2", "h0|m0", "h0|m1", "h1|m2"}).Draw(t, "node")
	*number++
	id := fmt.Sprintf("%s%d", session, *number)
	runTime := time.Duration(rapid.IntRange(1, 40).Draw(t, "takes")) * time.Millisecond
	via := rapid.IntRange(0, 2).Draw(t, "via")
	switch rapid.SampledFrom([]string{
		"write", "write", "write", "once", "once", "repeat", "read", "read", "read", "stale",
		"begin", "commit", "cut", "cut", "heal", "heal", "heal", "pause", "resume", "own", "switch", "fresh", "detach", "leaving",
	}).Draw(t, "action") {
	case "write":
		sim.Submit(session, id, call.Call{Class: class.Defaults()}, runTime, via)
	case "once":
		sim.Submit(session, id, call.Call{Class: class.Defaults().WithOnce(true), Key: id}, runTime, via)
	case "repeat":
		sim.Submit(session, id, call.Call{Class: class.Defaults().WithRepeatable(true)}, runTime, via)
	case "read":
		sim.Submit(session, id, call.Call{Class: class.Defaults().WithRead(0)}, runTime, via)
	case "stale":
		sim.Submit(session, id, call.Call{Class: class.Defaults().WithRead(2 * time.Second)}, runTime, via)
	case "begin":
		if !sim.InTransaction("tx-"+session) && sim.Idle("tx-"+session) {
			sim.Submit("tx-"+session, id, call.Call{Class: class.Defaults(), Key: "key-" + id, Begins: true}, runTime, 0)
		}
	case "commit":
		if sim.InTransaction("tx-"+session) && sim.Idle("tx-"+session) {
			sim.Submit("tx-"+session, id, call.Call{Class: class.Defaults(), Ends: true, Body: []byte("COMMIT")}, runTime, 0)
		}
	case "cut":
		sim.Cut(node)
	case "heal":
		sim.Heal(node)
	case "pause":
		sim.Pause(rapid.SampledFrom([]string{"h0", "h1", "m0", "m1", "m2"}).Draw(t, "paused"))
	case "resume":
		sim.Resume(rapid.SampledFrom([]string{"h0", "h1", "m0", "m1", "m2"}).Draw(t, "resumed"))
	case "own":
		sim.Own(rapid.IntRange(0, 1).Draw(t, "owner"))
	case "switch":
		sim.Switch(rapid.SampledFrom([]string{"m0", "m1", "m2"}).Draw(t, "to"))
	case "fresh":
		sim.ForgetFloor(session)
	case "detach":
		sim.Detach("tx-" + session)
	case "leaving":
		sim.SetLeaving(rapid.SampledFrom([]string{"m0", "m1", "m2"}).Draw(t, "leaver"), rapid.Bool().Draw(t, "leaving"))
	}
}

// TestPromisesInRandomRuns checks the promises in random runs. The flag
// -rapid.checks sets the number of runs, as check.sh does. A failure prints its
// seed, and -rapid.seed repeats the run.
func TestPromisesInRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for _, v := range randomRun(t) {
			t.Error(v)
		}
	})
}
