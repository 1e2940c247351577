package bucket_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/process/share"
)

// An operator who looks at a customer's limit must see what the next operation gets, and must not
// use any of it.
func TestPeekTellsWhatTryDoes(t *testing.T) {
	is := is.New(t)
	bs := follow(t, time.Second)
	none := bs.Peek(time.Second, customer)
	is.True(!none.Admitted && none.Waits && none.Tokens == 0 && none.Age < 0)
	is.Equal(none.Coordinator, names()[0])
	bs.Try(time.Second, customer, false)
	grant(t, bs, time.Second, share.New(customer).WithBucket(2, 3, 3).WithLimited(true))
	at := 1100 * time.Millisecond
	before := bs.Peek(at, customer)
	is.Equal([]any{before.Rate, before.Burst, before.Tokens, before.Age, before.Left}, []any{2.0, 3.0, 3.0, 100 * time.Millisecond, 1900 * time.Millisecond})
	for range 100 {
		is.Equal(bs.Peek(at, customer), before)
	}
	for range 10 {
		told := bs.Peek(at, customer)
		ok, wait, _, after := bs.Try(at, customer, false)
		is.Equal([]any{told.Admitted, told.Waits, told.Retry}, []any{ok, wait, after})
	}
	is.True(!bs.Peek(at, customer).Admitted)
	_, c, _ := bs.Claim(at, false)
	for _, s := range c.Shares {
		is.Equal(s.Customer, customer) // none was added for a customer that was only looked at
	}
	is.True(!bs.Peek(at, "cafe").Admitted)
	is.True(bs.Peek(time.Minute, customer).Tokens == 0)
}
