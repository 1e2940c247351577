package token_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/connection/token"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

func ExampleParse() {
	keys := map[string][]byte{"2026-12": []byte("secret")}
	text, _ := token.New("s1", "clerk", "orders").WithFloor(mark.New(3, 120)).Sign("2026-12", keys["2026-12"])
	t, err := token.Parse(text, keys)
	fmt.Println(t.Session, t.Floor, err)
	// Output: s1 3/120 <nil>
}

func TestOnlyKnownKeysAreAccepted(t *testing.T) {
	is := is.New(t)
	old, fresh := []byte("old"), []byte("new")
	text, err := token.New("s", "u", "g").Sign("a", old)
	is.NoErr(err)
	cases := map[string]struct {
		text string
		keys map[string][]byte
		ok   bool
	}{
		"signed with the only key":            {text, map[string][]byte{"a": old}, true},
		"signed before the keys were rotated": {text, map[string][]byte{"b": fresh, "a": old}, true},
		"key removed":                         {text, map[string][]byte{"b": fresh}, false},
		"forged with another key":             {text, map[string][]byte{"a": fresh}, false},
		"changed":                             {strings.Replace(text, ".", ".x", 1), map[string][]byte{"a": old}, false},
		"cut off":                             {text[:len(text)/2], map[string][]byte{"a": old}, false},
		"unsigned":                            {"eyJhbGciOiJub25lIiwidHlwIjoiSldUIn0.e30.", map[string][]byte{"a": old}, false},
		"no token":                            {"garbage", map[string][]byte{"a": old}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := token.Parse(c.text, c.keys)
			is.Equal(err == nil, c.ok)
			is.True(c.ok || errors.Is(err, code.BadToken))
		})
	}
}

func FuzzParse(f *testing.F) {
	keys := map[string][]byte{"a": []byte("k")}
	valid, _ := token.New("s", "u", "g").Sign("a", keys["a"])
	f.Add(valid)
	f.Add("a.b.c")
	f.Fuzz(func(t *testing.T, text string) {
		got, err := token.Parse(text, keys)
		if err == nil && got.Session != "s" {
			t.Fatalf("accepted a forged token %q", text)
		}
	})
}
