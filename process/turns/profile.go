package turns

import (
	"math"
	"time"
)

const (
	// usualTime is the time constant of a customer's usual load.
	usualTime = 10 * time.Minute
	// demandTime is the time constant of the present load.
	demandTime = 3 * time.Second
	// learnTime is how long calls must be known before any can be in excess.
	learnTime = 10 * time.Second
	// A customer's calls are in excess beyond usualFactor times its usual load or, if that
	// is more, its share of the usual load of all customers. If the load of all others has
	// grown, both grow with it, since then no customer stands out. burstTime is for how
	// long of that load calls may come at once, and minBurst the least time of use that
	// may: ordinary loads vary by less.
	usualFactor = 1.2
	burstTime   = 2 * time.Second
	minBurst    = 250 * time.Millisecond
	// excessWeight is the weight of calls in excess in the usual load, so that a burst of
	// many minutes becomes usual slowly.
	excessWeight = 0.02
)

// profile is the usual load of a customer, and how much may exceed it.
type profile struct {
	// usual is the expected time of use of all calls, weighted by age, divided by
	// usualTime: the usual number of connections.
	usual float64
	// demand is the same for demandTime, with all calls in full.
	demand float64
	at     time.Duration
	// first is when the customer's first call arrived.
	first time.Duration
	// credit is the time of use that calls may ask for at once.
	credit time.Duration
	// lastExcess is when a call was last in excess, 0 if none was.
	lastExcess time.Duration
}

// profiles holds the profiles of all customers.
type profiles struct {
	customers map[string]*profile
	all       profile
	weights   map[string]int
	// weightSum is the sum of the weights of the customers in the map customers.
	weightSum int
}

// setWeights sets the weights of all customers and forgets all others.
func (ps *profiles) setWeights(weights map[string]int) {
	ps.weights, ps.weightSum = weights, 0
	for name := range ps.customers {
		w, ok := weights[name]
		if !ok {
			delete(ps.customers, name)
		}
		ps.weightSum += w
	}
}

// add records a call, with a weight in the usual load, and ages what was recorded before.
func (p *profile) add(now time.Duration, expected, weight float64) {
	if p.first == 0 {
		p.first, p.at = now, now
	}
	p.usual *= math.Exp(-float64(now-p.at) / float64(usualTime))
	p.usual += weight * expected / float64(usualTime)
	p.demand *= math.Exp(-float64(now-p.at) / float64(demandTime))
	p.demand += expected / float64(demandTime)
	p.at = now
}

// demandAt returns the present number of connections that all calls would use.
func (p *profile) demandAt(now time.Duration) float64 {
	return p.demand * math.Exp(-float64(now-p.at)/float64(demandTime))
}

// usualAt returns the usual number of connections. A profile that is young has as its usual
// load that since its first call.
func (p *profile) usualAt(now time.Duration) float64 {
	aged := p.usual * math.Exp(-float64(now-p.at)/float64(usualTime))
	return aged / (1 - math.Exp(-float64(max(now-p.first, burstTime))/float64(usualTime)))
}

// growthOfOthers returns by how much the present load of all customers but one exceeds their
// usual load, at least 1.
func (ps *profiles) growthOfOthers(now time.Duration, p *profile) float64 {
	usual := ps.all.usualAt(now) - p.usualAt(now)
	if usual <= 0 {
		return 1
	}
	return max((ps.all.demandAt(now)-p.demandAt(now))/usual, 1)
}

// creditAt returns how much time of use the calls of a customer may ask for at once. weightSum is
// the sum of the weights of the known customers, this one included.
func (ps *profiles) creditAt(now time.Duration, p *profile, weight, weightSum int) time.Duration {
	allowed := max(usualFactor*p.usualAt(now), ps.all.usualAt(now)*float64(weight)/float64(weightSum))
	allowed *= ps.growthOfOthers(now, p)
	credit := p.credit + time.Duration(allowed*float64(now-p.at))
	return min(credit, max(time.Duration(allowed*float64(burstTime)), minBurst))
}

// beyond reports whether a call is in excess of a credit.
func (ps *profiles) beyond(now, credit, expected time.Duration) bool {
	return credit < expected && ps.all.first != 0 && now-ps.all.first >= learnTime
}

// exceeds returns what arrived would return, and records nothing.
func (ps *profiles) exceeds(now time.Duration, customer string, expected time.Duration) bool {
	weight, ok := ps.weights[customer]
	if !ok {
		return false
	}
	weightSum := ps.weightSum
	p, ok := ps.customers[customer]
	if !ok {
		p = &profile{first: now, at: now}
		weightSum += weight
	}
	return ps.beyond(now, ps.creditAt(now, p, weight, weightSum), expected)
}

// arrived records a call of a customer and reports whether it is in excess.
func (ps *profiles) arrived(now time.Duration, customer string, expected time.Duration) bool {
	weight, ok := ps.weights[customer]
	if !ok {
		return false
	}
	p, ok := ps.customers[customer]
	if !ok {
		p = &profile{first: now, at: now}
		ps.customers[customer] = p
		ps.weightSum += weight
	}
	p.credit = ps.creditAt(now, p, weight, ps.weightSum)
	excess := ps.beyond(now, p.credit, expected)
	recorded := 1.0
	switch {
	case excess:
		recorded = excessWeight
		p.lastExcess = now
	case p.lastExcess != 0 && now-p.lastExcess < burstTime:
		// The calls that are not in excess make up usualFactor times the usual load.
		recorded = 1 / usualFactor
	}
	if !excess {
		p.credit = max(p.credit-expected, 0)
	}
	p.add(now, float64(expected), recorded)
	ps.all.add(now, float64(expected), recorded)
	return excess
}
