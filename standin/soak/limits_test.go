package soak_test

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// firstLimited is the number of the first customer that has a limit; those after it have one,
	// too. Their limits alternate between limitRate and half of it.
	firstLimited = customerCount / 2
	limitRate    = 10
	// limitVersions is the number of versions for which a limit stays.
	limitVersions = 8
	// limitWindow, limitOverage and limitSlack are the bounds of the settings.
	limitWindow  = 5 * time.Second
	limitOverage = 0.1
	limitSlack   = 20
)

// span is the time in which an operation ran.
type span struct{ sent, answered time.Time }

// limited reports whether a customer has a limit.
func limited(name string) bool {
	for n := firstLimited; n < customerCount; n++ {
		if name == customerName(n) {
			return true
		}
	}
	return false
}

// limitOf returns the rate and burst of a limited customer in a version.
func limitOf(version int) int {
	return limitRate >> (version / limitVersions % 2)
}

// exceed runs operations of a limited customer at a host until the run ends, so that all hosts
// together ask for far more than its limit.
func (r *configRun) exceed(h *host) {
	random := rand.New(rand.NewPCG(uint64(slices.Index(r.hosts, h)), 3))
	c := &session{run: &r.soakRun, random: random, name: h.name + "-noisy", database: standingRoute, item: h.name + "-noisy"}
	defer c.close()
	for r.ctx.Err() == nil {
		time.Sleep(probeInterval/2 + rand.N(probeInterval))
		if c.conn == nil {
			_ = c.connectTo(h, newKey("steady", firstLimited))
			continue
		}
		r.operate(h, c)
	}
}

// noteServed notes an operation that was served, for the customer that held its key in all
// versions that may have been in force.
func (r *configRun) noteServed(o operation, sent time.Time, answer string) {
	held := holders(o.key, o.from, o.to)
	if !strings.Contains(answer, "COMPLETE") || len(held) != 1 || !limited(held[0]) {
		return
	}
	r.configMu.Lock()
	defer r.configMu.Unlock()
	r.served[held[0]] = append(r.served[held[0]], span{sent, time.Now()})
}

// checkLimits checks that no more operations of a customer ran entirely within any window than its
// limit allows over all hosts. Lower limits are not checked apart, since they are in force late
// at hosts that were disturbed.
func (r *configRun) checkLimits() {
	most := int(float64(limitRate*limitWindow.Seconds()+limitRate)*(1+limitOverage)) + limitSlack
	for name, spans := range r.served {
		slices.SortFunc(spans, func(a, b span) int { return a.sent.Compare(b.sent) })
		highest := 0
		for i, first := range spans {
			n := 0
			for _, s := range spans[i:] {
				if s.sent.Sub(first.sent) > limitWindow {
					break
				}
				if s.answered.Sub(first.sent) <= limitWindow {
					n++
				}
			}
			highest = max(highest, n)
		}
		if highest > most {
			r.addViolation("LIMIT: %d operations of %s ran within %v, at most %d may", highest, name, limitWindow, most)
		}
		r.t.Logf("%s: %d served, at most %d of %d within %v", name, len(spans), highest, most, limitWindow)
	}
}
