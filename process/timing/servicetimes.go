// Package timing holds the service times that were measured by request label.
package timing

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxServiceTime is the longest service time that is told apart.
	maxServiceTime = 10 * time.Minute
	// significantDigits is the number of significant digits kept.
	significantDigits = 2
	// meanWeight is the share of a new measurement in the moving mean.
	meanWeight = 0.1
	// defaultServiceTime is the service time of a label that was never measured.
	defaultServiceTime = time.Millisecond
	// minSamples is the number of measurements from which a label may be called long.
	minSamples = 8
	// maxSamples is the number of measurements after which old ones fade.
	maxSamples = 4096
	// maxLabels bounds the memory: labels over it share one histogram.
	maxLabels = 256
)

type label struct {
	times   *hdrhistogram.Histogram
	mean    float64
	overran bool
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
func (s *ServiceTimes) Add(name string, d time.Duration) {
	k := s.entry(name)
	if k.times.TotalCount() == 0 {
		k.mean = float64(d)
	}
	k.mean += meanWeight * (float64(d) - k.mean)
	if k.times.TotalCount() >= maxSamples {
		k.times.Reset()
	}
	_ = k.times.RecordValue(int64(min(d, maxServiceTime) / time.Microsecond))
}

func (s *ServiceTimes) entry(name string) *label {
	if k, ok := s.labels[name]; ok {
		return k
	}
	if len(s.labels) >= maxLabels {
		name = ""
		if k, ok := s.labels[name]; ok {
			return k
		}
	}
	k := &label{times: hdrhistogram.New(1, int64(maxServiceTime/time.Microsecond), significantDigits)}
	s.labels[name] = k
	return k
}

// AddOverrun takes news of a run that is still going on after longAfter. A label
// with few measurements counts as long from then on.
func (s *ServiceTimes) AddOverrun(name string) {
	s.entry(name).overran = true
}

// Expected returns the expected service time of a label.
func (s *ServiceTimes) Expected(name string) time.Duration {
	if k, ok := s.labels[name]; ok && k.mean > 0 {
		return time.Duration(k.mean)
	}
	return defaultServiceTime
}

// Long tells whether the measured times make the label a long one.
func (s *ServiceTimes) Long(name string) bool {
	k, ok := s.labels[name]
	if !ok {
		return false
	}
	if k.times.TotalCount() < minSamples {
		return k.overran
	}
	return time.Duration(k.times.ValueAtQuantile(50))*time.Microsecond > s.longAfter
}

// LongAfter returns the service time from which a request counts as long.
func (s *ServiceTimes) LongAfter() time.Duration {
	return s.longAfter
}
