package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/process/gone"
	"github.com/pistachiotray/pistachiotray/process/member"
	"github.com/pistachiotray/pistachiotray/process/target"
)

func newTarget(id, address string, started int64) target.Target {
	return target.New(id, "g", address, "zone").WithStarted(started)
}

func Example() {
	a, b, c := newTarget("a", "10.0.0.1:1", 1), newTarget("b", "10.0.0.2:1", 1), newTarget("c", "10.0.0.3:1", 1).WithLeaving(true)
	s := member.New("g").WithRegistered([]target.Target{a, b, c}, time.Second)
	s = s.WithRegistered([]target.Target{a}, 2*time.Second)
	fmt.Println(len(s.Members()), s.MissingSince("b"), s.Absent("b"))
	s = s.WithRegistered([]target.Target{a}, 2*time.Second+member.AbsentAfter)
	fmt.Println(len(s.Members()), s.Absent("b"))
	// Output:
	// 3 2s false
	// 2 true
}

func ExampleSet_Gone() {
	a, b := newTarget("a", "10.0.0.1:1", 1), newTarget("b", "10.0.0.2:1", 1).WithLeaving(true)
	s := member.New("g").WithRegistered([]target.Target{a, b}, time.Second)
	s = s.WithRegistered([]target.Target{a}, 2*time.Second)
	s = s.WithRegistered([]target.Target{newTarget("c", "10.0.0.1:1", 2)}, 2*time.Second+member.AbsentAfter)
	for _, m := range s.Gone() {
		fmt.Println(m.Target.ID, m.Why, m.MissingFor())
	}
	// Output:
	// a address taken 0s
	// b not registered 8s
}

func TestFormerMemberIsRecordedUntilItIsBack(t *testing.T) {
	is := is.New(t)
	a, b := newTarget("a", "10.0.0.1:1", 1), newTarget("b", "10.0.0.2:1", 1).WithLeaving(true)
	s := member.New("g").WithRegistered([]target.Target{a, b}, time.Second).WithRegistered([]target.Target{a}, 2*time.Second)
	s = s.WithRegistered([]target.Target{a}, 20*time.Second)
	dropped := s.Gone()
	is.Equal(len(dropped), 1)
	is.Equal(dropped[0].At, 20*time.Second)
	// A host reads it once more from an old row.
	is.Equal(s.WithMember(b, 2*time.Second).WithRegistered([]target.Target{a}, 30*time.Second).Gone(), dropped)
	is.Equal(len(s.WithRegistered([]target.Target{a, b}, 30*time.Second).Gone()), 0)
	restarted := s.WithRegistered([]target.Target{a.WithStarted(2)}, 30*time.Second).Gone()
	is.Equal(restarted[0].Why, gone.Restarted)
	is.Equal(restarted[0].Target, a)
	is.Equal(len(s.WithRegistered([]target.Target{a}, time.Hour).Gone()), 0)
}

// A member that restarted has two registrations until the earlier one expires.
func TestRestartedMemberCountsOnce(t *testing.T) {
	is := is.New(t)
	a, b, again := newTarget("a", "10.0.0.1:1", 1), newTarget("b", "10.0.0.2:1", 1), newTarget("c", "10.0.0.2:1", 2)
	s := member.New("g").WithRegistered([]target.Target{a, b}, time.Second)
	is.Equal(s.WithRegistered([]target.Target{a, b, again}, time.Second).Members(), []target.Target{a, again})
	is.Equal(s.WithRegistered([]target.Target{a, again}, time.Second).Members(), []target.Target{a, again})
	is.True(s.Differs(s.WithRegistered([]target.Target{a, again}, time.Second)))
}

// A target whose machine's clock went back before it restarted must count.
func TestRegisteredMemberCountsWhateverItsClock(t *testing.T) {
	is := is.New(t)
	before, again := newTarget("a", "10.0.0.1:1", 9), newTarget("b", "10.0.0.1:1", 5)
	s := member.New("g").WithRegistered([]target.Target{before}, time.Second).WithRegistered([]target.Target{again}, 2*time.Second)
	is.Equal(s.Members(), []target.Target{again})
}
