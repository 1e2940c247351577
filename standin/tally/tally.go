// Package tally counts the results of a simulation's requests.
package tally

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pistachiotray/pistachiotray/request/code"
)

// maxLatency is the highest latency that the histogram can record.
const maxLatency = 10 * time.Minute

// Tally holds the results of the requests of one label. It is not safe for
// concurrent use.
type Tally struct {
	// Asked is the number of requests.
	Asked int
	// Results holds the number of requests by result code.
	Results map[code.Code]int
	// AtReplica is the number of reads that a replica served.
	AtReplica int
	// ServedTime is the total slot time of the requests that were answered in
	// time.
	ServedTime time.Duration
	// Latency holds the latencies of the answered requests, in microseconds.
	Latency *hdrhistogram.Histogram
	// SlowestRefusal is the longest time from a request's submission to its refusal
	// with NotRunOverload.
	SlowestRefusal time.Duration
	// Samples holds, for each answered request, the offset of its submission from
	// the start of the simulation and its latency.
	Samples [][2]time.Duration
}

// New returns an empty tally.
func New() *Tally {
	return &Tally{
		Results: map[code.Code]int{},
		Latency: hdrhistogram.New(1, int64(maxLatency/time.Microsecond), 3),
	}
}

// Add adds the result of one request. runTime is the time that the request occupied
// a slot. replica means that a replica served it, and inTime that the answer arrived
// before the deadline.
func (t *Tally) Add(c code.Code, submittedAt, answeredAt, runTime time.Duration, replica, inTime bool) {
	t.Asked++
	t.Results[c]++
	latency := answeredAt - submittedAt
	if c == code.NotRunOverload {
		t.SlowestRefusal = max(t.SlowestRefusal, latency)
	}
	if c != code.Done {
		return
	}
	if replica {
		t.AtReplica++
	}
	if inTime {
		t.ServedTime += runTime
	}
	_ = t.Latency.RecordValue(int64(latency / time.Microsecond))
	t.Samples = append(t.Samples, [2]time.Duration{submittedAt, latency})
}

// Merge adds the results in the tally o.
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

// Quantile returns a percentile of the latencies of the answered requests. percent
// is from 0 to 100.
func (t *Tally) Quantile(percent float64) time.Duration {
	return time.Duration(t.Latency.ValueAtQuantile(percent)) * time.Microsecond
}

// Errors returns the number of requests whose result code is not Done.
func (t *Tally) Errors() int {
	return t.Asked - t.Results[code.Done]
}

// ResultNames returns the names of the result codes that occurred, sorted.
func (t *Tally) ResultNames() []string {
	var names []string
	for c := range t.Results {
		names = append(names, c.Name())
	}
	slices.Sort(names)
	return names
}
