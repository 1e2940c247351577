// Package rating defines how a target is rated for a read, with the parts of the estimate.
package rating

import "time"

// Rating explains how likely a target is chosen for a read. A Rating is immutable.
type Rating struct {
	// ID identifies the target, which leads the group if Leads is set.
	ID    string
	Leads bool
	// Unusable is the reason why the target is not chosen at all, or empty.
	Unusable string `json:",omitempty"`
	// Share is the probability with which the target is chosen.
	Share float64
	// Work, Wait, Retry and Way are the parts of the estimate: the time for the work
	// itself, for the wait behind other work, for repeating what fails, and for the way.
	Work, Wait, Retry, Way time.Duration
	// Outstanding is the estimated number of statements at the target, of which Own are
	// this host's. Slots is how many it runs at the same time.
	Outstanding float64
	Own, Slots  int
	// Slowness is how many times as long as usual the target takes, and FailureRate the
	// recent share of runs that failed there.
	Slowness    float64
	FailureRate float64
	// ReportAge is the age of the last report of the target's load, -1 if there was none.
	ReportAge time.Duration
}

// Estimate returns how long a read is expected to take at the target, with the penalties for
// failures and distance.
func (r Rating) Estimate() time.Duration {
	return r.Work + r.Wait + r.Retry + r.Way
}

// WithLeads returns the rating with another Leads flag.
func (r Rating) WithLeads(leads bool) Rating {
	r.Leads = leads
	return r
}

// WithUnusable returns the rating of a target that is not chosen, with the reason.
func (r Rating) WithUnusable(reason string) Rating {
	r.Unusable = reason
	r.Share = 0
	return r
}
