// Package lender defines a host that lends its connections to a target.
package lender

import "time"

// Lender is one of the hosts whose connections to a target a request may use, as another host
// knows it. A Lender is immutable.
type Lender struct {
	// Host is the name of the host. Self is set if it is the one that asks, which then uses
	// its own connections.
	Host string
	Self bool
	// Share is the probability with which the host is asked first.
	Share float64
	// Load is the mean number of statements that it lately had at the target, and Age the
	// age of its last report of that, -1 if there was none.
	Load float64
	Age  time.Duration
	// Skipped means that it is not asked, since it could not be reached lately.
	Skipped bool
}

// New returns a lender of which nothing is known.
func New(host string) Lender {
	return Lender{Host: host, Age: -1}
}

// WithSelf returns the lender with another Self flag.
func (l Lender) WithSelf(self bool) Lender {
	l.Self = self
	return l
}

// WithShare returns the lender with another probability.
func (l Lender) WithShare(share float64) Lender {
	l.Share = share
	return l
}

// WithLoad returns the lender with its mean load and the age of its last report.
func (l Lender) WithLoad(load float64, age time.Duration) Lender {
	l.Load, l.Age = load, age
	return l
}

// WithSkipped returns the lender with another Skipped flag.
func (l Lender) WithSkipped(skipped bool) Lender {
	l.Skipped = skipped
	return l
}
