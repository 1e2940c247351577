// Package keeper keeps the members of a database group in the table store, so that a host
// that starts while a member is not registered knows it.
package keeper

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/acked"
	"github.com/pistachiotray/pistachiotray/process/member"
	"github.com/pistachiotray/pistachiotray/process/record"
	"github.com/pistachiotray/pistachiotray/process/stamp"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

// Table is the table of members, with one row per group.
const Table = "member"

const (
	// writers is the number of hosts that write a change of a group's members. The
	// others rely on them.
	writers = 3
	// rankDelay is how much later than the one before each of them checks the row.
	// settleDelay lets the changes that come together be written together, and startDelay
	// lets a host that starts learn of the others.
	rankDelay   = 700 * time.Millisecond
	settleDelay = 1500 * time.Millisecond
	startDelay  = 3 * time.Second
	// callTimeout bounds a check of the row. minRetryPause and maxRetryPause bound the
	// pause after one that failed, which doubles.
	callTimeout   = 2 * time.Second
	minRetryPause = time.Second
	maxRetryPause = 15 * time.Second
)

// table is the table store.
type table interface {
	// Get returns one row and the store's time. The row has version 0 if the store
	// has none with that key.
	Get(ctx context.Context, table, key string) (record.Row, time.Duration, error)
	// CompareAndSwap writes a row if the stored one still has the row's version, and
	// returns the position of the write.
	CompareAndSwap(ctx context.Context, table string, r record.Row) (stamp.Stamp, error)
}

// group is a database group as this host sees it.
type group interface {
	// Targets returns the registered targets.
	Targets() []target.Target
	// TargetsChanged returns a channel that receives a value when they change.
	TargetsChanged() <-chan struct{}
	// Acknowledged returns what this host knows of acknowledged commits, and
	// LearnAcknowledged adds what others know.
	Acknowledged() acked.Acked
	LearnAcknowledged(floor, ceiling mark.Mark)
	// LearnPosition asks the leader for a position that covers all acknowledged commits.
	LearnPosition(ctx context.Context) error
	// Rank returns how many live hosts precede this one in an order by their distance
	// to a target.
	Rank(t target.Target) int
}

// stored is the value of a group's row.
type stored struct {
	Members []storedMember
	// Floor and Ceiling are the positions between which the newest acknowledged commit is,
	// for hosts that start.
	Floor   mark.Mark
	Ceiling mark.Mark
}

// storedMember is one member. Fields without a comment are those of the Target.
type storedMember struct {
	ID      string
	Address string
	Zone    string
	Started int64
	Leaving bool `json:",omitempty"`
	// MissingMs is the time by the store's clock at which the registration was found
	// missing, in milliseconds, and 0 if the member is registered.
	MissingMs int64 `json:",omitempty"`
}

// Keeper knows the members of one group. Lock order: the mutex of the Keeper, then of the
// ReplicaSet.
type Keeper struct {
	name  string
	log   *zap.Logger
	store table
	group group
	now   func() time.Duration
	// mu guards the fields below. Times of members are by the clock now.
	mu      sync.Mutex
	members member.Set
}

// New returns the Keeper of the named group. The clock now includes time when the machine
// was suspended.
func New(name string, log *zap.Logger, store table, g group, now func() time.Duration) *Keeper {
	return &Keeper{name: name, log: log.With(zap.String("Group", name)), store: store, group: g, now: now, members: member.New(name)}
}

// Known returns the members as this host knows them.
func (k *Keeper) Known() member.Set {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.members.Gone()
	k.members = k.members.WithRegistered(k.group.Targets(), k.now())
	for _, m := range k.members.Gone() {
		if !slices.Contains(before, m) {
			k.log.Info("member dropped", zap.String("Target", m.Target.ID), zap.String("Address", m.Target.Address), zap.Int64("Started", m.Target.Started),
				zap.String("Why", m.Why), zap.Duration("Missing", m.MissingFor()))
		}
	}
	return k.members
}

// Refresh reads the members from the store.
func (k *Keeper) Refresh(ctx context.Context) error {
	_, err := k.refresh(ctx)
	return err
}

// row is the group's row as it was read.
type row struct {
	members member.Set
	acked   acked.Acked
	// ahead is how much the store's clock is ahead of this host's.
	ahead time.Duration
}

// refresh reads the members from the store and returns the row.
func (k *Keeper) refresh(ctx context.Context) (row, error) {
	stored, now, err := k.store.Get(ctx, Table, k.name)
	if err != nil {
		return row{}, errors.Wrap(err, "read members")
	}
	r, err := k.decode(stored, now-k.now())
	if err != nil {
		// The registered targets count, and the row is written anew.
		k.log.Error("members can't be decoded", zap.Uint64("Version", stored.Version), zap.String("Error", err.Error()))
	}
	k.group.LearnAcknowledged(r.acked.Floor, r.acked.Ceiling)
	k.mu.Lock()
	defer k.mu.Unlock()
	// What this host saw of a member counts more than the row, which may not have been
	// written since, or be that of a restored store.
	merged := r.members.WithGone(k.members)
	for _, t := range k.members.Members() {
		merged = merged.WithMember(t, k.members.MissingSince(t.ID))
	}
	k.members = merged
	return r, nil
}

// decode decodes the group's row. It converts the store's times to this host's.
func (k *Keeper) decode(s record.Row, ahead time.Duration) (row, error) {
	r := row{members: member.New(k.name).WithStored(s.Stamp()), ahead: ahead}
	if s.Version == 0 {
		return r, nil
	}
	var value stored
	if err := json.Unmarshal(s.Value, &value); err != nil {
		return r, errors.Wrap(err, "decode members")
	}
	r.acked = acked.New().With(value.Floor, value.Ceiling)
	for _, m := range value.Members {
		var since time.Duration
		if m.MissingMs != 0 {
			since = cmp.Or(time.Duration(m.MissingMs)*time.Millisecond-ahead, 1)
		}
		r.members = r.members.WithMember(target.New(m.ID, k.name, m.Address, m.Zone).WithStarted(m.Started).WithLeaving(m.Leaving), since)
	}
	return r, nil
}

// Run writes changes of the members to the store until the context ends, if this host is
// one of those that do.
func (k *Keeper) Run(ctx context.Context) {
	began := k.now()
	due := time.NewTimer(startDelay)
	defer due.Stop()
	pause := minRetryPause
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.group.TargetsChanged():
			// Notes each change, also those that are over when the members are needed.
			k.Known()
			due.Reset(max(settleDelay+time.Duration(k.rank())*rankDelay, startDelay-(k.now()-began)))
		case <-due.C:
			if k.rank() >= writers {
				continue
			}
			if err := k.write(ctx); err != nil {
				k.log.Info("members not written", zap.String("Error", err.Error()))
				due.Reset(pause)
				pause = min(2*pause, maxRetryPause)
				continue
			}
			pause = minRetryPause
			if k.Known().Incomplete() {
				due.Reset(member.AbsentAfter)
			}
		}
	}
}

// rank returns how many live hosts precede this one among those that write the members.
func (k *Keeper) rank() int {
	return min(k.group.Rank(target.Target{Group: k.name}), writers)
}

// write writes the members to the store if the row there differs. While a member is not
// registered, hosts also write the acknowledged commits that they know, since they may not
// be there when the leader is replaced.
func (k *Keeper) write(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	read, err := k.refresh(ctx)
	if err != nil {
		return err
	}
	members := k.Known()
	if members.Incomplete() {
		// Who acknowledged commits to others before may be lost, and a member come back
		// without them.
		if err := k.group.LearnPosition(ctx); err != nil {
			k.log.Info("leader's position not learned", zap.String("Error", err.Error()))
		}
	}
	known := k.group.Acknowledged()
	if len(members.Members()) == 0 || !members.Differs(read.members) && (!members.Incomplete() || known.Floor == read.acked.Floor) {
		return nil
	}
	value := stored{Floor: known.Floor, Ceiling: known.Ceiling}
	for _, t := range members.Members() {
		var missing int64
		if since := members.MissingSince(t.ID); since != 0 {
			missing = max((since + read.ahead).Milliseconds(), 1)
		}
		value.Members = append(value.Members, storedMember{t.ID, t.Address, t.Zone, t.Started, t.Leaving, missing})
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode members")
	}
	at, err := k.store.CompareAndSwap(ctx, Table, record.New(k.name, encoded).WithVersion(read.members.Stored.Version))
	if err != nil {
		return errors.Wrap(err, "write members")
	}
	k.mu.Lock()
	k.members = k.members.WithStored(at)
	k.mu.Unlock()
	k.log.Info("members written", zap.Int("Members", len(value.Members)), zap.Bool("Missing", members.Incomplete()))
	return nil
}
