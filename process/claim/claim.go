// Package claim defines the report in which a host claims its shares of the customers'
// limits from the coordinator.
package claim

import (
	"time"

	"github.com/pistachiotray/pistachiotray/process/share"
)

// Claim is a host's report to the coordinator. It is encoded by encoding/gob, so that the
// names of its fields can't change. A Claim is immutable.
type Claim struct {
	// Host is the reporting host, and Start identifies its process.
	Host  string
	Start uint64
	// Number increases with each claim of the process.
	Number uint64
	// Era and Echo are the Era and At of the last award that the host accepted from the
	// coordinator. A claim without them only asks for the Era.
	Era  uint64
	Echo time.Duration
	// HeldMs is how long ago the host accepted that award when it sent the claim, in
	// milliseconds.
	HeldMs int64
	// Known is how many hosts the host knows.
	Known int
	// CleanMs is for how long any other coordinator may still count this host as its
	// follower or have tokens handed out on its account, and ExtraMs for how long more than
	// one may, in milliseconds.
	CleanMs int64
	ExtraMs int64
	// FreshMs is how long ago the host's process started, in milliseconds, if it has followed
	// no other coordinator since, and otherwise 0.
	FreshMs int64
	// Partial means that the claim tells only about the customers in Shares. Otherwise the
	// host has no part of any other customer's limit.
	Partial bool
	// Ready means that the host has no followers, so that it can take over the accounts of
	// the coordinator.
	Ready bool
	// Shares holds the customers with demand or tokens.
	Shares []share.Share
}

// New returns a claim without shares.
func New(host string, start, number uint64) Claim {
	return Claim{Host: host, Start: start, Number: number}
}

// WithEcho returns the claim with the last accepted award, which was accepted a time ago.
func (c Claim) WithEcho(era uint64, echo, held time.Duration) Claim {
	c.Era, c.Echo, c.HeldMs = era, echo, held.Milliseconds()
	return c
}

// WithKnown returns the claim with the number of known hosts.
func (c Claim) WithKnown(hosts int) Claim {
	c.Known = hosts
	return c
}

// WithAccounts returns the claim with the times for which other coordinators may count the
// host.
func (c Claim) WithAccounts(clean, extra time.Duration) Claim {
	// Rounded up, so that the coordinator never takes the times for shorter.
	c.CleanMs, c.ExtraMs = (clean + time.Millisecond - 1).Milliseconds(), (extra + time.Millisecond - 1).Milliseconds()
	return c
}

// WithFresh returns the claim of a process that has followed no other coordinator since it
// started so long ago.
func (c Claim) WithFresh(age time.Duration) Claim {
	c.FreshMs = age.Milliseconds()
	return c
}

// WithPartial returns the claim with Partial set to partial.
func (c Claim) WithPartial(partial bool) Claim {
	c.Partial = partial
	return c
}

// WithReady returns the claim with Ready set to ready.
func (c Claim) WithReady(ready bool) Claim {
	c.Ready = ready
	return c
}

// WithShares returns the claim with shares.
func (c Claim) WithShares(shares ...share.Share) Claim {
	c.Shares = shares
	return c
}
