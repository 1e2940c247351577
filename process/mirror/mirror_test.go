package mirror_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/process/delta"
	"github.com/pistachiotray/pistachiotray/process/mirror"
	"github.com/pistachiotray/pistachiotray/process/record"
	"github.com/pistachiotray/pistachiotray/process/stamp"
)

const second = time.Second

// newMirror returns a mirror of the table "t" and the list of the calls of its handler:
// the version, and the keys of the rows, with a minus sign for deleted ones.
func newMirror() (*mirror.Mirror, *[]string) {
	m := mirror.New(func() time.Duration { return 100 * second })
	calls := &[]string{}
	m.Handle("t", func(rows []record.Row, at stamp.Stamp, whole bool) {
		text := fmt.Sprint(at.Version, " ", whole)
		for _, r := range rows {
			sign := " "
			if r.Gone {
				sign = " -"
			}
			text += sign + r.Key
		}
		*calls = append(*calls, text)
	})
	return m, calls
}

func row(key string, version uint64) record.Row {
	return record.New(key, nil).WithVersion(version)
}

func gone(key string, version uint64) record.Row {
	return record.Row{Key: key, Version: version, Gone: true}
}

// Whoever tells of a row, an older version must not replace a newer one, and a row
// that was deleted must not come back.
func TestRowsNeverGoBack(t *testing.T) {
	is := is.New(t)
	m, calls := newMirror()
	m.Apply(delta.New("t", []record.Row{row("a", 3), row("b", 5)}, stamp.New(0, 6)).WithWhole(true))
	m.Apply(delta.New("t", []record.Row{gone("a", 7)}, stamp.New(0, 7)))
	m.Apply(delta.New("t", []record.Row{row("a", 3), row("b", 4)}, stamp.New(0, 6)))                 // late news
	m.Apply(delta.New("t", []record.Row{row("a", 3), row("b", 5)}, stamp.New(0, 6)).WithWhole(true)) // a slow host's listing
	is.Equal(*calls, []string{"6 true a b", "7 false -a"})
	is.Equal(m.Stamp("t"), stamp.New(0, 7))
}

// A row that a new listing lacks was deleted. Other hosts learn of it as a change.
func TestListingShowsDeletions(t *testing.T) {
	is := is.New(t)
	m, calls := newMirror()
	m.Apply(delta.New("t", []record.Row{row("a", 3), row("b", 5)}, stamp.New(0, 6)).WithWhole(true))
	m.Apply(delta.New("t", []record.Row{row("b", 5)}, stamp.New(0, 9)).WithWhole(true))
	is.Equal(*calls, []string{"6 true a b", "9 true b"})
	news := m.Next(t.Context(), map[string]stamp.Stamp{"t": stamp.New(0, 6)})
	is.Equal(news, []delta.Delta{{Table: "t", Rows: []record.Row{gone("a", 9)}, Version: 9}})
}

func TestNextWaitsForAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, _ := newMirror()
		m.Apply(delta.New("t", []record.Row{row("a", 3)}, stamp.New(0, 6)).WithWhole(true).WithAge(2 * second))
		ctx, stop := context.WithTimeout(t.Context(), time.Minute)
		defer stop()
		go func() {
			time.Sleep(second)
			m.Apply(delta.New("t", []record.Row{row("b", 8)}, stamp.New(0, 8)))
		}()
		news := m.Next(ctx, map[string]stamp.Stamp{"t": stamp.New(0, 6)})
		is.Equal(news, []delta.Delta{{Table: "t", Rows: []record.Row{row("b", 8)}, Version: 8}})
		is.NoErr(ctx.Err())
		// Without a change, the answer tells how fresh the copy is.
		short, stopShort := context.WithTimeout(t.Context(), second)
		defer stopShort()
		is.Equal(m.Next(short, map[string]stamp.Stamp{"t": stamp.New(0, 8)}), []delta.Delta{{Table: "t", Version: 8}})
	})
}

// A host that knows a table from before deletions that were forgotten gets all of it.
func TestForgottenDeletionsMakeAWholeListing(t *testing.T) {
	is := is.New(t)
	const deletions = 1001
	m, _ := newMirror()
	m.Apply(delta.New("t", []record.Row{row("kept", 1)}, stamp.New(0, 1)).WithWhole(true))
	for i := range uint64(deletions) {
		m.Apply(delta.New("t", []record.Row{gone(fmt.Sprint("k", i), i+2)}, stamp.New(0, i+2)))
	}
	news := m.Next(t.Context(), map[string]stamp.Stamp{"t": stamp.New(0, 5)})
	is.True(news[0].Whole)
	is.Equal(news[0].Rows, []record.Row{row("kept", 1)})
}

func TestUnknownTablesAreIgnored(t *testing.T) {
	is := is.New(t)
	m, calls := newMirror()
	m.Apply(delta.New("other", []record.Row{row("a", 3)}, stamp.New(0, 6)))
	is.Equal(len(*calls), 0)
	is.Equal(m.Stamp("other"), stamp.Stamp{})
}
