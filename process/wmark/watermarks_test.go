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
	w := wmark.New()
	w.Add(mark.New(1, 10), 1*time.Second)
	w.Add(mark.New(1, 20), 2*time.Second)
	// A log that includes 1/20 includes all commits acknowledged before 1.5 s.
	m, covers, ok := w.Covering(1500 * time.Millisecond)
	fmt.Println(m, covers, ok)
	_, _, ok = w.Covering(3 * time.Second)
	fmt.Println(ok)
	// Output:
	// 1/20 2s true
	// false
}

func TestCoveringReturnsTheOldestWatermark(t *testing.T) {
	is := is.New(t)
	w := wmark.New()
	for i := range 1000 {
		w.Add(mark.New(1, uint64(i)), time.Duration(i)*100*time.Millisecond)
	}
	// The oldest watermarks were dropped, and the others are unchanged.
	m, covers, ok := w.Covering(90 * time.Second)
	is.True(ok)
	is.Equal(m, mark.New(1, 900))
	is.Equal(covers, 90*time.Second)
	is.Equal(w.Newest(), 99900*time.Millisecond)
}

func TestLaterWatermarkOfANewTermWins(t *testing.T) {
	is := is.New(t)
	w := wmark.New()
	// The old leader reported an entry that was never acknowledged.
	w.Add(mark.New(1, 50), time.Second)
	w.Add(mark.New(2, 49), 2*time.Second)
	m, _, ok := w.Covering(1500 * time.Millisecond)
	is.True(ok)
	is.Equal(m, mark.New(2, 49))
	w.Add(mark.New(1, 51), 1700*time.Millisecond) // arrives late and is ignored
	is.Equal(w.Newest(), 2*time.Second)
}

func TestEmptyLogIsAWatermark(t *testing.T) {
	is := is.New(t)
	w := wmark.New()
	w.Add(mark.Mark{}, time.Second)
	_, _, ok := w.Covering(time.Second)
	is.True(ok)
}

func TestCloseWatermarksAreMerged(t *testing.T) {
	is := is.New(t)
	w := wmark.New()
	for i := range 100_000 {
		w.Add(mark.New(1, uint64(i)), time.Duration(i)*100*time.Microsecond)
	}
	// Even if a watermark is added every 0.1 ms for ten seconds, the list still
	// covers the last five seconds.
	_, covers, ok := w.Covering(5 * time.Second)
	is.True(ok)
	is.True(covers-5*time.Second < 50*time.Millisecond)
}

func TestFirstBeyondReturnsTheOldestWatermarkBeyondTheMark(t *testing.T) {
	is := is.New(t)
	w := wmark.New()
	_, ok := w.FirstBeyond(mark.Mark{})
	is.True(!ok) // there are no watermarks
	for i := range 5 {
		w.Add(mark.New(1, uint64(10*i)), time.Duration(i+1)*time.Second)
	}
	at, ok := w.FirstBeyond(mark.New(1, 15))
	is.True(ok)
	is.Equal(at, 3*time.Second) // the time of 1/20
	_, ok = w.FirstBeyond(mark.New(1, 40))
	is.True(!ok)
	at, _ = w.FirstBeyond(mark.Mark{})
	is.Equal(at, time.Second) // an empty log ends before every mark of term 1
}
