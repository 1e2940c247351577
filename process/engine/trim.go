package engine

import (
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/pistachiotray/pistachiotray/connection/adapt"
	"github.com/pistachiotray/pistachiotray/process/group"
	"github.com/pistachiotray/pistachiotray/process/sleep"
	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/version/class"
)

const (
	// keyRetention is how long idempotency keys are kept. A key is needed until the
	// deadline of its request, since the outcome can be undetermined until then.
	// class.Validate limits deadlines to a day.
	keyRetention = 7 * 24 * time.Hour
	// trimInterval is the time between two removals of old keys.
	trimInterval = time.Hour
	// trimTimeout is the deadline of the request that removes a group's old keys.
	trimTimeout = time.Minute
)

// trimLoop removes old idempotency keys every trimInterval until the engine stops.
func (e *Engine) trimLoop() {
	sleep.Every(e.stop, trimInterval, func() { e.TrimKeys(e.now().Add(-keyRetention)) })
}

// TrimKeys starts the removal of the idempotency keys created before a time, for the
// groups that this host owns. The removal of each group is queued as long work,
// behind short work. TrimKeys does not wait for it.
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

// trimGroup submits the request that removes a group's old idempotency keys, and
// forgets the request some time after its deadline.
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
