package heard_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/process/acked"
	"github.com/pistachiotray/pistachiotray/process/heard"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

func ExampleHeard() {
	h := heard.New(acked.New(), 3, 1)
	fmt.Println(h.Most(), h.All())
	h = h.WithAnswer(mark.New(1, 5), mark.New(1, 7), true)
	fmt.Println(h.Most(), h.All(), h.Known.Ceiling)
	h = h.WithAnswer(mark.New(1, 4), mark.New(1, 6), true)
	fmt.Println(h.Most(), h.All(), h.Known.Ceiling)
	h = h.WithAnswer(mark.Mark{}, mark.Mark{}, true).WithAnswer(mark.Mark{}, mark.Mark{}, false)
	fmt.Println(h.Most(), h.All())
	// Output:
	// false false
	// true false 1/7
	// true false 1/7
	// true true
}

// Answers of former hosts do not make up for those of hosts that connect to the group.
func TestFormerHostsAreNoMajority(t *testing.T) {
	is := is.New(t)
	h := heard.New(acked.New(), 2, 2).WithAnswer(mark.Mark{}, mark.Mark{}, false).WithAnswer(mark.Mark{}, mark.Mark{}, false)
	is.True(!h.Most())
	is.True(heard.New(acked.New(), 0, 1).Most())
}
