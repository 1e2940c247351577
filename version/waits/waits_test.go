package waits_test

import (
	"fmt"
	"time"

	"github.com/pistachiotray/pistachiotray/version/route"
	"github.com/pistachiotray/pistachiotray/version/waits"
)

func Example() {
	w := waits.New(route.New("orders", "g", route.Primary).WithTimes(800*time.Millisecond, 600*time.Millisecond))
	fmt.Println("own connections:", w.ForConnection(false))
	fmt.Println("shared connections:", w.ForConnection(true))
	fmt.Println("no leader expected soon:", w.ForLeader())
	// Output:
	// own connections: 640ms
	// shared connections: 132ms
	// no leader expected soon: 132ms
}
