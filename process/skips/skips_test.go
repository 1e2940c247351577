package skips_test

import (
	"fmt"
	"time"

	"github.com/pistachiotray/pistachiotray/process/skips"
)

func Example() {
	s := skips.New()
	for range 8 {
		fmt.Print(s.Unreachable("host", 10*time.Second), " ")
	}
	s.Until("host", 11*time.Second)
	fmt.Println(s.End("host"), s.Unreachable("host", 10*time.Second), s.End("other"))
	// Output: 1s 2s 4s 8s 16s 32s 1m0s 1m0s 11s 1s 0s
}
