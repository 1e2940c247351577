package conns_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/process/conns"
)

// An operator must be told what a call gets, with and without customers, and a call that is only
// asked about must not be counted, nor open a connection.
func TestPreviewTellsWhatTakeDoes(t *testing.T) {
	for name, customer := range map[string]string{"customer": "bakery", "any caller": ""} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				o := &openings{count: map[string]int{}}
				p := conns.New(2, clock(), o.open)
				if customer != "" {
					p.SetCustomers(map[string]int{"bakery": 1, "cafe": 1}, 2)
					time.Sleep(time.Minute)
				}
				empty := p.Preview(callerOf(customer), 0, time.Second)
				is.True(!empty.Immediate && !empty.Refused && empty.Open == 0 && empty.Limit == 2)
				is.Equal(len(o.count), 0)
				// Uses of 100 ms.
				for range 50 {
					cn, err := p.Take(t.Context(), callerOf(customer), 0)
					is.NoErr(err)
					time.Sleep(100 * time.Millisecond)
					p.Put(cn)
				}
				free := p.Preview(callerOf(customer), 0, time.Second)
				is.True(free.Immediate && free.Open == 1 && free.Own == 1 && free.OwnIdle == 1)
				first, err := p.Take(t.Context(), callerOf(customer), 0)
				is.NoErr(err)
				second, err := p.Take(t.Context(), callerOf(customer), 0)
				is.NoErr(err)
				p.TakeCounts(func(string, int, int, int) {})
				for _, limit := range []time.Duration{5 * time.Millisecond, 20 * time.Millisecond, 30 * time.Millisecond, time.Second} {
					told := p.Preview(callerOf(customer), 0, limit)
					is.Equal(told, p.Preview(callerOf(customer), 0, limit))
					is.True(!told.Immediate && told.Wait > 0)
					p.TakeCounts(func(string, int, int, int) { t.Fatal("a call was counted") })
					ctx, stop := context.WithTimeout(t.Context(), limit)
					_, err := p.Take(ctx, callerOf(customer), 0)
					stop()
					is.Equal(told.Refused, errors.Is(err, conns.ErrBusy))
					p.TakeCounts(func(string, int, int, int) {})
				}
				open, idle, waiting := p.Counts()
				is.Equal([]int{open, idle, waiting}, []int{2, 0, 0})
				p.Put(first)
				p.Put(second)
				p.Close()
				is.True(p.Preview(callerOf(customer), 0, time.Second).Refused)
			})
		})
	}
}

// A request of a customer must not be shown the idle connection of another one as its own.
func TestPreviewTellsCustomersApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := &openings{count: map[string]int{}}
		p := conns.New(2, clock(), o.open)
		p.SetCustomers(map[string]int{"bakery": 1, "cafe": 1}, 2)
		cn, err := p.Take(t.Context(), callerOf("bakery"), 0)
		is.NoErr(err)
		p.Put(cn)
		cafe := p.Preview(callerOf("cafe"), 0, time.Second)
		is.Equal([]any{cafe.Open, cafe.Idle, cafe.Own, cafe.OwnIdle, cafe.Immediate}, []any{1, 1, 0, 0, false})
		p.Close()
	})
}
