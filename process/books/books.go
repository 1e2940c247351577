// Package books defines what one coordinator of the customers' limits gives to the next.
package books

import (
	"time"

	"github.com/pistachiotray/pistachiotray/process/claim"
	"github.com/pistachiotray/pistachiotray/process/share"
)

// Books are the accounts of a coordinator, from which the next one goes on. Books are
// immutable.
type Books struct {
	// Era identifies the coordinator, and At is the time on its clock when it gave up its
	// accounts.
	Era uint64
	At  time.Duration
	// Claims holds for each follower a claim with the most that it can have of each customer's
	// limit. Its HeldMs is the time from its Echo to the end of the host's promise.
	Claims []claim.Claim
	// Free holds for each customer the tokens that no host has.
	Free []share.Share
}

// New returns books without followers and tokens.
func New(era uint64, at time.Duration) Books {
	return Books{Era: era, At: at}
}

// WithClaims returns the books with the claims of the followers.
func (b Books) WithClaims(claims ...claim.Claim) Books {
	b.Claims = claims
	return b
}

// WithFree returns the books with the tokens that no host has.
func (b Books) WithFree(free ...share.Share) Books {
	b.Free = free
	return b
}

// WithAge returns the books as they are given away a time later. All that was handed out
// counts for that much longer.
func (b Books) WithAge(age time.Duration) Books {
	b.At += age
	return b
}
