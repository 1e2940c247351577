package replay

import (
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/process/group"
	"github.com/pistachiotray/pistachiotray/process/queue"
	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/standin/expect"
	"github.com/pistachiotray/pistachiotray/standin/simul"
	"github.com/pistachiotray/pistachiotray/standin/tally"
	"github.com/pistachiotray/pistachiotray/version/class"
)

// course is what one or more runs of a trace gave.
type course struct {
	faults  []string
	gaps    []time.Duration
	pauses  []time.Duration
	tallies map[string]*tally.Tally
	codes   map[string]code.Code
	primary string
}

// Run plays the trace for each of its seeds and returns what came of each
// stated outcome. Options reach every group.
func (r *Replay) Run(options ...func(*group.Group)) []expect.Outcome {
	c := r.play(func(line) bool { return true }, options...)
	out := []expect.Outcome{r.judgeFaults(c)}
	for _, l := range r.wanted {
		out = append(out, r.judge(l, c, options))
	}
	return out
}

// Violations plays the trace and returns every broken promise.
func (r *Replay) Violations(options ...func(*group.Group)) []string {
	return r.play(func(line) bool { return true }, options...).faults
}

// WithDefect returns the trace played with members that break one promise, as
// package simul names them.
func (r *Replay) WithDefect(lie string) *Replay {
	lying := *r
	lying.lie = lie
	return &lying
}

// Tallies plays the trace and returns what became of its requests by label.
func (r *Replay) Tallies(options ...func(*group.Group)) map[string]*tally.Tally {
	return r.play(func(line) bool { return true }, options...).tallies
}

func (r *Replay) play(keep func(line) bool, options ...func(*group.Group)) course {
	c := course{tallies: map[string]*tally.Tally{}, codes: map[string]code.Code{}}
	for seed := range r.header.Seeds {
		w := r.once(uint64(seed+1), keep, options...)
		r.collect(&c, w)
	}
	return c
}

func (r *Replay) once(seed uint64, keep func(line) bool, options ...func(*group.Group)) *simul.Simulation {
	h := r.header
	all := append(policyOptions(h.Policy, h.LongCap), options...)
	w := simul.New(seed,
		simul.WithSlots(h.Slots, h.Connect.d()), simul.WithDelays(h.Zone.d(), h.Client.d()),
		simul.WithLag(h.Ship.d(), h.Apply.d()), simul.WithOwners(h.Owners), simul.WithGroup(all...), simul.WithDefect(r.lie))
	for _, l := range r.inputs {
		if keep(l) {
			enter(w, l)
		}
	}
	w.Run(h.Until.d())
	w.Finish()
	return w
}

// policyOptions returns the options of a named policy; an empty name is the
// one in use.
func policyOptions(policy string, longCap int) []func(*group.Group) {
	var options []func(*queue.Queue)
	switch policy {
	case "ArrivalOrder":
		options = append(options, queue.WithArrivalOrder(), queue.WithoutAdmission())
	case "ArrivalOrderAdmitted":
		options = append(options, queue.WithArrivalOrder())
	case "NoAdmission":
		options = append(options, queue.WithoutAdmission())
	}
	if longCap > 0 {
		options = append(options, queue.WithLongLimit(longCap))
	}
	return []func(*group.Group){group.WithQueue(options...)}
}

func (r *Replay) collect(c *course, w *simul.Simulation) {
	c.faults = append(c.faults, w.Violations()...)
	c.gaps = append(c.gaps, w.LongestWriteGap(true))
	c.pauses = append(c.pauses, w.LongestWriteGap(false))
	c.primary = w.Primary()
	for label, t := range w.Tallies() {
		if c.tallies[label] == nil {
			c.tallies[label] = tally.New()
		}
		c.tallies[label].Merge(t)
	}
	for _, l := range r.inputs {
		if k, ok := w.Outcome(l.ID); ok && l.ID != "" {
			c.codes[l.ID] = k
		}
	}
}

// callOf returns the request that a line asks for.
func callOf(l line) call.Call {
	k := class.Defaults()
	if l.Do == "Read" || l.Do == "ReadLoad" {
		k = k.WithRead(l.MaxAge.d())
	}
	k = k.WithOnce(l.Once).WithRepeatable(l.Repeat).WithLong(l.Long)
	service := l.Service
	if service == "" {
		service = "default"
	}
	label := l.Label
	if label == "" {
		label = l.Do
	}
	k = k.WithName(service, label).WithWeight(max(l.Weight, 1))
	if l.Left > 0 {
		k = k.WithDeadline(l.Left.d())
	}
	c := call.Call{Class: k, Body: []byte(l.Body)}
	key := l.Key
	if key == "" && l.Once {
		key = l.ID
	}
	c = c.WithKey(key)
	c.Begins = l.Do == "Begin"
	if l.Do == "Commit" || l.Do == "Rollback" {
		c.Body = []byte("ROLLBACK")
		if l.Do == "Commit" {
			c.Body = []byte("COMMIT")
			c.Ends = true
		}
	}
	return c
}

// enter puts one input of a trace on the simulation's agenda.
func enter(w *simul.Simulation, l line) {
	switch l.Do {
	case "Write", "Begin", "Statement", "Commit", "Rollback", "Read":
		w.At(l.At.d(), func() { w.Submit(l.Session, l.ID, callOf(l), l.Takes.d(), l.Via) })
	case "WriteLoad", "ReadLoad":
		w.Load(l.ID, callOf(l), l.Rate, l.At.d(), l.At.d()+l.For.d(), l.Takes.d(), l.Via)
	default:
		w.At(l.At.d(), func() { order(w, l) })
	}
}

func order(w *simul.Simulation, l line) {
	switch l.Do {
	case "Cut":
		w.Cut(l.Node)
	case "Heal":
		w.Heal(l.Node)
	case "Pause":
		w.Pause(l.Node)
	case "Resume":
		w.Resume(l.Node)
	case "Own":
		w.Own(l.Owner)
	case "Disown":
		w.Disown(l.Owner)
	case "Crash":
		w.Crash(l.Owner)
	case "Switch":
		w.Switch(l.Node)
	case "Lag":
		w.SetLag(l.Node, l.Ship.d(), l.Apply.d())
	case "Leaving":
		w.SetLeaving(l.Node, true)
	case "Fresh":
		w.ForgetFloor(l.Session)
	case "Leave":
		w.EndSession(l.Session)
	case "Detach":
		w.Detach(l.Session)
	case "Cancel":
		w.Cancel(l.ID)
	}
}

// quantile99 returns the value at the 99th percentile.
func quantile99(all []time.Duration) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Clone(all)
	slices.Sort(sorted)
	return sorted[(len(sorted)*99+99)/100-1]
}
