package turns_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/pistachiotray/pistachiotray/process/turns"
)

// An operator who asks what would happen to a call must be told what happens to it, and asking
// must not change what happens to others.
func TestExceedsTellsWhatArrivedDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		asked, left := turns.New[*job](), turns.New[*job]()
		for _, w := range []*turns.Turns[*job]{asked, left} {
			w.SetWeights(map[string]int{"bakery": 1, "cafe": 2})
		}
		now := time.Hour
		for range rapid.IntRange(1, 300).Draw(t, "calls") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond
			customer := rapid.SampledFrom([]string{"bakery", "cafe", "unknown"}).Draw(t, "customer")
			expected := time.Duration(rapid.IntRange(1, 2000).Draw(t, "expected")) * time.Millisecond
			told := asked.Exceeds(now, customer, expected)
			is.Equal(told, asked.Exceeds(now, customer, expected))
			is.Equal(told, asked.Arrived(now, customer, expected))
			is.Equal(told, left.Arrived(now, customer, expected))
		}
	})
}
