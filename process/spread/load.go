// Package spread decides which of several targets gets a piece of work, from what one host
// knows of their load. Many hosts decide at the same moment, from information that is old.
// The package has no lock, no clock and no network: its callers pass the time.
package spread

import (
	"math"
	"time"
)

const (
	// regionTrip is the part of the time of a statement that is due to the way to a target in
	// another region. The way within a region is not worth counting.
	regionTrip = 40 * time.Millisecond
	// reportMemory is the time constant of the mean of the reported loads. It is several
	// times the age of the reports, since a mean that follows faster than the reports
	// arrive makes all hosts move their work at the same time.
	reportMemory = 3 * time.Second
	// reportDecay is how long a single report says more about a target than the mean does:
	// several service times, in which a queue of ordinary length empties.
	reportDecay = 100 * time.Millisecond
	// silentDecay is the time without reports after which a target's mean load counts half,
	// and the mean of the other targets counts as much.
	silentDecay = 10 * time.Second
	// timeWeight is the weight of a new measurement in the mean slowness.
	timeWeight = 0.1
	// maxSample bounds a single measurement of the slowness, so that one lost packet is not
	// taken for a slow target.
	maxSample = 10
	// minSlowness bounds the slowness, so that quick refusals don't attract work.
	minSlowness = 0.3
	// failureCost is the time that a failed statement costs: that of a slow answer.
	failureCost = time.Second
	// failureWeight and successWeight are the weights of a new outcome in the failure rate.
	// A target that fails in part or from time to time answers many statements between two
	// failures, so that successes have less weight.
	failureWeight = 0.3
	successWeight = 0.1
	// minHalfLife is the shortest time in which the failure rate halves without outcomes.
	// Each host draws its own time of up to twice this, so that hosts don't all return to a
	// target at once.
	minHalfLife = 8 * time.Second
	// slowHalfLife is the same for the slowness, where few measurements arrive.
	slowHalfLife = 20 * time.Second
)

// Load is what a host knows of the load and the health of one target. A Load is immutable.
// The zero value of each time means that nothing happened yet.
type Load struct {
	// ID identifies the target.
	ID string
	// Slots is how many statements the target runs at the same time.
	Slots int
	// Distance is by how much longer a statement takes to this target than to one nearby.
	Distance time.Duration
	// Own is the number of this host's statements that are outstanding at the target.
	Own int
	// sources is how many hosts have connections to the target. last is the work of others
	// at the host that reported last, at the time reportedAt, and mean the mean per host.
	sources    int
	last, mean float64
	reportedAt time.Duration
	// slowness is the mean of measured over expected time, of measurements up to measuredAt.
	slowness   float64
	measuredAt time.Duration
	// failureRate is the weighted mean of the outcomes up to failedAt, in which 1 is a failure.
	failureRate float64
	failedAt    time.Duration
	// temper is between 0 and 1. It differs between hosts.
	temper float64
}

// New returns the load of a target of which nothing is known. temper is a random number
// between 0 and 1 that sets how soon this host returns to a target after trouble.
func New(id string, temper float64) Load {
	return Load{ID: id, Slots: 1, sources: 1, slowness: 1, temper: temper}
}

// WithTarget returns the load with the target's slots, its distance, and the number of hosts
// that have connections to it. Values below 1 count as 1.
func (l Load) WithTarget(slots int, distance time.Duration, sources int) Load {
	l.Slots, l.Distance, l.sources = max(slots, 1), distance, max(sources, 1)
	return l
}

// WithOwn returns the load with the number of this host's outstanding statements.
func (l Load) WithOwn(own int) Load {
	l.Own = max(own, 0)
	return l
}

// WithReport returns the load after one of the hosts with connections to the target reported
// the work of others that is outstanding there on its connections.
func (l Load) WithReport(now time.Duration, outstanding int) Load {
	count := float64(max(outstanding, 0))
	if l.reportedAt == 0 {
		l.mean = count
	}
	weight := 1 - math.Exp(-float64(now-l.reportedAt)/float64(reportMemory))
	l.mean += weight * (count - l.mean)
	l.last, l.reportedAt = count, now
	return l
}

// WithOutcome returns the load after a run of statements ended.
func (l Load) WithOutcome(now time.Duration, failed bool) Load {
	l.failureRate, l.failedAt = l.FailureRate(now)*(1-successWeight), now
	if failed {
		l.failureRate += failureWeight * (1 - l.failureRate)
	}
	return l
}

// Unloaded returns how long statements that took a time would have taken at a target that is
// in this region and has a free slot. The mean of it over all targets is what a kind of work
// is expected to take.
func (l Load) Unloaded(now, took time.Duration) time.Duration {
	if l.Distance >= sameRegion {
		took = max(took-regionTrip, 0)
	}
	return time.Duration(float64(took) / l.Crowding(now, 0))
}

// WithTime returns the load after statements took a time at the target. expected is what
// Unloaded returns for this kind of work on average; nothing is learned if it is 0.
func (l Load) WithTime(now, took, expected time.Duration) Load {
	if expected <= 0 {
		return l
	}
	sample := min(float64(l.Unloaded(now, took))/float64(expected), maxSample)
	l.slowness = l.Slowness(now)
	l.slowness = max(l.slowness+timeWeight*(sample-l.slowness), minSlowness)
	l.measuredAt = now
	return l
}

// FailureRate returns the recent share of the target's runs that failed.
func (l Load) FailureRate(now time.Duration) float64 {
	if l.failureRate == 0 {
		return 0
	}
	return l.failureRate * l.remaining(now-l.failedAt, minHalfLife)
}

// Slowness returns how many times as long as usual the target takes for its work. It returns
// toward 1 while nothing is measured.
func (l Load) Slowness(now time.Duration) float64 {
	if l.measuredAt == 0 {
		return 1
	}
	return 1 + (l.slowness-1)*l.remaining(now-l.measuredAt, slowHalfLife)
}

// remaining returns which part of an estimate counts after a time without measurements.
func (l Load) remaining(idle, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(idle, 0)) / (float64(halfLife) * (1 + l.temper)))
}

// Outstanding returns the estimated number of statements at the target, of all hosts. usual is
// the number per slot at the group's targets on average, which counts where nothing is known.
func (l Load) Outstanding(now time.Duration, usual float64) float64 {
	if l.reportedAt == 0 {
		return usual*float64(l.Slots) + float64(l.Own)
	}
	age := float64(now - l.reportedAt)
	known := float64(silentDecay) / (float64(silentDecay) + age)
	others := known*l.mean*float64(l.sources) + (1-known)*usual*float64(l.Slots)
	return max(others+(l.last-l.mean)*math.Exp(-age/float64(reportDecay)), 0) + float64(l.Own)
}

// Steady returns the mean of the reported work per host with connections, which single
// statements change little. It returns toward 0 while nothing is reported.
func (l Load) Steady(now time.Duration) float64 {
	return l.mean * float64(silentDecay) / float64(silentDecay+max(now-l.reportedAt, 0))
}

// Age returns the age of the last report, and false if there was none.
func (l Load) Age(now time.Duration) (time.Duration, bool) {
	return now - l.reportedAt, l.reportedAt != 0
}

// Crowding returns by which factor the outstanding work lengthens a statement: by nothing while
// slots are free, and then in proportion.
func (l Load) Crowding(now time.Duration, usual float64) float64 {
	return max(1, (l.Outstanding(now, usual)+1)/float64(l.Slots))
}

// Estimate returns how long a statement is expected to take at the target, of which the kind
// is expected to take a time. The parts are the time for the work itself, for the wait behind
// other work, for the repetition elsewhere if it fails, and for the way.
func (l Load) Estimate(now, expected time.Duration, usual float64) (work, wait, retry, way time.Duration) {
	work = time.Duration(float64(expected) * l.Slowness(now))
	wait = time.Duration(float64(work) * (l.Crowding(now, usual) - 1))
	return work, wait, time.Duration(l.FailureRate(now) * float64(failureCost)), l.Distance
}
