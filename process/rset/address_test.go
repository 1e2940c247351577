package rset_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/batch"
	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/process/rset"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

// reusedAddress is a dialer for an address that another target has taken over:
// the machine accepts connections, but opening one finds the wrong target.
type reusedAddress struct{ opened atomic.Int64 }

func (r *reusedAddress) Open(context.Context, target.Target, string) (*conn.Conn, error) {
	r.opened.Add(1)
	return nil, errors.Wrap(code.NotRunWrongTarget, "i-other")
}
func (*reusedAddress) Reach(context.Context, target.Target) error { return nil }

// After a target has gone, another target may reuse its address and accept
// connections there. The old target must continue to count as failing, although
// each probe reaches the address.
func TestReusedAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		d := &reusedAddress{}
		rs := rset.New("g", zap.NewNop(), d, func() time.Duration { return time.Hour + time.Since(began) }, func(string) time.Duration { return 0 })
		gone := target.New("i-gone", "g", "10.0.0.1:1", "z").WithSlots(5)
		rs.Update([]target.Target{gone}, target.Target{}, 32)
		defer func() {
			rs.Update(nil, target.Target{}, 32)
			time.Sleep(time.Minute)
		}()
		_, err := rs.Take(t.Context(), "i-gone", batch.New(caller.Caller{}))
		is.True(errors.Is(err, code.NotRunWrongTarget))
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			_, ok := rs.Pick("", nil, mark.Mark{}, 0)
			is.True(!ok) // no read is sent to the failing target
			_, err := rs.Take(t.Context(), "i-gone", batch.New(caller.Caller{}))
			is.True(errors.Is(err, rset.ErrUnavailable))
		}
	})
}
