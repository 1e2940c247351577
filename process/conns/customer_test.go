package conns_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/process/conns"
)

// openings counts the connections that were opened for each customer.
type openings struct {
	mu    sync.Mutex
	count map[string]int
}

func (o *openings) open(_ context.Context, customer string) (*conn.Conn, error) {
	time.Sleep(time.Millisecond)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.count[customer]++
	return conn.New("t", &link{}, conn.WithCustomer(customer)), nil
}

// callerOf returns the session of a caller of a customer.
func callerOf(customer string) caller.Caller {
	return caller.New("c", "orders").WithCustomer(customer)
}

// A target runs statements for the customer that it was told when the connection was
// opened, so that no other customer may get the connection.
func TestConnectionsServeOneCustomer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := &openings{count: map[string]int{}}
		p := conns.New(2, clock(), o.open)
		var wg sync.WaitGroup
		for i := range 60 {
			customer := []string{"bakery", "cafe", "dairy"}[i%3]
			wg.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				cn, err := p.Take(t.Context(), callerOf(customer), i%2)
				is.NoErr(err)
				is.Equal(cn.Customer, customer)
				time.Sleep(5 * time.Millisecond)
				p.Put(cn)
			})
		}
		wg.Wait()
		open, _, waiting := p.Counts()
		is.True(open <= 2)
		is.Equal(waiting, 0)
	})
}

// A customer's connection that is idle must not be closed while there is room.
func TestCustomersKeepTheirConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := &openings{count: map[string]int{}}
		p := conns.New(16, clock(), o.open)
		p.SetShare(8, 16)
		for i := range 100 {
			cn, err := p.Take(t.Context(), callerOf([]string{"bakery", "cafe", "dairy"}[i%3]), 0)
			is.NoErr(err)
			p.Put(cn)
			time.Sleep(4 * time.Second)
			p.Trim(3 * time.Second)
		}
		is.Equal(o.count, map[string]int{"bakery": 1, "cafe": 1, "dairy": 1})
	})
}

// Statements of the proxy itself belong to no customer and need no connection of their own.
func TestOwnStatementsUseAnyConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := &openings{count: map[string]int{}}
		p := conns.New(1, clock(), o.open)
		cn, err := p.Take(t.Context(), callerOf("bakery"), 0)
		is.NoErr(err)
		p.Put(cn)
		cn, err = p.Take(t.Context(), caller.Caller{}, 0)
		is.NoErr(err)
		is.Equal(cn.Customer, "bakery")
	})
}

// quotaPool returns a pool for three customers with a quota, which applies already.
func quotaPool(o *openings, quota int) *conns.Pool {
	p := conns.New(32, clock(), o.open)
	p.SetCustomers(map[string]int{"bakery": 1, "cafe": 1, "dairy": 1}, quota)
	time.Sleep(5 * time.Second)
	return p
}

// useAtOnce makes a number of calls use connections of customers at the same time.
func useAtOnce(t *testing.T, p *conns.Pool, n int, customers ...string) (mostOpen int) {
	t.Helper()
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			cn, err := p.Take(t.Context(), callerOf(customers[i%len(customers)]), 0)
			if err != nil {
				t.Error(err)
				return
			}
			time.Sleep(100 * time.Millisecond)
			p.Put(cn)
		})
	}
	done := make(chan struct{})
	go func() { all.Wait(); close(done) }()
	for {
		select {
		case <-done:
			return mostOpen
		case <-time.After(time.Millisecond):
			open, _, _ := p.Counts()
			mostOpen = max(mostOpen, open)
		}
	}
}

// The lenders of a target together must not open more connections than it accepts.
func TestQuotaIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := &openings{count: map[string]int{}}
		p := quotaPool(o, 4)
		is.Equal(useAtOnce(t, p, 40, "bakery", "cafe", "dairy"), 4)
		p.SetCustomers(map[string]int{"bakery": 1, "cafe": 1, "dairy": 1}, 2)
		open, _, _ := p.Counts()
		is.Equal(open, 2) // those beyond a lower quota are closed at once
		is.Equal(useAtOnce(t, p, 40, "bakery", "cafe", "dairy"), 2)
	})
}

// A target counts the connections of a lost lender for 3 s more, so that the lender that
// takes over must not open all of its own before.
func TestLargerQuotaAppliesLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := &openings{count: map[string]int{}}
		p := quotaPool(o, 1)
		p.SetCustomers(map[string]int{"bakery": 1, "cafe": 1, "dairy": 1}, 16)
		time.Sleep(2800 * time.Millisecond)
		is.True(useAtOnce(t, p, 4, "bakery") <= 4)
		time.Sleep(time.Second)
		is.True(useAtOnce(t, p, 48, "bakery", "cafe", "dairy") > 8)
	})
}

// A customer that was removed from the plan must not keep connections open.
func TestConnectionsOfRemovedCustomersAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := &openings{count: map[string]int{}}
		p := quotaPool(o, 4)
		useAtOnce(t, p, 1, "bakery")
		cn, err := p.Take(t.Context(), callerOf("cafe"), 0)
		is.NoErr(err)
		p.SetCustomers(map[string]int{"dairy": 1}, 4)
		open, idle, _ := p.Counts()
		is.Equal([]int{open, idle}, []int{1, 0}) // a transaction may finish
		p.Put(cn)
		open, _, _ = p.Counts()
		is.Equal(open, 0)
	})
}

// A call must wait for a connection of its customer that soon comes back instead of having
// another one opened, but not for one that is kept for long.
func TestWaitsForAConnectionInUse(t *testing.T) {
	for _, c := range []struct{ use, want int }{{20, 1}, {400, 2}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			o := &openings{count: map[string]int{}}
			p := conns.New(32, clock(), func(ctx context.Context, customer string) (*conn.Conn, error) {
				time.Sleep(12 * time.Millisecond)
				return o.open(ctx, customer)
			})
			p.SetCustomers(map[string]int{"bakery": 1}, 8)
			use := func() {
				cn, err := p.Take(t.Context(), callerOf("bakery"), 0, conns.Kept(c.use > 100))
				is.NoErr(err)
				time.Sleep(time.Duration(c.use) * time.Millisecond)
				p.Put(cn)
			}
			use()
			var all sync.WaitGroup
			all.Go(use)
			all.Go(use)
			all.Wait()
			is.Equal(o.count["bakery"], c.want)
		})
	}
}

// An operator must see for whom connections are opened and whose are closed for that.
func TestCountsByCustomer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := &openings{count: map[string]int{}}
		p := quotaPool(o, 1)
		for _, customer := range []string{"bakery", "cafe"} {
			useAtOnce(t, p, 1, customer)
		}
		ctx, stop := context.WithTimeout(t.Context(), time.Millisecond)
		defer stop()
		cn, err := p.Take(ctx, callerOf("cafe"), 0)
		is.NoErr(err)
		_, err = p.Take(ctx, callerOf("cafe"), 0) // the connection is used for 100 ms as a rule
		is.True(errors.Is(err, conns.ErrBusy))
		p.Put(cn)
		got := map[string][3]int{}
		count := func(customer string, opened, madeRoom, refused int) {
			got[customer] = [3]int{opened, madeRoom, refused}
		}
		p.TakeCounts(count)
		is.Equal(got, map[string][3]int{"bakery": {1, 1, 0}, "cafe": {1, 0, 1}})
		clear(got)
		p.TakeCounts(count)
		is.Equal(len(got), 0)
	})
}

// Customers without a connection use one in turn. A customer that needs a further connection only
// now and then must not take that one, as it is closed again for the next of them: the largest
// customers opened up to 70 connections in ten minutes that way.
func TestFurtherConnectionsAreKeptOrNotOpened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := &openings{count: map[string]int{}}
		p := conns.New(32, clock(), func(ctx context.Context, customer string) (*conn.Conn, error) {
			time.Sleep(targetOpenTime)
			return o.open(ctx, customer)
		})
		p.SetCustomers(map[string]int{"bakery": 1, "cafe": 1, "dairy": 1, "deli": 1}, 3)
		time.Sleep(5 * time.Second)
		var all sync.WaitGroup
		use := func(customer string, n int) {
			for range n {
				all.Go(func() {
					cn, err := p.Take(t.Context(), callerOf(customer), 0)
					if err != nil {
						t.Error(err)
						return
					}
					time.Sleep(30 * time.Millisecond)
					p.Put(cn)
				})
			}
		}
		for i := range 2000 { // five per second
			switch {
			case i%200 == 0:
				use("dairy", 1)
			case i%200 == 100:
				use("deli", 1)
			}
			if i%5 == 1 {
				use("cafe", 1)
			}
			use("bakery", 1)
			if i%50 == 49 {
				use("bakery", 2)
			}
			time.Sleep(200 * time.Millisecond)
		}
		all.Wait()
		t.Log(o.count)
		is.Equal(o.count["bakery"], 1)
		is.Equal(o.count["cafe"], 1)
	})
}
