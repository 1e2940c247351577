package cust_test

import (
	"fmt"

	"github.com/pistachiotray/pistachiotray/version/cust"
)

func ExampleCustomer_WithLimit() {
	unlimited := cust.New("bakery", "key-1")
	limited := unlimited.WithLimit(10, 20)
	fmt.Println(unlimited.Limited(), limited.Limited(), limited.Rate, limited.Burst)
	// Output: false true 10 20
}

func ExampleNameAtTarget() {
	fmt.Println(cust.NameAtTarget("bakery", "host-1"), cust.NameAtTarget("", "host-1"), cust.NameAtTarget(cust.Public, "host-1"))
	// Output: bakery host-1 host-1
}
