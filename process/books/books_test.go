package books_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/process/books"
	"github.com/pistachiotray/pistachiotray/process/claim"
	"github.com/pistachiotray/pistachiotray/process/share"
)

func example() books.Books {
	s := share.New("bakery").WithDemand(7.5, 2).WithBucket(1.5, 8, 2.25).WithLeft(1200)
	c := claim.New("host-1", 9, 4).WithEcho(5, 3*time.Second, 480*time.Millisecond).WithKnown(80).WithShares(s)
	return books.New(5, 4*time.Second).WithClaims(c, claim.New("host-2", 3, 1)).WithFree(share.New("bakery").WithBucket(0, 0, 12.5))
}

// The accounts must reach the next coordinator unchanged, or tokens would be handed out twice.
func TestEncoding(t *testing.T) {
	is := is.New(t)
	encoded, err := example().Append([]byte("before"))
	is.NoErr(err)
	got, rest, err := books.Parse(append(encoded[len("before"):], "behind"...))
	is.NoErr(err)
	is.Equal(got, example())
	is.Equal(string(rest), "behind")
	is.Equal(got.WithAge(time.Second).At, 5*time.Second)
}

// Accounts that were cut short must be refused, not taken for fewer followers.
func TestCutShort(t *testing.T) {
	encoded, err := example().Append(nil)
	is.New(t).NoErr(err)
	for n := range encoded {
		if _, _, err := books.Parse(encoded[:n]); err == nil {
			t.Errorf("%d of %d bytes were taken", n, len(encoded))
		}
	}
}

// A malformed message of another host must not end the process.
func FuzzParse(f *testing.F) {
	encoded, err := example().Append(nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, b []byte) {
		got, _, err := books.Parse(b)
		if err != nil {
			return
		}
		if _, err := got.Append(nil); err != nil {
			t.Error(err)
		}
	})
}
