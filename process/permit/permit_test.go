package permit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/process/permit"
)

func ExamplePermit() {
	p := permit.New(3 * time.Second)
	fmt.Println(p.Left(60*time.Second, 0))
	fmt.Println(p.Left(60*time.Second, 58*time.Second))
	p = p.WithConfirmed(59 * time.Second)
	fmt.Println(p.Left(60*time.Second, 58*time.Second))
	fmt.Println(p.Left(63*time.Second, 58*time.Second))
	// Output:
	// 0s
	// 1s
	// 2s
	// -1s
}

func TestZeroPermitNeverLapses(t *testing.T) {
	is := is.New(t)
	var p permit.Permit
	is.True(p.Left(1000*time.Hour, 0) > 0)
	is.True(!p.RenewalDue(0))
}

func TestOlderConfirmationDoesNotCount(t *testing.T) {
	is := is.New(t)
	p := permit.New(time.Second).WithConfirmed(5 * time.Second).WithConfirmed(4 * time.Second)
	is.Equal(p.Left(5*time.Second, 0), time.Second)
	is.True(p.RenewalDue(p.Left(5900*time.Millisecond, 0)))
	is.Equal(p.WithoutConfirmation().Left(5*time.Second, 0), time.Duration(0))
}

// Half of the hosts are no majority.
func TestMajority(t *testing.T) {
	is := is.New(t)
	for hosts := 1; hosts < 10; hosts++ {
		for n := range hosts + 1 {
			is.Equal(permit.Majority(n, hosts), n > hosts/2)
		}
	}
	is.True(permit.Majority(1, 1))
	is.True(!permit.Majority(3, 6))
}
