// Package timing records measured service times by request label and estimates
// service times from them.
package timing

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxServiceTime is the longest time that the histograms record. Longer times
	// are recorded as maxServiceTime.
	maxServiceTime = 10 * time.Minute
	// significantDigits is the precision of the histograms.
	significantDigits = 2
	// meanWeight is the weight of a new measurement in the moving mean.
	meanWeight = 0.1
	// defaultServiceTime is the expected service time of a label that was never
	// measured.
	defaultServiceTime = time.Millisecond
	// minSamples is the number of measurements that a label needs for its median to
	// decide whether it is long.
	minSamples = 8
	// maxSamples is the number of measurements after which a histogram is cleared,
	// so that old measurements do not count forever.
	maxSamples = 4096
	// maxLabels is the maximum number of labels with measurements of their own,
	// which limits the memory used. All further labels share one set of
	// measurements.
	maxLabels = 256
)

// measurements holds the measured service times of one label.
type measurements struct {
	// times is the histogram of service times in microseconds.
	times *hdrhistogram.Histogram
	// mean is the moving mean in nanoseconds.
	mean float64
	// overran is set by AddOverrun.
	overran bool
}

// ServiceTimes keeps a histogram and a moving mean of service times for each label.
// It has no lock.
type ServiceTimes struct {
	// labels holds the measurements, by label name.
	labels    map[string]*measurements
	longAfter time.Duration
}

// New returns ServiceTimes without measurements. A label is long if its median
// service time is above longAfter.
func New(longAfter time.Duration) *ServiceTimes {
	return &ServiceTimes{labels: map[string]*measurements{}, longAfter: longAfter}
}

// Add records a measured service time of a label.
func (s *ServiceTimes) Add(name string, d time.Duration) {
	k := s.measurementsOf(name)
	if k.times.TotalCount() == 0 {
		k.mean = float64(d)
	}
	k.mean += meanWeight * (float64(d) - k.mean)
	if k.times.TotalCount() >= maxSamples {
		k.times.Reset()
	}
	_ = k.times.RecordValue(int64(min(d, maxServiceTime) / time.Microsecond))
}

// measurementsOf returns the measurements of a label, which it adds if needed. Labels
// beyond maxLabels share the measurements of the empty label.
func (s *ServiceTimes) measurementsOf(name string) *measurements {
	if k, ok := s.labels[name]; ok {
		return k
	}
	if len(s.labels) >= maxLabels {
		name = ""
		if k, ok := s.labels[name]; ok {
			return k
		}
	}
	k := &measurements{times: hdrhistogram.New(1, int64(maxServiceTime/time.Microsecond), significantDigits)}
	s.labels[name] = k
	return k
}

// AddOverrun records that a run of the label has taken longer than longAfter and
// has not ended yet. From then on, the label counts as long while it has fewer than
// minSamples measurements.
func (s *ServiceTimes) AddOverrun(name string) {
	s.measurementsOf(name).overran = true
}

// Expected returns the expected service time of a label: its moving mean, or
// defaultServiceTime if the label has no measurements of its own.
func (s *ServiceTimes) Expected(name string) time.Duration {
	if k, ok := s.labels[name]; ok && k.mean > 0 {
		return time.Duration(k.mean)
	}
	return defaultServiceTime
}

// Long reports whether a label is long: whether its median is above longAfter or,
// with fewer than minSamples measurements, whether a run has overrun. A label
// without measurements of its own is not long.
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

// LongAfter returns the service time above which a request counts as long.
func (s *ServiceTimes) LongAfter() time.Duration {
	return s.longAfter
}
