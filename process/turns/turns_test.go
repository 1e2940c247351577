package turns_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/process/turns"
)

// job is a waiting call of the tests.
type job struct {
	customer string
	priority int
	expected time.Duration
	since    time.Duration
	deadline time.Duration
	took     time.Duration
	excess   bool
}

func (j *job) Customer() string        { return j.customer }
func (j *job) Priority() int           { return j.priority }
func (j *job) Excess() bool            { return j.excess }
func (j *job) Expected() time.Duration { return j.expected }
func (j *job) Since() time.Duration    { return j.since }
func (j *job) Deadline() time.Duration { return j.deadline }

// newJob returns a call that arrives at a time, uses a connection for 10 ms and may wait for
// a second.
func newJob(customer string, priority int, at time.Duration) *job {
	return &job{customer: customer, priority: priority, expected: 10 * time.Millisecond, since: at, deadline: at + time.Second, took: 10 * time.Millisecond}
}

// anyCall is true for every call.
func anyCall(*job) bool { return true }

func ExampleTurns() {
	t := turns.New[*job]()
	for range 3 {
		t.Add(newJob("large", 1, 0))
	}
	t.Add(newJob("small", 1, 0))
	t.Add(newJob("urgent", 0, 0))
	for t.Len() > 0 {
		j, _ := t.Next(0, anyCall)
		t.Remove(j)
		t.Started(0, j)
		fmt.Println(j.customer)
	}
	// Output:
	// urgent
	// large
	// small
	// large
	// large
}

// Where calls have no customer, they must be served as ever: by priority, and in the order of
// their arrival however long they wait.
func TestCallsWithoutCustomerKeepTheirOrder(t *testing.T) {
	is := is.New(t)
	w := turns.New[*job]()
	var jobs []*job
	for i, priority := range []int{2, 1, 1, 0, 2, 1} {
		j := newJob("", priority, time.Duration(i)*time.Millisecond)
		j.deadline -= 10 * time.Duration(i) * time.Millisecond // a later call with less time left
		jobs = append(jobs, j)
		w.Add(j)
	}
	is.Equal(w.Order(5*time.Second), []*job{jobs[3], jobs[1], jobs[2], jobs[5], jobs[0], jobs[4]})
	first, ok := w.Next(5*time.Second, anyCall)
	is.True(ok)
	is.Equal(first, jobs[3])
	is.True(w.Remove(first))
	is.True(!w.Remove(first))
}

// Within a customer, the call that has to begin first must be served first: a short one may
// begin later.
func TestLeastTimeLeftFirst(t *testing.T) {
	is := is.New(t)
	w := turns.New[*job]()
	short, long := newJob("bakery", 0, 0), newJob("bakery", 0, 0)
	long.expected = 300 * time.Millisecond
	w.Add(short)
	w.Add(long)
	is.Equal(w.Order(0), []*job{long, short})
}

// A call of a less urgent priority must be served at last although more urgent calls never end.
func TestNoCallStarves(t *testing.T) {
	is := is.New(t)
	w := turns.New[*job]()
	patient := newJob("cafe", 3, 0)
	patient.deadline = time.Minute
	w.Add(patient)
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		w.Add(newJob("bakery", 0, now))
		j, _ := w.Next(now, anyCall)
		w.Remove(j)
		w.Started(now, j)
		if j == patient {
			is.True(now >= 3*time.Second)
			return
		}
	}
	is.Fail()
}

// Weights decide how customers that all wait share the connections.
func TestSharesByWeight(t *testing.T) {
	is := is.New(t)
	w := turns.New[*job]()
	w.SetWeights(map[string]int{"bakery": 3, "cafe": 1})
	served := map[string]int{}
	for range 10 {
		w.Add(newJob("bakery", 0, 0))
		w.Add(newJob("cafe", 0, 0))
	}
	for range 400 {
		j, _ := w.Next(0, anyCall)
		w.Remove(j)
		w.Started(0, j)
		served[j.customer]++
		w.Add(newJob(j.customer, 0, 0))
	}
	is.True(served["bakery"] >= 299 && served["bakery"] <= 301)
}

// A call that can't be served in time must be refused at once, and one that can must not,
// however many calls of other customers wait.
func TestRefusedIfTooLate(t *testing.T) {
	is := is.New(t)
	w := turns.New[*job]()
	for range 500 {
		w.Add(newJob("bakery", 0, 0))
	}
	is.True(!w.InTime(0, newJob("bakery", 0, 0), 1, 4)) // 5 s of work before it, on 4 connections
	is.True(w.InTime(0, newJob("bakery", 0, 0), 8, 8))
	is.True(w.InTime(0, newJob("cafe", 0, 0), 0, 4))
	late := w.Late(500*time.Millisecond, func(string) int { return 2 }, 4)
	is.True(len(late) >= 300 && len(late) <= 302) // 200 fit into the half second that is left
	is.Equal(len(w.Late(0, func(string) int { return 8 }, 8)), 0)
}
