package quota

import (
	"maps"
	"slices"
	"time"
)

const (
	// silentTime is how long a host must not have claimed before it is marked as unheard, while
	// a majority followed this coordinator. A process that restarts or a frozen machine
	// is mostly back by then, and nothing that it got from this coordinator is valid any more.
	silentTime = 5 * time.Second
	// maxMarked is the part of the hosts that may be marked. The shares that marked hosts may hand out
	// to themselves stay within gapPart of the overage. If more are silent, they are probably
	// cut off, and none is marked.
	maxMarked = 0.03
)

// Silent returns a host that should be marked as unheard, so that it doesn't count after a restart
// of all others. It reports false if there is none. Of several hosts it returns each in turn,
// since one may not be marked for another reason.
func (c *Coordinator) Silent(now time.Duration) (host string, ok bool) {
	at := now + c.shift
	if !c.acting(now) || !c.majority || at-c.majoritySince < silentTime || at-c.confirmedAt >= interval {
		return "", false
	}
	var silent []string
	for _, name := range slices.Sorted(maps.Keys(c.listed)) {
		f, follows := c.followers[name]
		if now-c.listed[name] >= silentTime && (!follows || at-f.heardAt >= silentTime) {
			silent = append(silent, name)
		}
	}
	if away := len(silent) + len(c.marked); len(silent) == 0 || float64(away) > maxMarked*float64(len(c.listed)+len(c.marked)) {
		return "", false
	}
	next := slices.IndexFunc(silent, func(name string) bool { return name > c.lastSilent })
	c.lastSilent = silent[max(next, 0)]
	return c.lastSilent, true
}
