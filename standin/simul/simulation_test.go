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

// step is how much virtual time passes between two actions.
const step = 150 * time.Millisecond

// course draws a random course of requests and failures, plays it and returns
// the promises that were broken.
func course(t *rapid.T) []string {
	seed := rapid.Uint64Range(1, 1<<32).Draw(t, "seed")
	slots := rapid.SampledFrom([]int{2, 5}).Draw(t, "slots")
	w := simul.New(seed,
		simul.WithSlots(slots, 10*time.Millisecond),
		simul.WithLag(
			time.Duration(rapid.IntRange(0, 30).Draw(t, "ship"))*time.Millisecond,
			time.Duration(rapid.IntRange(0, 80).Draw(t, "apply"))*time.Millisecond))
	w.Run(time.Second)
	number := 0
	for range rapid.IntRange(5, 40).Draw(t, "actions") {
		act(t, w, &number)
		w.Run(w.Now() + time.Duration(rapid.IntRange(0, 3).Draw(t, "pause"))*step)
	}
	w.Finish()
	return w.Violations()
}

func act(t *rapid.T, w *simul.Simulation, number *int) {
	session := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "session")
	node := rapid.SampledFrom([]string{"m0", "m1", "m2", "h0", "h1", "m0|m1", "m1|m2", "h0|m0", "h0|m1", "h1|m2"}).Draw(t, "node")
	*number++
	id := fmt.Sprintf("%s%d", session, *number)
	takes := time.Duration(rapid.IntRange(1, 40).Draw(t, "takes")) * time.Millisecond
	via := rapid.IntRange(0, 2).Draw(t, "via")
	switch rapid.SampledFrom([]string{
		"write", "write", "write", "once", "once", "repeat", "read", "read", "read", "stale",
		"begin", "commit", "cut", "cut", "heal", "heal", "heal", "pause", "resume", "own", "switch", "fresh", "detach", "leaving",
	}).Draw(t, "action") {
	case "write":
		w.Submit(session, id, call.Call{Class: class.Defaults()}, takes, via)
	case "once":
		w.Submit(session, id, call.Call{Class: class.Defaults().WithOnce(true), Key: id}, takes, via)
	case "repeat":
		w.Submit(session, id, call.Call{Class: class.Defaults().WithRepeatable(true)}, takes, via)
	case "read":
		w.Submit(session, id, call.Call{Class: class.Defaults().WithRead(0)}, takes, via)
	case "stale":
		w.Submit(session, id, call.Call{Class: class.Defaults().WithRead(2 * time.Second)}, takes, via)
	case "begin":
		if !w.InTransaction("tx-"+session) && w.Idle("tx-"+session) {
			w.Submit("tx-"+session, id, call.Call{Class: class.Defaults(), Key: "key-" + id, Begins: true}, takes, 0)
		}
	case "commit":
		if w.InTransaction("tx-"+session) && w.Idle("tx-"+session) {
			w.Submit("tx-"+session, id, call.Call{Class: class.Defaults(), Ends: true, Body: []byte("COMMIT")}, takes, 0)
		}
	case "cut":
		w.Cut(node)
	case "heal":
		w.Heal(node)
	case "pause":
		w.Pause(rapid.SampledFrom([]string{"h0", "h1", "m0", "m1", "m2"}).Draw(t, "paused"))
	case "resume":
		w.Resume(rapid.SampledFrom([]string{"h0", "h1", "m0", "m1", "m2"}).Draw(t, "resumed"))
	case "own":
		w.Own(rapid.IntRange(0, 1).Draw(t, "owner"))
	case "switch":
		w.Switch(rapid.SampledFrom([]string{"m0", "m1", "m2"}).Draw(t, "to"))
	case "fresh":
		w.ForgetFloor(session)
	case "detach":
		w.Detach("tx-" + session)
	case "leaving":
		w.SetLeaving(rapid.SampledFrom([]string{"m0", "m1", "m2"}).Draw(t, "leaver"), rapid.Bool().Draw(t, "leaving"))
	}
}

// TestPromisesUnderAnyCourse needs rapid's flag -rapid.checks=2000, as
// check.sh gives it, for its full number of courses. A failure prints its
// seed; -rapid.seed plays it again.
func TestPromisesUnderAnyCourse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for _, f := range course(t) {
			t.Error(f)
		}
	})
}
