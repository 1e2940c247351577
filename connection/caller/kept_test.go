package caller_test

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/pistachiotray/pistachiotray/connection/caller"
)

// The memory that a session is said to keep must follow what it keeps, in every order of
// changes: it is 0 again once nothing is left but values, and each value counts once.
func TestKeptFollowsChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := caller.New("s", "orders")
		values, prepared := map[string]int{}, map[string]int{}
		const entryBytes = 128
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "bb", "ccc"}).Draw(t, "name")
			length := rapid.IntRange(0, 1000).Draw(t, "length")
			text := strings.Repeat("x", length)
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				c = c.WithValue(name, text)
				values[name] = entryBytes + len(name) + length
			case 1:
				c = c.WithPrepared(name, text, true)
				prepared[name] = entryBytes + len(name) + length
			case 2:
				c = c.WithoutPrepared(name)
				delete(prepared, name)
			}
			want := 0
			for _, m := range []map[string]int{values, prepared} {
				for _, n := range m {
					want += n
				}
			}
			count, size := c.Kept()
			if count != len(values)+len(prepared) || size != want {
				t.Fatalf("%d entries of %d bytes, want %d of %d", count, size, len(values)+len(prepared), want)
			}
		}
	})
}
