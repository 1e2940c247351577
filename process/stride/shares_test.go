package stride_test

import (
	"fmt"
	"time"

	"github.com/pistachiotray/pistachiotray/process/stride"
)

func ExampleShares() {
	s := stride.New()
	s.Weigh("large", 3)
	s.Weigh("small", 1)
	s.Enter("large", time.Second)
	s.Enter("small", time.Second)
	granted := map[string]int{}
	for range 400 {
		next := "large"
		if s.Pass("small") < s.Pass("large") {
			next = "small"
		}
		s.Charge(next, time.Millisecond)
		granted[next]++
	}
	fmt.Println(granted)
	// A party that was idle gets no credit for that.
	s.Enter("new", time.Second)
	fmt.Println(s.Pass("new") >= s.Pass("large")-float64(time.Millisecond))
	// Output:
	// map[large:300 small:100]
	// true
}
