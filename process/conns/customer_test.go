package conns_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

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
