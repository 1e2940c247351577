package spread_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/process/spread"
)

const (
	hosts       = 80
	targets     = 24
	utilization = 0.8
	// lenders is the number of hosts with connections to a target. The other hosts use
	// these connections, each those of one lender.
	lenders = 5
	// groupSize is the number of targets in a group, of which the first is the leader, and
	// writes the share of statements that must run there.
	groupSize = 3
	writes    = 0.15
	tick      = 10 * time.Millisecond
	warmUp    = 10 * time.Second
	window    = time.Second
)

// kinds holds the mean times of the kinds of work at a target of ordinary speed.
var kinds = []time.Duration{5 * time.Millisecond, 12 * time.Millisecond, 26 * time.Millisecond}

// policy chooses a target for a host. Its last argument is the reported load of each target.
type policy func(s *simulation, host, kind int, reported []int) int

// trouble is what a target does at a time: by which factor its work takes longer, and which
// part of its statements fails.
type trouble func(at time.Duration) (slower, failing float64)

func noTrouble(time.Duration) (float64, float64) { return 1, 0 }

// simTarget is a target with slots and a queue.
type simTarget struct {
	slots   int
	speed   float64
	trouble trouble
	running int
	queue   []statement
	// history holds the outstanding statements at each tick, work the work that was sent in
	// each window, in slot seconds, and sent the number of statements.
	history []int
	work    []float64
	sent    []int
	failed  []int
}

type statement struct {
	host, kind, target int
	arrived            time.Duration
	size               float64
}

// event is the arrival of a statement, or its end if ends is set.
type event struct {
	at    time.Duration
	ends  bool
	fails bool
	stmt  statement
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is a set of hosts that send statements to targets on a virtual clock.
type simulation struct {
	now      time.Duration
	age      time.Duration
	random   *rand.Rand
	events   events
	targets  []*simTarget
	rates    []float64
	loads    [][]spread.Load
	own      [][]int
	expected [][]time.Duration
	next     []int
	choose   policy
	took     []time.Duration
	// lent holds the outstanding statements at each target by lender. If onAnswers is set,
	// hosts learn only what the lender of their own statement states in its answer.
	lent      [targets][lenders]int
	onAnswers bool
}

// newSimulation returns a simulation in which the information of the hosts has an age.
// The options change each target.
func newSimulation(seed uint64, age time.Duration, choose policy, options ...func(*simTarget)) *simulation {
	s := &simulation{now: time.Hour, age: age, random: rand.New(rand.NewPCG(seed, 1)), choose: choose}
	capacity := 0.0
	for range targets {
		t := &simTarget{slots: 4 + 2*s.random.IntN(2), speed: 0.6 + s.random.Float64(), trouble: noTrouble}
		for _, o := range options {
			o(t)
		}
		capacity += float64(t.slots) * t.speed
		s.targets = append(s.targets, t)
	}
	mean := 0.0
	for _, k := range kinds {
		mean += k.Seconds() / float64(len(kinds))
	}
	sum := 0.0
	for range hosts {
		s.rates = append(s.rates, math.Exp(s.random.NormFloat64()))
		sum += s.rates[len(s.rates)-1]
	}
	for h := range hosts {
		s.rates[h] *= utilization * capacity / mean / sum
		var loads []spread.Load
		for i, t := range s.targets {
			loads = append(loads, spread.New(string(rune('a'+i)), s.random.Float64()).WithTarget(t.slots, 0, 1))
		}
		s.loads = append(s.loads, loads)
		s.own = append(s.own, make([]int, targets))
		s.expected = append(s.expected, make([]time.Duration, len(kinds)))
		s.next = append(s.next, s.random.IntN(targets))
		heap.Push(&s.events, event{at: s.now + s.gap(h), stmt: statement{host: h}})
	}
	return s
}

// gap returns the time until the next statement of a host.
func (s *simulation) gap(host int) time.Duration {
	return time.Duration(s.random.ExpFloat64() / s.rates[host] * float64(time.Second))
}

// run plays the simulation for a time.
func (s *simulation) run(length time.Duration) {
	end := s.now + length
	nextTick := s.now
	for s.events[0].at < end {
		e := heap.Pop(&s.events).(event)
		for ; nextTick <= e.at; nextTick += tick {
			for _, t := range s.targets {
				t.history = append(t.history, t.running+len(t.queue))
			}
		}
		s.now = e.at
		if e.ends {
			s.end(e)
			continue
		}
		s.arrive(e.stmt.host)
		heap.Push(&s.events, event{at: s.now + s.gap(e.stmt.host), stmt: e.stmt})
	}
	s.now = end
}

// reported returns the loads as they were known age ago.
func (s *simulation) reported() []int {
	counts := make([]int, targets)
	for i, t := range s.targets {
		counts[i] = t.history[max(len(t.history)-1-int(s.age/tick), 0)]
	}
	return counts
}

func (s *simulation) arrive(host int) {
	kind := s.random.IntN(len(kinds))
	i := s.choose(s, host, kind, s.reported())
	st := statement{host: host, kind: kind, target: i, arrived: s.now, size: kinds[kind].Seconds() * (0.5 + s.random.ExpFloat64()/2)}
	t := s.targets[i]
	w := int((s.now - time.Hour) / window)
	for _, t := range s.targets {
		for len(t.work) <= w {
			t.work, t.sent, t.failed = append(t.work, 0), append(t.sent, 0), append(t.failed, 0)
		}
	}
	slower, _ := t.trouble(s.now - time.Hour)
	t.work[w] += st.size / t.speed * slower / float64(t.slots)
	t.sent[w]++
	s.own[host][i]++
	s.lent[i][host%lenders]++
	t.queue = append(t.queue, st)
	s.start(t)
}

// start starts waiting statements of a target while it has free slots.
func (s *simulation) start(t *simTarget) {
	for t.running < t.slots && len(t.queue) > 0 {
		st := t.queue[0]
		t.queue = t.queue[1:]
		t.running++
		slower, failing := t.trouble(s.now - time.Hour)
		e := event{at: s.now + time.Duration(st.size/t.speed*slower*float64(time.Second)), ends: true, stmt: st}
		if s.random.Float64() < failing {
			e.at, e.fails = s.now+time.Millisecond, true
			t.failed[len(t.failed)-1]++
		}
		heap.Push(&s.events, e)
	}
}

func (s *simulation) end(e event) {
	host, i, took := e.stmt.host, e.stmt.target, s.now-e.stmt.arrived
	t := s.targets[i]
	t.running--
	s.own[host][i]--
	s.lent[i][host%lenders]--
	s.start(t)
	l := s.loads[host][i].WithOutcome(s.now, e.fails)
	if s.onAnswers {
		l = l.WithTarget(t.slots, 0, lenders).WithReport(s.now, s.lent[i][host%lenders])
	}
	if !e.fails {
		// The host keeps the mean of each kind over all targets, as package rset does.
		mean := &s.expected[host][e.stmt.kind]
		unloaded := l.Unloaded(s.now, took)
		if *mean == 0 {
			*mean = unloaded
		}
		*mean += (unloaded - *mean) / 20
		l = l.WithTime(s.now, took, *mean)
		if s.now-time.Hour > warmUp {
			s.took = append(s.took, took)
		}
	}
	s.loads[host][i] = l
}

// spreadPolicy chooses by package spread.
func spreadPolicy(s *simulation, host, kind int, reported []int) int {
	loads := s.loads[host]
	for i := range loads {
		if age, ok := loads[i].Age(s.now); !ok || age >= s.age+tick {
			loads[i] = loads[i].WithReport(s.now-s.age, reported[i]-s.own[host][i])
		}
		loads[i] = loads[i].WithOwn(s.own[host][i])
	}
	return spread.Choose(s.now, s.expected[host][kind], loads, s.random)
}

// groupPolicy chooses by package spread among the targets of a random group, or the leader for
// a write. The hosts know of the load what the answers to their own statements tell.
func groupPolicy(s *simulation, host, kind int, _ []int) int {
	s.onAnswers = true
	first := s.random.IntN(targets/groupSize) * groupSize
	if s.random.Float64() < writes {
		return first
	}
	loads := s.loads[host][first : first+groupSize]
	for i := range loads {
		loads[i] = loads[i].WithOwn(s.own[host][first+i])
	}
	return first + spread.Choose(s.now, s.expected[host][kind], loads, s.random)
}

// randomInGroup chooses as groupPolicy does, but at random.
func randomInGroup(s *simulation, _, _ int, _ []int) int {
	first := s.random.IntN(targets/groupSize) * groupSize
	if s.random.Float64() < writes {
		return first
	}
	return first + s.random.IntN(groupSize)
}

// leastLoaded chooses the target with the least reported load per slot, and one of several
// at random.
func leastLoaded(s *simulation, _, _ int, reported []int) int {
	best, lowest := 0, math.Inf(1)
	for _, i := range s.random.Perm(targets) {
		if load := float64(reported[i]) / float64(s.targets[i].slots); load < lowest {
			best, lowest = i, load
		}
	}
	return best
}

// twoChoices chooses the less loaded, by information, of two random targets.
func twoChoices(s *simulation, _, _ int, reported []int) int {
	load := func(i int) float64 { return float64(reported[i]) / float64(s.targets[i].slots) }
	a, b := s.random.IntN(targets), s.random.IntN(targets)
	if load(b) < load(a) {
		return b
	}
	return a
}

func randomTarget(s *simulation, _, _ int, _ []int) int { return s.random.IntN(targets) }

func roundRobin(s *simulation, host, _ int, _ []int) int {
	s.next[host]++
	return s.next[host] % targets
}

// busiest returns the work of the busiest target over the mean: over the whole time, and the
// mean of the windows.
func (s *simulation) busiest() (whole, windows float64) {
	first, last := int(warmUp/window), int((s.now-time.Hour)/window)
	sums := make([]float64, targets)
	ratio := func(work []float64) float64 {
		sum := 0.0
		for _, w := range work {
			sum += w
		}
		return slices.Max(work) / sum * float64(len(work))
	}
	for w := first; w < last; w++ {
		work := make([]float64, targets)
		for i, t := range s.targets {
			work[i] = t.work[w]
			sums[i] += t.work[w]
		}
		windows += ratio(work) / float64(last-first)
	}
	return ratio(sums), windows
}

// quantile returns a quantile of the times that statements took.
func (s *simulation) quantile(q float64) time.Duration {
	slices.Sort(s.took)
	return s.took[int(q*float64(len(s.took)-1))].Round(time.Millisecond)
}

// count returns how many statements a target got, and how many of them failed, between two
// times.
func (s *simulation) count(target int, from, to time.Duration) (sent, failed int) {
	for w := int(from / window); w < int(to/window); w++ {
		sent += s.targets[target].sent[w]
		failed += s.targets[target].failed[w]
	}
	return sent, failed
}
