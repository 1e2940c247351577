package target

import (
	"context"
	"regexp"
	"strconv"
	"time"
)

var sleepPattern = regexp.MustCompile(`(?i)pg_sleep\(\s*([0-9.]+)\s*\)`)

// sleep waits for the calls of PostgreSQL's pg_sleep in a statement and returns
// the statement with an empty string in place of each. It is not a function of
// the tables' database, because it could not be interrupted there.
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
