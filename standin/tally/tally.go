// Package tally counts what became of the requests of a simulation.
package tally

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pistachiotray/pistachiotray/request/code"
)

// longest is the longest time that is told apart.
const longest = 10 * time.Minute

// Tally holds the requests of one label. Its fields are read freely once the
// simulation has ended.
type Tally struct {
	// Asked counts the requests, Results their results.
	Asked   int
	Results map[code.Code]int
	// AtReplica counts the reads that a replica served.
	AtReplica int
	// ServedTime sums the time in slots of what was answered before its deadline.
	ServedTime time.Duration
	// Latency holds the time to an answer in microseconds, of what was answered.
	Latency *hdrhistogram.Histogram
	// SlowestRefusal is the longest time to say NotRunOverload.
	SlowestRefusal time.Duration
	// Samples holds the offset of each answer from the beginning and its latency.
	Samples [][2]time.Duration
}

// New returns an empty tally.
func New() *Tally {
	return &Tally{
		Results: map[code.Code]int{},
		Latency: hdrhistogram.New(1, int64(longest/time.Microsecond), 3),
	}
}

// Add takes the result of one request.
func (t *Tally) Add(c code.Code, submit, answer, takes time.Duration, replica, inTime bool) {
	t.Asked++
	t.Results[c]++
	took := answer - submit
	if c == code.NotRunOverload {
		t.SlowestRefusal = max(t.SlowestRefusal, took)
	}
	if c != code.Done {
		return
	}
	if replica {
		t.AtReplica++
	}
	if inTime {
		t.ServedTime += takes
	}
	_ = t.Latency.RecordValue(int64(took / time.Microsecond))
	t.Samples = append(t.Samples, [2]time.Duration{submit, took})
}

// Merge adds another tally.
func (t *Tally) Merge(o *Tally) {
	t.Asked += o.Asked
	for c, n := range o.Results {
		t.Results[c] += n
	}
	t.AtReplica += o.AtReplica
	t.ServedTime += o.ServedTime
	t.Latency.Merge(o.Latency)
	t.SlowestRefusal = max(t.SlowestRefusal, o.SlowestRefusal)
	t.Samples = append(t.Samples, o.Samples...)
}

// Quantile returns the latency at a quantile in percent.
func (t *Tally) Quantile(q float64) time.Duration {
	return time.Duration(t.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// Errors returns how many requests did not end as Done.
func (t *Tally) Errors() int {
	return t.Asked - t.Results[code.Done]
}

// ResultNames returns the names of the results that came up, sorted.
func (t *Tally) ResultNames() []string {
	var names []string
	for c := range t.Results {
		names = append(names, c.Name())
	}
	slices.Sort(names)
	return names
}
