// Package timing holds the service times that were measured by request label.
package timing

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// highest is the longest service time that is told apart.
	highest = 10 * time.Minute
	// digits is the number of significant digits kept.
	digits = 2
	// weight is the share of a new measurement in the moving mean.
	weight = 0.1
	// firstGuess is the service time of a label that was never measured.
	firstGuess = time.Millisecond
	// enough is the number of measurements from which a label may be called long.
	enough = 8
	// generation is the number of measurements after which old ones fade.
	generation = 4096
	// labelsKept bounds the memory: labels over it share one histogram.
	labelsKept = 256
)

type label struct {
	times *hdrhistogram.Histogram
	mean  float64
	over  bool
}

// ServiceTimes keeps a histogram and a moving mean of service times for each label.
type ServiceTimes struct {
	labels    map[string]*label
	longAfter time.Duration
}

// New returns an empty table. A label whose median is over longAfter is long.
func New(longAfter time.Duration) *ServiceTimes {
	return &ServiceTimes{labels: map[string]*label{}, longAfter: longAfter}
}

// Add takes one measured service time.
func (l *ServiceTimes) Add(name string, d time.Duration) {
	k := l.entry(name)
	if k.times.TotalCount() == 0 {
		k.mean = float64(d)
	}
	k.mean += weight * (float64(d) - k.mean)
	if k.times.TotalCount() >= generation {
		k.times.Reset()
	}
	_ = k.times.RecordValue(int64(min(d, highest) / time.Microsecond))
}

func (l *ServiceTimes) entry(name string) *label {
	if k, ok := l.labels[name]; ok {
		return k
	}
	if len(l.labels) >= labelsKept {
		name = ""
		if k, ok := l.labels[name]; ok {
			return k
		}
	}
	k := &label{times: hdrhistogram.New(1, int64(highest/time.Microsecond), digits)}
	l.labels[name] = k
	return k
}

// AddOverrun takes news of a run that is still going on after longAfter. A label
// with few measurements counts as long from then on.
func (l *ServiceTimes) AddOverrun(name string) {
	l.entry(name).over = true
}

// Expected returns the expected service time of a label.
func (l *ServiceTimes) Expected(name string) time.Duration {
	if k, ok := l.labels[name]; ok && k.mean > 0 {
		return time.Duration(k.mean)
	}
	return firstGuess
}

// Long tells whether the measured times make the label a long one.
func (l *ServiceTimes) Long(name string) bool {
	k, ok := l.labels[name]
	if !ok {
		return false
	}
	if k.times.TotalCount() < enough {
		return k.over
	}
	return time.Duration(k.times.ValueAtQuantile(50))*time.Microsecond > l.longAfter
}

// LongAfter returns the service time from which a request counts as long.
func (l *ServiceTimes) LongAfter() time.Duration {
	return l.longAfter
}
