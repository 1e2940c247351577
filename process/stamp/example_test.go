package stamp_test

import (
	"fmt"

	"github.com/pistachiotray/pistachiotray/process/stamp"
)

func Example() {
	before, restored := stamp.New(1, 90), stamp.New(2, 40)
	fmt.Println(before.Compare(restored), restored.Compare(before), restored.Compare(stamp.New(2, 40)))
	// Output: -1 1 0
}
