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

// results holds the combined results of a trace's simulations, one for each seed.
type results struct {
	violations []string
	// failoverGaps holds the longest write gap across a change of term of each
	// simulation, and writeGaps the longest gap between any two writes.
	failoverGaps []time.Duration
	writeGaps    []time.Duration
	// tallies holds the tallies of all simulations by label.
	tallies map[string]*tally.Tally
	// codes holds the result codes of the last simulation by request ID.
	codes map[string]code.Code
	// primary is the name of the primary at the end of the last simulation.
	primary string
}

// Run simulates the trace for each of its seeds. It returns the outcome "Faults" and
// each outcome that the trace states, with the measured values. The options apply
// to the simulated group at every host.
func (r *Replay) Run(options ...func(*group.Group)) []expect.Outcome {
	rs := r.simulateSeeds(func(line) bool { return true }, options...)
	outcomes := []expect.Outcome{r.checkViolations(rs)}
	for _, l := range r.expectations {
		outcomes = append(outcomes, r.evaluate(l, rs, options))
	}
	return outcomes
}

// Violations simulates the trace and returns every broken promise.
func (r *Replay) Violations(options ...func(*group.Group)) []string {
	return r.simulateSeeds(func(line) bool { return true }, options...).violations
}

// WithDefect returns the trace with a defect of the members; the Defect constants
// of package simul list the defects.
func (r *Replay) WithDefect(defect string) *Replay {
	c := *r
	c.defect = defect
	return &c
}

// Tallies simulates the trace and returns the tallies of its requests by label.
func (r *Replay) Tallies(options ...func(*group.Group)) map[string]*tally.Tally {
	return r.simulateSeeds(func(line) bool { return true }, options...).tallies
}

// simulateSeeds simulates the inputs that keep selects, once for each seed.
func (r *Replay) simulateSeeds(keep func(line) bool, options ...func(*group.Group)) results {
	rs := results{tallies: map[string]*tally.Tally{}, codes: map[string]code.Code{}}
	for seed := range r.header.Seeds {
		sim := r.simulate(uint64(seed+1), keep, options...)
		r.collect(&rs, sim)
	}
	return rs
}

// simulate runs one simulation of the inputs that keep selects.
func (r *Replay) simulate(seed uint64, keep func(line) bool, options ...func(*group.Group)) *simul.Simulation {
	h := r.header
	groupOptions := append(policyOptions(h.Policy, h.LongCap), options...)
	sim := simul.New(seed,
		simul.WithSlots(h.Slots, h.Connect.d()), simul.WithDelays(h.Zone.d(), h.Client.d()),
		simul.WithLag(h.Ship.d(), h.Apply.d()), simul.WithOwners(h.Owners), simul.WithGroup(groupOptions...), simul.WithDefect(r.defect))
	for _, l := range r.inputs {
		if keep(l) {
			schedule(sim, l)
		}
	}
	sim.Run(h.Until.d())
	sim.Finish()
	return sim
}

// policyOptions returns the group options of a named policy. Any other name, and an
// empty one, selects the default policy. longCap limits the slots of long requests
// if it is above zero.
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

// collect adds the results of one simulation to rs.
func (r *Replay) collect(rs *results, sim *simul.Simulation) {
	rs.violations = append(rs.violations, sim.Violations()...)
	rs.failoverGaps = append(rs.failoverGaps, sim.LongestWriteGap(true))
	rs.writeGaps = append(rs.writeGaps, sim.LongestWriteGap(false))
	rs.primary = sim.Primary()
	for label, t := range sim.Tallies() {
		if rs.tallies[label] == nil {
			rs.tallies[label] = tally.New()
		}
		rs.tallies[label].Merge(t)
	}
	for _, l := range r.inputs {
		if c, ok := sim.Outcome(l.ID); ok && l.ID != "" {
			rs.codes[l.ID] = c
		}
	}
}

// newCall returns the call of a line that submits a request.
func newCall(l line) call.Call {
	cl := class.Defaults()
	if l.Do == "Read" || l.Do == "ReadLoad" {
		cl = cl.WithRead(l.MaxAge.d())
	}
	cl = cl.WithOnce(l.Once).WithRepeatable(l.Repeat).WithLong(l.Long)
	service := l.Service
	if service == "" {
		service = "default"
	}
	label := l.Label
	if label == "" {
		label = l.Do
	}
	cl = cl.WithName(service, label).WithWeight(max(l.Weight, 1))
	if l.Left > 0 {
		cl = cl.WithDeadline(l.Left.d())
	}
	c := call.Call{Class: cl, Body: []byte(l.Body)}
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

// schedule schedules one input of a trace.
func schedule(sim *simul.Simulation, l line) {
	switch l.Do {
	case "Write", "Begin", "Statement", "Commit", "Rollback", "Read":
		sim.At(l.At.d(), func() { sim.Submit(l.Session, l.ID, newCall(l), l.Takes.d(), l.Via) })
	case "WriteLoad", "ReadLoad":
		sim.Load(l.ID, newCall(l), l.Rate, l.At.d(), l.At.d()+l.For.d(), l.Takes.d(), l.Via)
	default:
		sim.At(l.At.d(), func() { act(sim, l) })
	}
}

// act applies an input that is not a request: a failure, a repair, a change of the
// owner, of the primary or of a member's state, an event of a session, or the
// cancellation of a request.
func act(sim *simul.Simulation, l line) {
	switch l.Do {
	case "Cut":
		sim.Cut(l.Node)
	case "Heal":
		sim.Heal(l.Node)
	case "Pause":
		sim.Pause(l.Node)
	case "Resume":
		sim.Resume(l.Node)
	case "Own":
		sim.Own(l.Owner)
	case "Disown":
		sim.Disown(l.Owner)
	case "Crash":
		sim.Crash(l.Owner)
	case "Switch":
		sim.Switch(l.Node)
	case "Lag":
		sim.SetLag(l.Node, l.Ship.d(), l.Apply.d())
	case "Leaving":
		sim.SetLeaving(l.Node, true)
	case "Fresh":
		sim.ForgetFloor(l.Session)
	case "Leave":
		sim.EndSession(l.Session)
	case "Detach":
		sim.Detach(l.Session)
	case "Cancel":
		sim.Cancel(l.ID)
	}
}

// percentile99 returns the 99th percentile, or 0 if there are no values.
func percentile99(all []time.Duration) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Clone(all)
	slices.Sort(sorted)
	return sorted[(len(sorted)*99+99)/100-1]
}
