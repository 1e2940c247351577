package engine

import (
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/pistachiotray/pistachiotray/connection/adapt"
	"github.com/pistachiotray/pistachiotray/process/group"
	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/version/class"
)

const (
	// keyRetention is how long idempotency keys are kept. The outcome behind a key
	// can be undetermined only until the deadline of its request, which
	// class.Validate limits to a day.
	keyRetention = 7 * 24 * time.Hour
	// trimInterval is the time between two removals of old keys.
	trimInterval = time.Hour
	// trimTimeout is the longest time that a removal may take.
	trimTimeout = time.Minute
)

// trimLoop removes old keys periodically.
func (e *Engine) trimLoop() {
	t := time.NewTicker(trimInterval)
	defer t.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-t.C:
			e.TrimKeys(e.now().Add(-keyRetention))
		}
	}
}

// TrimKeys removes the idempotency keys created before a time, for the groups
// that this host owns. The removal waits for a slot like other long work, behind
// short work.
func (e *Engine) TrimKeys(before time.Time) {
	var names []string
	e.Inspect(func(g *group.Group) {
		if g.Active() {
			names = append(names, g.Name())
		}
	})
	for _, name := range names {
		e.trimGroup(name, before)
	}
}

func (e *Engine) trimGroup(name string, before time.Time) {
	body, err := (&pgproto3.Query{String: adapt.New().TrimMarkerSQL(before.Unix())}).Encode(nil)
	if err != nil {
		return
	}
	now := e.now()
	k := class.Defaults().WithName("pistachiotray", "Trim").WithRepeatable(true).WithLong(true).WithDeadline(trimTimeout)
	id := fmt.Sprintf("trim/%s/%s/%d", e.host, name, now.UnixNano())
	c := call.New(id, id, name, k).WithBody(body).WithTimes(now, now.Add(trimTimeout)).WithEnds(true)
	e.Submit(c)
	time.AfterFunc(2*trimTimeout, func() { e.Forget(id) })
}
