package mark_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/request/mark"
)

func ExampleMark_AtLeast() {
	acknowledged := mark.New(3, 120)
	behind := mark.New(3, 119)
	nextTerm := mark.New(4, 121)
	fmt.Println(behind.AtLeast(acknowledged), nextTerm.AtLeast(acknowledged))
	// Output: false true
}

func TestCompare(t *testing.T) {
	cases := map[string]struct {
		a, b mark.Mark
		want int
	}{
		"equal":                      {mark.New(1, 5), mark.New(1, 5), 0},
		"position within a term":     {mark.New(1, 4), mark.New(1, 5), -1},
		"term outranks position":     {mark.New(2, 1), mark.New(1, 9), 1},
		"zero is before every entry": {mark.Mark{}, mark.New(1, 1), -1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.a.Compare(c.b), c.want)
			is.Equal(c.b.Compare(c.a), -c.want)
			is.Equal(c.a.Max(c.b), c.b.Max(c.a))
		})
	}
}
