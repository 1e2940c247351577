// Package strain estimates from the times of use of a target how busy it is.
package strain

import "time"

const (
	// recentWeight and usualWeight are the weights of a new measurement in the averages
	// of about the last 16 and the last 64 times. The times of ordinary statements differ
	// by a factor of five, so that fewer say little.
	recentWeight = 1.0 / 16
	usualWeight  = 1.0 / 64
	// minSamples is how many times must be known before the target counts as strained.
	minSamples = 64
	// windows is how many windows of windowTime the usual time is the least of.
	windows    = 5
	windowTime = time.Minute
)

// Strain compares the recent times of use of a target with the usual ones. A target that has
// more work than slots lets it wait, so that each use takes longer. It is not safe for
// concurrent use.
type Strain struct {
	samples int
	recent  float64
	usual   float64
	// least holds the least value of usual in each of the last windows, the present one
	// first, which began at windowFrom.
	least      [windows]float64
	windowFrom time.Duration
}

// New returns a Strain without measurements.
func New() *Strain {
	return &Strain{}
}

// Add records a time of use.
func (s *Strain) Add(now, took time.Duration) {
	s.samples = min(s.samples+1, minSamples)
	n := 1 / float64(s.samples)
	s.recent += max(recentWeight, n) * (float64(took) - s.recent)
	s.usual += max(usualWeight, n) * (float64(took) - s.usual)
	if s.samples < minSamples {
		return
	}
	if s.windowFrom == 0 || now-s.windowFrom > windowTime {
		copy(s.least[1:], s.least[:])
		s.least[0] = s.usual
		s.windowFrom = now
	}
	s.least[0] = min(s.least[0], s.usual)
}

// Level returns how many times as long as usual the recent uses took, 1 if too little is known.
// The usual time is the least average of the last minutes.
func (s *Strain) Level() float64 {
	least := 0.0
	for _, l := range s.least {
		if l != 0 && (least == 0 || l < least) {
			least = l
		}
	}
	if least == 0 {
		return 1
	}
	return s.recent / least
}
