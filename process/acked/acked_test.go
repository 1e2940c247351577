package acked_test

import (
	"fmt"

	"github.com/pistachiotray/pistachiotray/process/acked"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

func Example() {
	sent := acked.New().WithReported(mark.New(3, 40))
	// Another session's commit was reported meanwhile, and may not be acknowledged yet.
	a := sent.WithReported(mark.New(3, 42)).WithCommit(sent, mark.New(3, 42))
	fmt.Println(a.Newest, a.Floor, a.Ceiling)
	fmt.Println(mark.New(3, 41).AtLeast(a.Floor), mark.New(3, 40).AtLeast(a.Floor), mark.New(4, 1).AtLeast(a.Floor))
	// Output:
	// 3/42 3/41 3/42
	// true false true
}
