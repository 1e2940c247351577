package intake_test

import (
	"bytes"
	"testing"
	"testing/iotest"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/pistachiotray/pistachiotray/connection/intake"
)

var errNoMemory = errors.New("no memory")

// limited pays up to a limit.
type limited struct {
	limit, held, unfinished, waits int
}

func (l *limited) Begin()       { l.unfinished++ }
func (l *limited) Finish()      { l.unfinished-- }
func (l *limited) Progress()    { l.waits++ }
func (l *limited) Return(n int) { l.held -= n }

func (l *limited) Draw(n int) error {
	if l.held+n > l.limit {
		return errNoMemory
	}
	l.held += n
	return nil
}

func (l *limited) DrawSlab(n int) ([]byte, error) {
	return make([]byte, n), l.Draw(n)
}

func (l *limited) ReturnSlab(slab []byte) { l.Return(len(slab)) }

// Bytes that arrive one at a time are appended as they were sent, behind what was there before.
// What is drawn for them is the memory that was added, Drawn returns it exactly, also after an
// error, and an error leaves the bytes that were there before.
func TestAppend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "before")
		sent := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "sent")
		n := rapid.IntRange(0, 310).Draw(t, "n")
		a := &limited{limit: rapid.IntRange(0, 400).Draw(t, "limit")}
		in := intake.New(a)
		p, err := in.Append(bytes.Clone(before), iotest.DataErrReader(iotest.OneByteReader(bytes.NewReader(sent))), n, 8)
		drawn := in.Drawn()
		if drawn != a.held || drawn > n || in.Drawn() != 0 {
			t.Fatalf("%d bytes are held for a message of %d, but Drawn returned %d", a.held, n, drawn)
		}
		if err != nil {
			if !bytes.Equal(p, before) {
				t.Fatalf("an error left %v of %v", p, before)
			}
			if !errors.Is(err, errNoMemory) && n <= len(sent) {
				t.Fatal(err)
			}
			return
		}
		if a.waits < n || n > len(sent) || !bytes.Equal(p, append(before, sent[:n]...)) {
			t.Fatalf("%d bytes behind %v were read as %v", n, before, p)
		}
	})
}

// A length that was only announced must not draw memory for all of it.
func TestAnnouncedLengthDrawsNothing(t *testing.T) {
	is := is.New(t)
	a := &limited{limit: 1 << 30}
	in := intake.New(a)
	_, err := in.Append(nil, bytes.NewReader([]byte("few")), 1<<29, 4096)
	is.True(err != nil)
	is.Equal(a.held, 4096)
}

// Slabs that stay drawn after a message was given up would use up the budget.
func TestMessageGivenUpReturnsItsSlabs(t *testing.T) {
	is := is.New(t)
	a := &limited{limit: 1 << 20}
	in := intake.New(a)
	in.Begin()
	is.NoErr(in.Collect(make([]byte, 300<<10), 8<<10))
	is.True(a.held >= 300<<10)
	in.Finish()
	is.Equal(a.held, 0)
	is.Equal(in.Drawn(), 0)
}

// Bytes that are collected in pieces of any size must be the text that was sent, whose memory is
// drawn exactly.
func TestCollect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &limited{limit: 1 << 20}
		in := intake.New(a)
		for range 2 {
			in.Begin()
			var sent []byte
			for range rapid.IntRange(0, 20).Draw(t, "pieces") {
				piece := rapid.SliceOfN(rapid.Byte(), 0, 100).Draw(t, "piece")
				sent = append(sent, piece...)
				if err := in.Collect(piece, 8); err != nil {
					t.Fatal(err)
				}
			}
			text, err := in.Text()
			in.Finish()
			if err != nil || text != string(sent) {
				t.Fatalf("%q was collected as %q: %v", sent, text, err)
			}
			if drawn := in.Drawn(); drawn != len(sent) || a.held != drawn {
				t.Fatalf("%d bytes are held for a message of %d, but Drawn returned %d", a.held, len(sent), drawn)
			}
			a.Return(len(sent))
		}
	})
}

// A reader without an account has no limits, and still counts.
func TestNoAccount(t *testing.T) {
	is := is.New(t)
	var in intake.Intake
	in.Begin()
	in.Progress()
	is.NoErr(in.Draw(10))
	in.Return(4)
	in.Finish()
	is.True(!in.HasAccount())
	is.Equal(in.Drawn(), 6)
}
