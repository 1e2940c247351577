package sleep_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/process/sleep"
)

// A wait ends with the first of its time, its event and its context, and reports only the end of
// the context.
func TestUntil(t *testing.T) {
	cases := map[string]struct {
		event, end, took time.Duration
		want             bool
	}{
		"time":    {event: time.Hour, end: time.Hour, took: time.Minute, want: true},
		"event":   {event: time.Second, end: time.Hour, took: time.Second, want: true},
		"context": {event: time.Hour, end: time.Second, took: time.Second, want: false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, stop := context.WithTimeout(t.Context(), c.end)
				defer stop()
				event := make(chan struct{})
				timer := time.AfterFunc(c.event, func() { close(event) })
				defer timer.Stop()
				began := time.Now()
				is.Equal(sleep.Until(ctx, event, time.Minute), c.want)
				is.Equal(time.Since(began), c.took)
			})
		})
	}
}

// Work must run once per interval, also after a slow run, and not after the end.
func TestEvery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		done := make(chan struct{})
		began := time.Now()
		var at []time.Duration
		sleep.Every(done, time.Second, func() {
			at = append(at, time.Since(began))
			switch len(at) {
			case 2:
				time.Sleep(1500 * time.Millisecond)
			case 4:
				close(done)
			}
		})
		is.Equal(at, []time.Duration{time.Second, 2 * time.Second, 3500 * time.Millisecond, 4 * time.Second})
	})
}
