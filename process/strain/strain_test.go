package strain_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/process/strain"
)

func ExampleStrain() {
	s := strain.New()
	now := time.Hour
	use := func(n int, took time.Duration) {
		for range n {
			now += 10 * time.Millisecond
			s.Add(now, took)
		}
	}
	use(100, 30*time.Millisecond)
	fmt.Printf("%.1f\n", s.Level())
	use(50, 60*time.Millisecond)
	fmt.Printf("%.1f\n", s.Level())
	use(100, 30*time.Millisecond)
	fmt.Printf("%.1f\n", s.Level())
	// Output:
	// 1.0
	// 2.0
	// 1.0
}

// Ordinary statements that take 11 to 55 ms must not be taken for a strain.
func TestDifferentStatementsAreNoStrain(t *testing.T) {
	is := is.New(t)
	s, r := strain.New(), rand.New(rand.NewPCG(1, 1))
	high := 0
	for i := range 10_000 {
		s.Add(time.Hour+time.Duration(i)*30*time.Millisecond, time.Duration(11+r.IntN(45))*time.Millisecond)
		if s.Level() > 1.5 {
			high++
		}
	}
	is.Equal(high, 0)
}

// What was usual long ago must be forgotten.
func TestUsualTimeIsForgotten(t *testing.T) {
	is := is.New(t)
	s := strain.New()
	for i := range 20_000 {
		took := 10 * time.Millisecond
		if i > 1000 {
			took = 50 * time.Millisecond
		}
		s.Add(time.Hour+time.Duration(i)*50*time.Millisecond, took)
	}
	is.True(s.Level() < 1.1)
}
