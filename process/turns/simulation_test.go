package turns_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/process/turns"
)

const (
	connections = 6
	customers   = 82
	// waitLimit is for how long a call may wait: 22% of an objective of 500 ms.
	waitLimit = 110 * time.Millisecond
	objective = 500 * time.Millisecond
)

// kinds are the mean times for which the kinds of work use a connection.
var kinds = []time.Duration{14 * time.Millisecond, 30 * time.Millisecond, 50 * time.Millisecond}

// outcome is what the callers of a customer at one priority got.
type outcome struct {
	sent, served int
	// times are the times until calls were served, and refusals those until they were
	// refused.
	times, refusals []time.Duration
}

func percentile(times []time.Duration, p float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(int(p*float64(len(times))), len(times)-1)]
}

// event is the end of a use of a connection.
type event struct {
	at  time.Duration
	job *job
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

// simulation plays calls of many customers on connections that serve any of them.
type simulation struct {
	random  *rand.Rand
	turns   *turns.Turns[*job]
	running events
	inUse   map[string]int
	sizes   []float64
	now     time.Duration
	results map[string]*outcome
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{now: time.Hour, random: rand.New(rand.NewPCG(seed, 7)), turns: turns.New[*job](), inUse: map[string]int{}, results: map[string]*outcome{}}
	weights, sum := map[string]int{}, 0.0
	for i := range customers {
		weights[fmt.Sprint(i)] = 1
		// The quantiles of a lognormal distribution, of which the largest is about a
		// quarter of the sum.
		s.sizes = append(s.sizes, math.Exp(1.85*math.Sqrt2*math.Erfinv(1-2*(float64(i)+0.5)/customers)))
		sum += s.sizes[i]
	}
	for i := range s.sizes {
		s.sizes[i] /= sum
	}
	s.turns.SetWeights(weights)
	return s
}

// play plays calls for a time. load is the demand without the burst as a part of what the
// connections can serve, and the customer noisy sends factor times its usual load.
func (s *simulation) play(length time.Duration, load float64, noisy int, factor float64) {
	began := s.now
	length += began
	mean := (kinds[0] + kinds[1] + kinds[2]) / 3
	next := make([]time.Duration, customers)
	gap := func(i int) time.Duration {
		rate := s.sizes[i] * load * connections / mean.Seconds()
		if i == noisy {
			rate *= factor
		}
		return time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	}
	for i := range next {
		next[i] = began + gap(i)
	}
	for {
		i := 0
		for j, at := range next {
			if at < next[i] {
				i = j
			}
		}
		now := next[i]
		if now > length {
			s.now = length
			return
		}
		s.advance(now)
		next[i] = now + gap(i)
		s.arrive(i, now)
	}
}

// arrive adds a call of a customer.
func (s *simulation) arrive(i int, now time.Duration) {
	expected := kinds[s.random.IntN(len(kinds))]
	took := time.Duration((0.7 + 0.6*s.random.Float64()) * float64(expected))
	j := &job{customer: fmt.Sprint(i), priority: s.random.IntN(2), expected: expected, since: now, deadline: now + waitLimit, took: took}
	j.excess = s.turns.Arrived(now, j.customer, expected)
	o := s.resultOf(j)
	o.sent++
	if s.running.Len() == connections && !s.turns.InTime(now, j, s.inUse[j.customer], connections) {
		o.refusals = append(o.refusals, 0)
		return
	}
	s.turns.Add(j)
	s.start(now)
}

func (s *simulation) resultOf(j *job) *outcome {
	key := j.customer + "/" + fmt.Sprint(j.priority)
	if s.results[key] == nil {
		s.results[key] = &outcome{}
	}
	return s.results[key]
}

// advance ends the uses of connections up to a time, and refuses the calls whose time is up.
func (s *simulation) advance(until time.Duration) {
	defer func() {
		for _, j := range slices.Clone(s.turns.Order(until)) {
			if until >= j.deadline {
				s.refuse(j, j.deadline)
			}
		}
	}()
	for s.running.Len() > 0 && s.running[0].at <= until {
		e := heap.Pop(&s.running).(event)
		s.inUse[e.job.customer]--
		s.turns.Ended(e.job.customer, e.job.took, e.job.expected)
		for _, j := range s.turns.Late(e.at, func(c string) int { return s.inUse[c] }, connections) {
			s.refuse(j, e.at)
		}
		s.start(e.at)
	}
}

func (s *simulation) refuse(j *job, now time.Duration) {
	s.turns.Remove(j)
	o := s.resultOf(j)
	o.refusals = append(o.refusals, min(now, j.deadline)-j.since)
}

// start begins to serve waiting calls on connections that are free.
func (s *simulation) start(now time.Duration) {
	for s.running.Len() < connections && s.turns.Len() > 0 {
		free := connections - s.running.Len()
		// Calls in excess leave a connection for those that arrive next.
		j, ok := s.turns.Next(now, func(j *job) bool { return free > 1 || !j.excess })
		if !ok {
			return
		}
		if now >= j.deadline {
			s.refuse(j, now)
			continue
		}
		s.turns.Remove(j)
		s.turns.Started(now, j)
		s.inUse[j.customer]++
		o := s.resultOf(j)
		if took := now + j.took - j.since; took <= objective {
			o.served++
			o.times = append(o.times, took)
		}
		heap.Push(&s.running, event{now + j.took, j})
	}
}

// others returns what the callers of a priority got, without those of one customer.
func (s *simulation) others(noisy, priority int) outcome {
	var all outcome
	for i := range customers {
		if o := s.results[fmt.Sprint(i, "/", priority)]; o != nil && i != noisy {
			all.sent += o.sent
			all.served += o.served
			all.times = append(all.times, o.times...)
			all.refusals = append(all.refusals, o.refusals...)
		}
	}
	return all
}

// playBurst plays a minute of the usual load, and then some minutes in which the customer noisy
// sends factor times its usual load, with several seeds. It returns what the callers of other
// customers got by priority after the first minute.
func playBurst(noisy int, factor float64) [2]outcome {
	var results [2]outcome
	for seed := range uint64(3) {
		s := newSimulation(seed)
		s.play(time.Minute, 0.7, noisy, 1)
		s.results = map[string]*outcome{}
		s.play(2*time.Minute, 0.7, noisy, factor)
		for priority := range results {
			o := s.others(noisy, priority)
			results[priority].sent += o.sent
			results[priority].served += o.served
			results[priority].times = append(results[priority].times, o.times...)
		}
	}
	return results
}

// A customer that sends several times its usual load must not make others wait or be refused,
// as long as the load of the others fits: their p99 is at most 1.2 times, and their served
// share at least 0.98 times the values without the burst, within each priority.
func TestNoisyCustomerHurtsNoOther(t *testing.T) {
	for _, noisy := range []int{0, 2, 10} {
		calm := playBurst(noisy, 1)
		for _, factor := range []float64{3, 6, 9} {
			t.Run(fmt.Sprintf("%d/%v", noisy, factor), func(t *testing.T) {
				is := is.New(t)
				burst := playBurst(noisy, factor)
				for priority := range calm {
					before, after := calm[priority], burst[priority]
					p99, now99 := percentile(before.times, 0.99), percentile(after.times, 0.99)
					served, nowServed := float64(before.served)/float64(before.sent), float64(after.served)/float64(after.sent)
					t.Logf("priority %d: p99 %v, then %v; served %.4f, then %.4f", priority, p99, now99, served, nowServed)
					is.True(float64(now99) <= 1.2*float64(p99))
					is.True(nowServed >= 0.98*served)
				}
			})
		}
	}
}

// At overload the connections must be used for calls that are in time, and the others be
// refused before their time is up. A customer below its share must not suffer from the
// overload by others of the same priority; a more urgent priority comes first, even if
// nothing is left.
func TestOverload(t *testing.T) {
	for _, load := range []float64{1.7, 2.0, 2.4} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(2)
			s.play(time.Minute, 0.7, 0, 1)
			s.results = map[string]*outcome{}
			s.play(time.Minute, load, 0, 1)
			var all, small outcome
			var urgent [2]outcome
			for key, o := range s.results {
				all.sent += o.sent
				all.served += o.served
				all.times = append(all.times, o.times...)
				all.refusals = append(all.refusals, o.refusals...)
				var i, priority int
				_, err := fmt.Sscanf(key, "%d/%d", &i, &priority)
				is.NoErr(err)
				urgent[priority].sent += o.sent
				urgent[priority].served += o.served
				if priority == 0 && s.sizes[i]*load < 0.7/customers { // the share of the load that is usual
					small.sent += o.sent
					small.served += o.served
				}
			}
			share := func(o outcome) float64 { return float64(o.served) / float64(o.sent) }
			t.Logf("served %.3f of all, %.3f and %.3f by priority, %.3f of small customers' urgent calls; p99 %v; refused after %v, p99 %v",
				share(all), share(urgent[0]), share(urgent[1]), share(small),
				percentile(all.times, 0.99), percentile(all.refusals, 0.5), percentile(all.refusals, 0.99))
			is.True(share(all) >= 0.9/load)
			is.True(share(small) >= 0.98)
			// Half of the load is urgent. It gets all but the turns of calls that have waited
			// for long, 1 of 16.
			is.True(share(urgent[0]) >= 0.9*min(1, 15.0/16/(load/2)))
			is.True(percentile(all.refusals, 1) <= waitLimit)
		})
	}
}
