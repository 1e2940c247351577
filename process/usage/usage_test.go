package usage_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/process/usage"
)

func ExampleUsage() {
	u := usage.New()
	now := time.Hour
	for range 10 {
		u.Started("bakery", now)
		u.Ended("bakery", false, 30*time.Millisecond, now)
	}
	u.Started("cafe", now)
	fmt.Println(u.Expected("bakery", false), u.Expected("cafe", false), u.Expected("cafe", true))
	fmt.Println(u.Rate("bakery", 0, now) > u.Rate("cafe", 0, now))
	// A second connection is used only while the first one is.
	fmt.Println(u.Rate("bakery", 1, now) < u.Rate("cafe", 0, now))
	// Output:
	// 30ms 30ms 0s
	// true
	// true
}

// A customer that stopped must not keep its connections forever.
func TestOldUsesCountLess(t *testing.T) {
	is := is.New(t)
	u := usage.New()
	for range 100 {
		u.Started("bakery", time.Hour)
	}
	u.Started("cafe", time.Hour+20*time.Minute)
	is.True(u.Rate("bakery", 0, time.Hour+20*time.Minute) < u.Rate("cafe", 0, time.Hour+20*time.Minute))
}

// Names that are used once must not take memory forever.
func TestForgetsCustomers(t *testing.T) {
	is := is.New(t)
	u := usage.New()
	for i := range 2000 {
		now := time.Hour + time.Duration(i)*time.Second
		u.Started(fmt.Sprint(i), now)
	}
	is.Equal(u.Rate("0", 0, time.Hour), 0.0)
}

// The number of connections that a customer needs must not change with each few long or short
// uses, or they are closed and opened again: the rate of uses for which the wait is long rose and
// fell tenfold within seconds.
func TestFewUsesChangeLittle(t *testing.T) {
	is := is.New(t)
	u := usage.New()
	now := time.Hour
	use := func(count int, took time.Duration) {
		for range count {
			now += 100 * time.Millisecond
			u.Started("bakery", now)
			u.Ended("bakery", false, took, now)
		}
	}
	for range 500 {
		use(1, 20*time.Millisecond)
		use(1, 50*time.Millisecond)
	}
	rate := func() float64 { return u.Rate("bakery", float64(60*time.Millisecond)/float64(u.Usual("bakery")), now) }
	before := rate()
	use(10, 20*time.Millisecond)
	short := rate()
	use(20, 50*time.Millisecond)
	long := rate()
	t.Logf("%.3f, then %.3f and %.3f", before, short, long)
	is.True(short > before/1.5)
	is.True(long < before*1.5)
}
