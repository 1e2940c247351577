package spread

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pistachiotray/pistachiotray/process/rating"
)

const (
	// sameRegion is the distance above that of the nearest target from which a target is
	// in another region.
	sameRegion = 40 * time.Millisecond
	// slowFrom is the slowness from which a target gets less work than its speed allows,
	// since each statement there takes too long for its caller.
	slowFrom = 1.7
	// failureDiscount is by how much a failure rate of 1 divides the share of work.
	failureDiscount = 30
	// minShare is the least share of a target of its ordinary work. These few statements
	// show when the target is well again.
	minShare = 0.015
	// minUsual is the load per slot below which differences of load don't matter.
	minUsual = 0.3
	// maxShift bounds the factor by which the relative load changes a share.
	maxShift = 3
)

// Usual returns the mean number of outstanding statements per slot of some targets.
func Usual(now time.Duration, loads []Load) float64 {
	var sum, slots float64
	for _, l := range loads {
		if l.reportedAt != 0 {
			sum += l.Outstanding(now, 0)
			slots += float64(l.Slots)
		}
	}
	if slots == 0 {
		return 0
	}
	return sum / slots
}

// Choose returns the index of the target that gets a statement of a kind that takes the time
// expected on average, or -1 if loads is empty. The choice is random, by the shares.
func Choose(now, expected time.Duration, loads []Load, random *rand.Rand) int {
	shares := Shares(now, expected, loads)
	at := random.Float64()
	for i, s := range shares {
		if at -= s; at < 0 {
			return i
		}
	}
	return len(loads) - 1
}

// Shares returns for each target the probability with which it is chosen. Targets in other
// regions get work only as far as the nearer ones are overloaded.
func Shares(now, expected time.Duration, loads []Load) []float64 {
	usual := Usual(now, loads)
	shares := make([]float64, len(loads))
	nearest := nearestDistance(loads)
	total, far := 0.0, false
	for i, l := range loads {
		shares[i] = l.share(now, usual)
		far = far || l.Distance-nearest >= sameRegion
	}
	if far {
		reduceFar(now, expected, loads, shares)
	}
	for _, s := range shares {
		total += s
	}
	for i := range shares {
		shares[i] /= total
	}
	return shares
}

// reduceFar reduces the shares of the targets in other regions to what the nearer ones can't
// serve in good time. A target far away whose load is not known counts as idle, since it would
// never be asked otherwise.
func reduceFar(now, expected time.Duration, loads []Load, shares []float64) {
	usual := Usual(now, loads)
	nearest := nearestDistance(loads)
	cheapest := math.Inf(1)
	for _, l := range loads {
		if l.Distance-nearest < sameRegion {
			cheapest = min(cheapest, l.cost(now, expected, usual))
		}
	}
	for i, l := range loads {
		if way := l.Distance - nearest; way >= sameRegion {
			shares[i] *= excess(cheapest, l.cost(now, expected, 0)+float64(way))
		}
	}
}

// cost returns the sum of the parts of Estimate but the way, in nanoseconds.
func (l Load) cost(now, expected time.Duration, usual float64) float64 {
	work, wait, retry, _ := l.Estimate(now, expected, usual)
	return float64(work + wait + retry)
}

// Ratings returns how Choose rates each target, in the order of loads.
func Ratings(now, expected time.Duration, loads []Load) []rating.Rating {
	usual := Usual(now, loads)
	shares := Shares(now, expected, loads)
	ratings := make([]rating.Rating, len(loads))
	for i, l := range loads {
		r := rating.Rating{
			ID: l.ID, Share: shares[i], Outstanding: l.Outstanding(now, usual), Own: l.Own, Slots: l.Slots,
			Slowness: l.Slowness(now), FailureRate: l.FailureRate(now), ReportAge: -1,
		}
		r.Work, r.Wait, r.Retry, r.Way = l.Estimate(now, expected, usual)
		if l.reportedAt != 0 {
			r.ReportAge = now - l.reportedAt
		}
		ratings[i] = r
	}
	return ratings
}

// excess returns which part of its ordinary share a target gets that costs more than the
// cheapest one nearby: none until that one costs as much, and all at twice that cost.
func excess(cheapest, cost float64) float64 {
	return min(max(cheapest/max(cost, 1)-1, 0), 1)
}

// nearestDistance returns the distance of the nearest target.
func nearestDistance(loads []Load) time.Duration {
	if len(loads) == 0 {
		return 0
	}
	nearest := loads[0].Distance
	for _, l := range loads {
		nearest = min(nearest, l.Distance)
	}
	return nearest
}

// share returns the target's share of work relative to others: its slots over its slowness,
// less in trouble and for a load above the usual one, and more for a load below. A target that
// has little work because it is in trouble gets no more for that.
func (l Load) share(now time.Duration, usual float64) float64 {
	slowness := l.Slowness(now)
	health := 1 / (1 + failureDiscount*l.FailureRate(now))
	if slowness > slowFrom {
		health *= slowFrom / slowness * slowFrom / slowness
	}
	relative := (l.Outstanding(now, usual)/float64(l.Slots) + minUsual) / (usual + minUsual)
	shift := min(max(1/relative, 1.0/maxShift), 1+(maxShift-1)*health)
	return float64(l.Slots) * max(health/slowness*shift, minShare)
}
