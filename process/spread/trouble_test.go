package spread_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	troubleFrom = 20 * time.Second
	troubleTo   = 40 * time.Second
	// settle is how long the hosts may take to notice the trouble.
	settle = 5 * time.Second
	// recovery is how long they may take to return to the target.
	recovery = 30 * time.Second
	// rest is how long the simulation goes on after that.
	rest = 10 * time.Second
	// troubled is the target that has the trouble.
	troubled = 3
)

// play runs the simulation with a trouble at one target between troubleFrom and troubleTo, and
// recovery and a further time after that. It returns the target's share of the statements, over
// its share before the trouble: while it lasts, in the second after it, and after recovery.
func play(t *testing.T, tr trouble) (s *simulation, during, first, after float64) {
	t.Helper()
	s = newSimulation(11, 500*time.Millisecond, spreadPolicy)
	s.targets[troubled].trouble = func(at time.Duration) (float64, float64) {
		if at < troubleFrom || at >= troubleTo {
			return 1, 0
		}
		return tr(at)
	}
	s.run(troubleTo + recovery + 20*time.Second)
	share := func(from, to time.Duration) float64 {
		all := 0
		for i := range targets {
			sent, _ := s.count(i, from, to)
			all += sent
		}
		sent, _ := s.count(troubled, from, to)
		return float64(sent) / float64(all)
	}
	before := share(warmUp, troubleFrom)
	during = share(troubleFrom+settle, troubleTo) / before
	first = share(troubleTo, troubleTo+time.Second) / before
	after = share(troubleTo+recovery, troubleTo+recovery+rest) / before
	sent, failed := s.count(troubled, troubleFrom, troubleTo)
	t.Logf("share of the ordinary work: %.3f in trouble, %.3f in the second after it, %.2f after %v; %d of %d statements failed; p99 %v", during, first, after, recovery, failed, sent, s.quantile(0.99))
	for w := troubleTo; w < troubleTo+recovery+rest; w += window {
		if got := share(w, w+window) / before; got > 1.5 {
			t.Errorf("the hosts all returned at once: %.2f of the ordinary work %v after the trouble", got, w-troubleTo)
		}
	}
	return s, during, first, after
}

// A target that serves slowly must get less work than its speed allows, but some.
func TestSlowTargetGetsLessWork(t *testing.T) {
	is := is.New(t)
	_, during, first, after := play(t, func(time.Duration) (float64, float64) { return 5, 0 })
	is.True(during < 0.2) // its speed allows a fifth
	is.True(during > 0)
	is.True(first < 0.5) // the return is gradual
	is.True(after > 0.75)
}

// A target that fails in part must not attract work because it fails quickly.
func TestTargetThatFailsInPartGetsLessWork(t *testing.T) {
	is := is.New(t)
	s, during, first, after := play(t, func(time.Duration) (float64, float64) { return 1, 0.3 })
	is.True(during < 0.25)
	is.True(during > 0)
	is.True(first < 0.5)
	is.True(after > 0.75)
	_, failed := s.count(troubled, troubleFrom+settle, troubleTo)
	all := 0
	for i := range targets {
		sent, _ := s.count(i, troubleFrom+settle, troubleTo)
		all += sent
	}
	is.True(float64(failed)/float64(all) < 0.3/targets/4) // a quarter of what a random choice gets
}

// A target that fails all for 2 s and none for 2 s must not get its work back in each pause.
func TestFlappingTargetGetsLessWork(t *testing.T) {
	is := is.New(t)
	_, during, first, after := play(t, func(at time.Duration) (float64, float64) {
		if at/(2*time.Second)%2 == 0 {
			return 1, 1
		}
		return 1, 0
	})
	is.True(during < 0.25)
	is.True(during > 0)
	is.True(first < 0.5)
	is.True(after > 0.75)
}
