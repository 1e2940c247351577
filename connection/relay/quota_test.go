package relay_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/relay"
	"github.com/pistachiotray/pistachiotray/connection/remote"
	"github.com/pistachiotray/pistachiotray/process/award"
	"github.com/pistachiotray/pistachiotray/process/borrow"
	"github.com/pistachiotray/pistachiotray/process/claim"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/share"
)

// divider answers each claim with its own shares.
type divider struct{}

func (divider) Award(c claim.Claim) award.Award {
	return award.New(1, time.Second, c.Host).WithShares(false, c.Shares...)
}

// single is a network of one host. It implements the dialer of package borrow.
type single struct {
	host *host
}

func (s single) Host(_ context.Context, n gossip.HostInfo) (*remote.Remote, error) {
	near, far := net.Pipe()
	s.host.incoming <- far
	return remote.New(n.Host, near), nil
}

// A claim must pass through the connections between hosts, and a host that divides no limits,
// as one of an earlier version, must refuse it without harm to the connection.
func TestClaimOfShares(t *testing.T) {
	for name, test := range map[string]struct {
		options []func(*relay.Relay)
		ok      bool
	}{
		"coordinator":     {[]func(*relay.Relay){relay.WithQuota(divider{})}, true},
		"earlier version": {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := &host{incoming: make(chan net.Conn, 1), closed: make(chan struct{})}
			defer close(h.closed)
			go relay.New(zap.NewNop(), h, nil, test.options...).Serve(h)
			b := borrow.New(single{h}, func() time.Duration { return time.Hour })
			ctx, stop := context.WithTimeout(t.Context(), time.Second)
			defer stop()
			shares := []share.Share{share.New("bakery").WithBucket(1, 2, 3)}
			for range 2 {
				got, err := b.Quota(ctx, claim.New("asker", 1, 1).WithShares(shares...), gossip.New("gate", "10.0.0.1:1", "", 0))
				is.Equal(err == nil, test.ok)
				if test.ok {
					is.Equal(got.Coordinator, "asker")
					is.Equal(got.Shares, shares)
				}
			}
		})
	}
}
