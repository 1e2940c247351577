package target

import (
	"context"
	"regexp"
	"strconv"
	"time"
)

var sleepPattern = regexp.MustCompile(`(?i)pg_sleep\(\s*([0-9.]+)\s*\)`)

// sleep waits as long as the pg_sleep calls in a statement ask for, and returns the
// statement with an empty string literal in place of each call. pg_sleep is not
// defined as a function in SQLite, because it could not be interrupted there.
func sleep(ctx context.Context, text string) (string, error) {
	for _, m := range sleepPattern.FindAllStringSubmatch(text, -1) {
		seconds, err := strconv.ParseFloat(m[1], 64)
		if err != nil {
			return text, &sqlError{"22023", "bad argument of pg_sleep"}
		}
		timer := time.NewTimer(time.Duration(seconds * float64(time.Second)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return text, ctx.Err()
		}
	}
	return sleepPattern.ReplaceAllString(text, "''"), nil
}
