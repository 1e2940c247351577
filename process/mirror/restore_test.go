package mirror_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/process/delta"
	"github.com/pistachiotray/pistachiotray/process/mirror"
	"github.com/pistachiotray/pistachiotray/process/record"
	"github.com/pistachiotray/pistachiotray/process/stamp"
)

const (
	grace = 3 * second
	// outage is the age of the copy from which on the store counts as away.
	outage = 2500 * time.Millisecond
)

// restorable is a mirror of the table "t" on a clock of its own.
type restorable struct {
	*mirror.Mirror
	now time.Duration
	// rows is the content as the handler knows it: the values by key.
	rows map[string]string
}

func newRestorable() *restorable {
	m := &restorable{now: 100 * second, rows: map[string]string{}}
	m.Mirror = mirror.New(func() time.Duration { return m.now })
	m.Handle("t", func(rows []record.Row, _ stamp.Stamp, whole bool) {
		if whole {
			clear(m.rows)
		}
		for _, r := range rows {
			if r.Gone {
				delete(m.rows, r.Key)
			} else {
				m.rows[r.Key] = string(r.Value)
			}
		}
	})
	m.Keep("t", outage, grace, func(stored, known []byte) bool { return string(stored) < string(known) })
	return m
}

// list applies a listing of rows, given as key, value and version.
func (m *restorable) list(at stamp.Stamp, rows ...record.Row) {
	m.Apply(delta.New("t", rows, at).WithWhole(true))
}

// changes applies changed rows.
func (m *restorable) changes(at stamp.Stamp, rows ...record.Row) {
	m.Apply(delta.New("t", rows, at))
}

// pass lets some time pass, in which the store has no changes.
func (m *restorable) pass(d time.Duration) {
	for end := m.now + d; m.now < end; {
		m.now += second
		m.changes(m.Stamp("t"))
	}
}

func valued(key, value string, at stamp.Stamp) record.Row {
	return record.New(key, []byte(value)).WithVersion(at.Version).WithEra(at.Era)
}

func TestListingOfARestoredStoreIsTaken(t *testing.T) {
	is := is.New(t)
	m := newRestorable()
	m.list(stamp.New(1, 28), valued("a", "1", stamp.New(1, 20)))
	m.list(stamp.New(2, 27), valued("a", "1", stamp.New(2, 20)), valued("b", "1", stamp.New(2, 27)))
	is.Equal(m.Stamp("t"), stamp.New(2, 27))
	is.Equal(m.rows, map[string]string{"a": "1", "b": "1"})
	m.changes(stamp.New(2, 28), valued("a", "2", stamp.New(2, 28))) // a version that was given out before
	is.Equal(m.rows["a"], "2")
}

func TestRowsOfTheEraBeforeAreIgnored(t *testing.T) {
	is := is.New(t)
	m := newRestorable()
	m.list(stamp.New(2, 27), valued("a", "5", stamp.New(2, 20)))
	m.list(stamp.New(1, 90), valued("a", "6", stamp.New(1, 90)))
	m.changes(stamp.New(1, 91), valued("b", "6", stamp.New(1, 91)))
	m.changes(stamp.New(3, 30), valued("b", "6", stamp.New(3, 30))) // changes only, of an era that was not listed
	is.Equal(m.Stamp("t"), stamp.New(2, 27))
	is.Equal(m.rows, map[string]string{"a": "5"})
}

func TestOlderValuesOfARestoredStoreAreNotTaken(t *testing.T) {
	is := is.New(t)
	m := newRestorable()
	m.list(stamp.New(1, 28), valued("a", "7", stamp.New(1, 25)))
	m.list(stamp.New(2, 20), valued("a", "5", stamp.New(2, 12)))
	is.Equal(m.rows, map[string]string{"a": "7"})
	m.changes(stamp.New(2, 21), valued("a", "6", stamp.New(2, 21))) // written in the new era
	is.Equal(m.rows, map[string]string{"a": "6"})
}

func TestRowsThatARestoredStoreLacksAreKeptForAWhile(t *testing.T) {
	is := is.New(t)
	m := newRestorable()
	m.list(stamp.New(1, 28), valued("back", "1", stamp.New(1, 25)), valued("lost", "1", stamp.New(1, 26)))
	m.list(stamp.New(2, 20))
	is.Equal(len(m.rows), 2)
	m.now += second
	m.changes(stamp.New(2, 21), valued("back", "1", stamp.New(2, 21)))
	is.Equal(len(m.rows), 2)
	m.pass(grace)
	is.Equal(m.rows, map[string]string{"back": "1"})
}

func TestRowsThatExpireWhileTheStoreIsAwayAreKeptForAWhile(t *testing.T) {
	is := is.New(t)
	m := newRestorable()
	both := []record.Row{valued("back", "1", stamp.New(1, 25)), valued("gone", "1", stamp.New(1, 26))}
	m.list(stamp.New(1, 28), both...)
	m.now += 8 * second
	m.changes(stamp.New(1, 30), gone("back", 29), gone("gone", 30))
	is.Equal(len(m.rows), 2)
	m.now += second / 2
	m.list(stamp.New(1, 30))
	is.Equal(len(m.rows), 2)
	m.changes(stamp.New(1, 31), valued("back", "1", stamp.New(1, 31)))
	m.pass(grace)
	is.Equal(m.rows, map[string]string{"back": "1"})
	// While the store answers, a deletion counts at once.
	m.changes(stamp.New(1, 32), gone("back", 32))
	is.Equal(len(m.rows), 0)
}

func TestOlderValueOfARestoredStoreIsNotTakenForAHeldRow(t *testing.T) {
	is := is.New(t)
	m := newRestorable()
	m.list(stamp.New(1, 28), valued("a", "7", stamp.New(1, 25)))
	m.now += 2 * outage
	m.changes(stamp.New(1, 29), gone("a", 29))
	m.list(stamp.New(2, 20), valued("a", "5", stamp.New(2, 12)))
	is.Equal(m.rows, map[string]string{"a": "7"})
}

// The copy of a host that follows others is some seconds old at each answer.
func TestDeletionsCountAtOnceWhileTheStoreAnswers(t *testing.T) {
	is := is.New(t)
	m := newRestorable()
	m.list(stamp.New(1, 28), valued("a", "1", stamp.New(1, 25)), valued("b", "1", stamp.New(1, 26)))
	for range 5 {
		m.now += outage
		m.changes(stamp.New(1, 28))
	}
	m.now += outage
	m.changes(stamp.New(1, 29), gone("a", 29))
	is.Equal(m.rows, map[string]string{"b": "1"})
}

// A host that reads the store only once its copy is old, since its upstream hosts can't,
// must not hold a row again and again.
func TestHeldRowsAreGivenUpAlthoughTheCopyStaysOld(t *testing.T) {
	is := is.New(t)
	m := newRestorable()
	m.list(stamp.New(1, 28), valued("a", "1", stamp.New(1, 25)))
	m.now += 2 * outage
	m.changes(stamp.New(1, 29), gone("a", 29))
	is.Equal(len(m.rows), 1)
	m.now += 2 * outage
	m.changes(stamp.New(1, 30))
	is.Equal(len(m.rows), 0)
}

// A host that follows another one has to give up the same rows, also those that the
// other host never knew.
func TestFollowersGiveUpWhatARestoredStoreLacks(t *testing.T) {
	is := is.New(t)
	upstream, follower := newRestorable(), newRestorable()
	pass := func() {
		known := follower.Stamps()
		for _, d := range upstream.Next(t.Context(), known) {
			follower.Apply(d)
		}
	}
	upstream.list(stamp.New(1, 28), valued("a", "1", stamp.New(1, 25)), valued("b", "1", stamp.New(1, 26)))
	follower.list(stamp.New(1, 30), valued("a", "1", stamp.New(1, 25)), valued("own", "1", stamp.New(1, 30)))
	upstream.list(stamp.New(2, 20))
	pass()
	is.Equal(follower.rows, map[string]string{"a": "1", "own": "1"})
	upstream.pass(grace)
	follower.pass(grace)
	upstream.changes(stamp.New(2, 21), valued("a", "1", stamp.New(2, 21)))
	pass()
	is.Equal(follower.rows, map[string]string{"a": "1"})
	is.Equal(upstream.rows, map[string]string{"a": "1"})
}

// A host must not wait for its upstream host to leave an era that it has left itself,
// and gets everything from one that is ahead.
func TestNextAcrossEras(t *testing.T) {
	is := is.New(t)
	m := newRestorable()
	m.list(stamp.New(2, 20), valued("a", "1", stamp.New(2, 12)))
	news := m.Next(t.Context(), map[string]stamp.Stamp{"t": stamp.New(1, 90)})
	is.True(news[0].Whole)
	is.Equal(news[0].Stamp(), stamp.New(2, 20))
	is.Equal(len(news[0].Rows), 1)
}

func ExampleMirror_Metrics() {
	now := 100 * second
	m := mirror.New(func() time.Duration { return now })
	m.Handle("t", func([]record.Row, stamp.Stamp, bool) {})
	m.Keep("t", outage, grace, func(_, _ []byte) bool { return false })
	m.Apply(delta.New("t", []record.Row{valued("a", "1", stamp.New(1, 7))}, stamp.New(1, 9)).WithWhole(true))
	now += 8 * second
	m.Apply(delta.New("t", nil, stamp.New(2, 5)).WithWhole(true).WithAge(second / 5))
	fmt.Printf("%+v\n", m.Metrics())
	// Output: map[t:{Era:2 Version:5 AgeMs:200 Held:1}]
}

func ExampleMirror_SinceRestore() {
	now := 100 * second
	m := mirror.New(func() time.Duration { return now })
	m.Handle("t", func([]record.Row, stamp.Stamp, bool) {})
	for _, era := range []uint64{1, 2, 2} {
		now += second
		m.Apply(delta.New("t", nil, stamp.New(era, 9)).WithWhole(true))
		era, ago := m.SinceRestore()
		fmt.Println(era, ago < time.Hour, ago%time.Hour)
	}
	// Output:
	// 1 false 47m16.854775807s
	// 2 true 0s
	// 2 true 1s
}
