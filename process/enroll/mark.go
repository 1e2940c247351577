package enroll

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/record"
	"github.com/pistachiotray/pistachiotray/process/skips"
)

// errRestored is returned when the store was restored from a copy between the reading and
// the writing of a row.
var errRestored = errors.New("the store was restored from a copy since the row was read")

// MarkUnheard marks another host as unheard in its row, on the condition that the row is
// unchanged since it was read. It returns nil without a write if there is nothing to mark: the
// host is unknown, leaving, this host, marked already, or removed a mark recently. It uses the
// row as last read, so that a mark takes a single call to the store.
func (rg *Registry) MarkUnheard(ctx context.Context, host string) error {
	rg.mu.Lock()
	r, ok := rg.rows[host]
	waits := time.Since(rg.started) < rg.returned.End(host)
	rg.mu.Unlock()
	if !ok || waits {
		return nil
	}
	var e registration
	if err := decode(r.Value, &e); err != nil {
		return err
	}
	if e.Leaving || e.Unheard {
		return nil
	}
	e.Unheard = true
	value, err := encode(e)
	if err != nil {
		return err
	}
	at, err := rg.store.CompareAndSwap(ctx, Table, record.New(host, value).WithVersion(r.Version))
	if err != nil {
		return errors.Wrap(err, "mark host registration")
	}
	if at.Era != r.Era {
		// A restored store gives versions out again, so the condition may have held for
		// another row. A host whose row was overwritten writes it again.
		return errors.Wrap(errRestored, "mark host registration")
	}
	rg.log.Info("host marked as unheard", zap.String("Peer", host), zap.Uint64("Version", at.Version))
	rg.mu.Lock()
	defer rg.mu.Unlock()
	if known, ok := rg.rows[host]; ok && known.Stamp().Compare(at) < 0 {
		rg.rows[host] = record.New(host, value).WithVersion(at.Version).WithEra(at.Era)
	}
	return nil
}

// forgetUnlisted removes the rows of other hosts that a full listing lacks; the caller holds the
// lock.
func (rg *Registry) forgetUnlisted(listing []record.Row) {
	listed := make(map[string]record.Row, len(listing))
	for _, r := range listing {
		if before, ok := rg.rows[r.Key]; ok {
			listed[r.Key] = before
		}
	}
	rg.rows = listed
}

// noteRow records the row of another host, and whether that host removed a mark since the last
// row; the caller holds the lock. A host that reaches the store but not the coordinator would
// otherwise be marked each second and write its row each time. So the time for which it is not
// marked again doubles each time, unless the last time was long ago.
func (rg *Registry) noteRow(r record.Row, unheard bool) {
	before, known := rg.rows[r.Key]
	rg.rows[r.Key] = r
	if unheard || !known || before.Era != r.Era || string(before.Value) == string(r.Value) {
		return
	}
	var e registration
	if decode(before.Value, &e) != nil || !e.Unheard {
		return
	}
	now := time.Since(rg.started)
	if now-rg.returned.End(r.Key) > skips.MaxLength {
		rg.returned.Clear(r.Key)
	}
	rg.returned.Unreachable(r.Key, now)
}
