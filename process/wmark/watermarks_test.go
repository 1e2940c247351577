package wmark_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/process/wmark"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

func ExampleWatermarks_Covering() {
	f := wmark.New()
	f.Add(mark.New(1, 10), 1*time.Second)
	f.Add(mark.New(1, 20), 2*time.Second)
	// A log that holds 1/20 has all commits acknowledged before 1.5 s.
	m, covers, ok := f.Covering(1500 * time.Millisecond)
	fmt.Println(m, covers, ok)
	_, _, ok = f.Covering(3 * time.Second)
	fmt.Println(ok)
	// Output:
	// 1/20 2s true
	// false
}

func TestOldestThatSuffices(t *testing.T) {
	is := is.New(t)
	f := wmark.New()
	for i := range 1000 {
		f.Add(mark.New(1, uint64(i)), time.Duration(i)*100*time.Millisecond)
	}
	// The oldest are forgotten, what is kept is exact.
	m, covers, ok := f.Covering(90 * time.Second)
	is.True(ok)
	is.Equal(m, mark.New(1, 900))
	is.Equal(covers, 90*time.Second)
	is.Equal(f.Newest(), 99900*time.Millisecond)
}

func TestALaterProofReplacesAHigherMark(t *testing.T) {
	is := is.New(t)
	f := wmark.New()
	// The old leader told of an entry that was never acknowledged.
	f.Add(mark.New(1, 50), time.Second)
	f.Add(mark.New(2, 49), 2*time.Second)
	m, _, ok := f.Covering(1500 * time.Millisecond)
	is.True(ok)
	is.Equal(m, mark.New(2, 49))
	f.Add(mark.New(1, 51), 1700*time.Millisecond) // came late
	is.Equal(f.Newest(), 2*time.Second)
}

func TestEmptyLogIsAProof(t *testing.T) {
	is := is.New(t)
	f := wmark.New()
	f.Add(mark.Mark{}, time.Second)
	_, _, ok := f.Covering(time.Second)
	is.True(ok)
}

func TestCloseProofsAreJoined(t *testing.T) {
	is := is.New(t)
	f := wmark.New()
	for i := range 100_000 {
		f.Add(mark.New(1, uint64(i)), time.Duration(i)*100*time.Microsecond)
	}
	// Ten seconds of proofs each 0.1 ms still cover the last five.
	_, covers, ok := f.Covering(5 * time.Second)
	is.True(ok)
	is.True(covers-5*time.Second < 50*time.Millisecond)
}

func TestBeyondIsTheOldestProofThatALogLacks(t *testing.T) {
	is := is.New(t)
	f := wmark.New()
	_, ok := f.FirstBeyond(mark.Mark{})
	is.True(!ok) // nothing is known
	for i := range 5 {
		f.Add(mark.New(1, uint64(10*i)), time.Duration(i+1)*time.Second)
	}
	at, ok := f.FirstBeyond(mark.New(1, 15))
	is.True(ok)
	is.Equal(at, 3*time.Second) // 1/20 was shown then
	_, ok = f.FirstBeyond(mark.New(1, 40))
	is.True(!ok)
	at, _ = f.FirstBeyond(mark.Mark{})
	is.Equal(at, time.Second) // the empty log has no mark of term 1
}
