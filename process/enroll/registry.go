// Package enroll registers this host in the table store and decodes the
// registrations of the other hosts.
package enroll

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/assign"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/record"
	"github.com/pistachiotray/pistachiotray/process/skips"
	"github.com/pistachiotray/pistachiotray/process/sleep"
	"github.com/pistachiotray/pistachiotray/process/stamp"
	"github.com/pistachiotray/pistachiotray/process/wrap"
)

// Table is the table in which hosts register, with one row per host.
const Table = "hosts"

const (
	// maxPause bounds the pause between two attempts to write this host's row.
	maxPause = 3 * time.Second
	// listTimeout bounds how long Register waits for the first listing of the
	// table.
	listTimeout = 1500 * time.Millisecond
)

// registration is the value of a host's row. The key of the row is the host's
// name.
type registration struct {
	// Address is where other hosts connect to this host.
	Address string
	Zone    string
	Leaving bool
	// Unheard is set by the coordinator of the limits (see gossip.HostInfo).
	Unheard bool `json:",omitempty"`
}

// table is the table store.
type table interface {
	// Get returns one row and the store's time. The row has version 0 if the store
	// has none with that key.
	Get(ctx context.Context, table, key string) (record.Row, time.Duration, error)
	// CompareAndSwap writes a row if the stored one still has the row's version, and
	// returns the position of the write.
	CompareAndSwap(ctx context.Context, table string, r record.Row) (stamp.Stamp, error)
}

// Registry registers this host and keeps the set of known hosts up to date with
// the table.
type Registry struct {
	log   *zap.Logger
	store table
	// mu guards assignment, ownRow, leaving, registered, rows and returned. onChange is called
	// with mu held.
	mu sync.Mutex
	// assignment holds the known hosts.
	assignment assign.Assignment
	self       gossip.HostInfo
	onChange   func(assign.Assignment)
	// ownRow is this host's row as last read or written. Its version is 0 if the row
	// doesn't exist or has not been read yet.
	ownRow record.Row
	// leaving is the value with which Register was last called, and registered is set
	// once it was written.
	leaving    bool
	registered bool
	// rows holds the rows of the other hosts that the store has, as last read or marked.
	rows map[string]record.Row
	// returned holds the hosts that removed a mark, which are not marked again for a time. Its
	// times are those since started.
	returned *skips.Skips
	started  time.Time
	// lost has a value while this host's row is missing or differs from what was
	// written.
	lost chan struct{}
	// listed is closed after the first listing, which shows whether this host has
	// a row.
	listed     chan struct{}
	listedOnce sync.Once
}

// New returns a registry that knows only this host. Apply calls onChange with
// the known hosts after each full listing and each change. regions maps each zone to its region.
func New(log *zap.Logger, t table, self gossip.HostInfo, regions map[string]string, onChange func(assign.Assignment)) *Registry {
	return &Registry{
		log: log, store: t, assignment: assign.New(self, regions), self: self, onChange: onChange, ownRow: record.New(self.Host, nil),
		rows: map[string]record.Row{}, returned: skips.New(), started: time.Now(), lost: make(chan struct{}, 1), listed: make(chan struct{}),
	}
}

// Register writes this host's row, with Leaving set to leaving. It retries until it
// succeeds or the context ends. If first is true, Register assumes that the host
// has no row yet. Otherwise it waits for a listing of the table, for up to
// listTimeout, to find out whether the host has a row.
func (rg *Registry) Register(ctx context.Context, leaving, first bool) {
	if !first {
		rg.awaitListing(ctx)
	}
	rg.mu.Lock()
	rg.registered, rg.leaving = false, leaving
	rg.mu.Unlock()
	rg.write(ctx, leaving)
}

// Maintain writes this host's row again whenever the store lost what Register wrote, or
// another host marked it as unheard, until the context ends.
func (rg *Registry) Maintain(ctx context.Context) {
	for {
		select {
		case <-rg.lost:
		case <-ctx.Done():
			return
		}
		rg.mu.Lock()
		wrong, leaving, version := rg.ownRowWrong(), rg.leaving, rg.ownRow.Version
		var own registration
		marked := version > 0 && json.Unmarshal(rg.ownRow.Value, &own) == nil && own.Unheard
		rg.mu.Unlock()
		if !wrong {
			continue
		}
		if marked {
			rg.log.Warn("this host was marked as unheard", zap.Bool("Leaving", leaving), zap.Uint64("Version", version))
		} else {
			rg.log.Warn("host registration lost by the store", zap.Bool("Leaving", leaving))
		}
		rg.write(ctx, leaving)
	}
}

// write writes this host's row. It retries until it succeeds or the context ends, or
// until Register is called with another value.
func (rg *Registry) write(ctx context.Context, leaving bool) {
	pause := backoff.NewExponentialBackOff()
	pause.MaxInterval = maxPause
	for ctx.Err() == nil && rg.wants(leaving) {
		err := rg.writeOwnRow(ctx, leaving)
		if err == nil {
			rg.log.Info("host registered", zap.Bool("Leaving", leaving))
			return
		}
		rg.log.Info("host registration failed", zap.Bool("Leaving", leaving), zap.String("Error", err.Error()))
		sleep.For(ctx, pause.NextBackOff())
		if err := rg.readOwnRow(ctx); err != nil {
			rg.log.Info("reading this host's row failed", zap.String("Error", err.Error()))
		}
	}
}

// wants reports whether leaving is the value that Register was last called with.
func (rg *Registry) wants(leaving bool) bool {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return rg.leaving == leaving
}

// awaitListing waits until the first listing was applied, but no longer than
// listTimeout.
func (rg *Registry) awaitListing(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, listTimeout)
	defer stop()
	select {
	case <-rg.listed:
	case <-ctx.Done():
	}
}

// readOwnRow reads this host's row after a failed write. The version in ownRow may
// be outdated, or the write may have changed the row although its answer was lost.
func (rg *Registry) readOwnRow(ctx context.Context) error {
	own, _, err := rg.store.Get(ctx, Table, rg.self.Host)
	if err != nil {
		return err
	}
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.ownRow = own
	return nil
}

// writeOwnRow writes this host's row, with Leaving set to leaving, unless ownRow
// already has the same value.
func (rg *Registry) writeOwnRow(ctx context.Context, leaving bool) error {
	value, err := rg.value(leaving)
	if err != nil {
		return err
	}
	rg.mu.Lock()
	previous := rg.ownRow
	rg.mu.Unlock()
	at := previous.Stamp()
	if previous.Version == 0 || string(previous.Value) != string(value) {
		at, err = rg.store.CompareAndSwap(ctx, Table, record.New(rg.self.Host, value).WithVersion(previous.Version))
		if err != nil {
			return err
		}
	}
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.registered = true
	rg.noteOwnRow(record.New(rg.self.Host, value).WithVersion(at.Version).WithEra(at.Era))
	return nil
}

// value returns the value of this host's row.
func (rg *Registry) value(leaving bool) ([]byte, error) {
	return encode(registration{Address: rg.self.Address, Zone: rg.self.Zone, Leaving: leaving})
}

// noteOwnRow records this host's row as read or written, unless a later one is known,
// and wakes Maintain if it is not as it has to be; the caller holds the lock.
func (rg *Registry) noteOwnRow(r record.Row) {
	if r.Stamp().Compare(rg.ownRow.Stamp()) > 0 {
		if r.Gone {
			r = record.New(r.Key, nil).WithEra(r.Era)
		}
		rg.ownRow = r
	}
	if rg.ownRowWrong() {
		select {
		case rg.lost <- struct{}{}:
		default:
		}
	}
}

// ownRowWrong reports whether this host's row is missing or differs from what Register wrote;
// the caller holds the lock.
func (rg *Registry) ownRowWrong() bool {
	value, err := rg.value(rg.leaving)
	if err != nil {
		rg.log.Error("host registration not encoded", zap.String("Error", err.Error()))
		return false
	}
	return rg.registered && (rg.ownRow.Version == 0 || string(rg.ownRow.Value) != string(value))
}

// Apply updates the known hosts with rows of the table, either changed rows or a
// full listing, read at a position of the store. A host is removed only if its row is
// marked as deleted. A host that is merely missing in a full listing stays known.
func (rg *Registry) Apply(rows []record.Row, at stamp.Stamp, whole bool) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	defer rg.listedOnce.Do(func() { close(rg.listed) })
	var updated []gossip.HostInfo
	changed, ownListed := false, false
	if whole {
		rg.forgetUnlisted(rows)
	}
	for _, r := range rows {
		if r.Key == rg.self.Host {
			ownListed = true
			rg.noteOwnRow(r)
			continue
		}
		if r.Gone {
			delete(rg.rows, r.Key)
			rg.returned.Clear(r.Key)
			rg.assignment = rg.assignment.WithoutHost(r.Key)
			changed = true
			continue
		}
		var e registration
		if err := decode(r.Value, &e); err != nil {
			delete(rg.rows, r.Key)
			rg.log.Warn("invalid host registration ignored", zap.String("Peer", r.Key), zap.String("Error", err.Error()))
			continue
		}
		rg.noteRow(r, e.Unheard)
		info := gossip.New(r.Key, e.Address, e.Zone, r.Version).WithUnheard(e.Unheard)
		if e.Leaving {
			info = info.WithState(gossip.Left)
		}
		if before, ok := rg.assignment.Host(r.Key); !ok || before.WithIncarnation(0) != info.WithIncarnation(0) {
			updated = append(updated, info)
		}
	}
	if whole && !ownListed {
		rg.noteOwnRow(record.Row{Key: rg.self.Host, Version: at.Version, Era: at.Era, Gone: true})
	}
	if changed || len(updated) > 0 || whole {
		rg.assignment = rg.assignment.WithHosts(updated...)
		rg.onChange(rg.assignment)
	}
}

// encode encodes the value of a host's row.
func encode(e registration) ([]byte, error) {
	value, err := json.Marshal(e)
	return value, wrap.If(err, "encode host registration")
}

// decode decodes the value of a host's row. It fails if other hosts can't connect to the
// host's address.
func decode(value []byte, e *registration) error {
	if err := json.Unmarshal(value, e); err != nil {
		return errors.Wrap(err, "decode host registration")
	}
	a, err := netip.ParseAddrPort(e.Address)
	if err == nil && a.Port() == 0 {
		err = errors.Errorf("address %q has no port", e.Address)
	}
	return wrap.If(err, "decode host registration")
}
