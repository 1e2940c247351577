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
	// keysKept is how long idempotency keys are kept. A key can be in doubt only
	// until its request's deadline, and class.Validate bounds that to a day.
	keysKept = 7 * 24 * time.Hour
	// trimEvery is the time between two removals of old keys.
	trimEvery = time.Hour
	// trimTime is how long a removal may take.
	trimTime = time.Minute
)

// trimLoop removes old keys of the groups that this host owns.
func (e *Engine) trimLoop() {
	t := time.NewTicker(trimEvery)
	defer t.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-t.C:
			e.TrimKeys(e.now().Add(-keysKept))
		}
	}
}

// TrimKeys removes the keys made before a time at the groups that this host owns.
// It waits for a slot as other work does, behind short work.
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
	k := class.Defaults().WithName("pistachiotray", "Trim").WithRepeatable(true).WithLong(true).WithDeadline(trimTime)
	id := fmt.Sprintf("trim/%s/%s/%d", e.host, name, now.UnixNano())
	c := call.New(id, id, name, k).WithBody(body).WithTimes(now, now.Add(trimTime)).WithEnds(true)
	e.Submit(c)
	time.AfterFunc(2*trimTime, func() { e.Forget(id) })
}
