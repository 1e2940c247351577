package copies_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/process/copies"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

func Example() {
	c := copies.New()
	done, stop := c.Add("a", mark.New(3, 7))
	defer stop()
	fmt.Println(c.Received("b", mark.New(3, 6)), c.Received("b", mark.New(3, 7)), <-done)
	// Output:
	// false true <nil>
}

func TestLeaderIsNoCopy(t *testing.T) {
	is := is.New(t)
	c := copies.New()
	done, stop := c.Add("a", mark.New(3, 7))
	is.True(!c.Received("a", mark.New(3, 9)))
	is.Equal(len(done), 0)
	is.True(!c.Ask("a"))
	stop()
	is.True(!c.Received("b", mark.New(3, 9)))
}

func TestPositionThatIsKnownIsNotAskedFor(t *testing.T) {
	is := is.New(t)
	c := copies.New()
	c.Received("b", mark.New(3, 9))
	done, _ := c.Add("a", mark.New(3, 7))
	is.NoErr(<-done)
	is.True(!c.Ask("b"))
	c.Forget("b")
	done, _ = c.Add("a", mark.New(3, 7))
	is.Equal(len(done), 0)
	is.True(c.Ask("b"))
}

func TestEntriesOfALaterTermAreNoCopy(t *testing.T) {
	is := is.New(t)
	c := copies.New()
	done, _ := c.Add("a", mark.New(3, 7))
	is.True(c.Received("b", mark.New(4, 8)))
	is.True(errors.Is(<-done, copies.ErrReplaced))
}

func TestTargetIsAskedByOneAtATime(t *testing.T) {
	is := is.New(t)
	c := copies.New()
	_, stop := c.Add("a", mark.New(3, 7))
	is.True(c.Ask("b"))
	is.True(!c.Ask("b"))
	is.True(c.AskAgain("b"))
	stop()
	is.True(!c.AskAgain("b"))
	_, stop = c.Add("a", mark.New(3, 8))
	defer stop()
	is.True(c.Ask("b"))
}
