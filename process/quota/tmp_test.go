package quota_test

import (
	"testing"
	"time"

	"github.com/pistachiotray/pistachiotray/version/cust"
)

func TestTmp(t *testing.T) {
	for _, x := range []float64{1.1, 1.3, 1.8, 3, 6} {
		for _, r := range []float64{5, 41, 256} {
			c := cust.New("c").WithLimit(r, r)
			f := newFleet(80, 2, c)
			f.runUntil(5 * time.Second)
			end := 45 * time.Second
			f.demand(c.Name, end, func(time.Duration) float64 { return x * c.Rate }, f.anywhere(80))
			f.runUntil(end)
			sum := float64(f.served(c.Name, 10*time.Second, 40*time.Second))
			t.Logf("x %.1f rate %.0f: served %.3f R, refused %.3f, excess %.0f", x, r, sum/(30*r), float64(f.refused["c"])/float64(f.offered["c"]), f.excess(c, 0))
		}
	}
}
