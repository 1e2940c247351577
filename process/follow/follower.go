// Package follow keeps a host's copy of the platform's tables up to date through
// another host, and decides when the host has to read the store itself.
package follow

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/remote"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/mirror"
	"github.com/pistachiotray/pistachiotray/process/ranks"
	"github.com/pistachiotray/pistachiotray/process/rescue"
	"github.com/pistachiotray/pistachiotray/process/skips"
)

const (
	// startPatience is how long a host that knows the other hosts waits for their
	// copy of a table before it reads the store.
	startPatience = 400 * time.Millisecond
	// firstRetryAges and retryAges are the pauses between reads of a table from the store
	// that were not answered, by a host that follows others: the first pause and the later
	// ones, as multiples of the table's age.
	firstRetryAges = 2
	retryAges      = 4
	// answerMargin is the time for which a host may be silent beyond the wait of a
	// question, and within its answer: some round trips between regions, or a retransmission.
	answerMargin = 350 * time.Millisecond
	// maxTransfer bounds the time in which an answer arrives whose first part was in time.
	maxTransfer = 5 * time.Second
	// maxHops is the largest number of hosts through which news reaches a host.
	maxHops = 2
	// minPause is the shortest pause before the place and the ages are checked again.
	minPause = 10 * time.Millisecond
)

// dialer opens connections to other hosts.
type dialer interface {
	// Host opens a connection to a host.
	Host(ctx context.Context, h gossip.HostInfo) (*remote.Remote, error)
}

// Follower follows another host's copy of the tables.
type Follower struct {
	log    *zap.Logger
	dialer dialer
	mirror *mirror.Mirror
	now    func() time.Duration
	self   gossip.HostInfo
	// ages holds the tables that are followed, and for each how old the copy of a
	// host that reads the store gets.
	ages map[string]time.Duration
	// wait is how long a question to another host waits for a change.
	wait time.Duration
	// hostTable is the table from which the hosts become known. The others are not
	// read from the store before that, for up to hostPatience after the start.
	hostTable    string
	hostPatience time.Duration

	// mu guards the fields below.
	mu sync.Mutex
	// hosts are the live hosts, known since knownAt; 0 if they are not known yet.
	hosts   []gossip.HostInfo
	knownAt time.Duration
	// rank is the host's place among the usable hosts until rankUntil, or until the
	// hosts or the skipped ones change, which resets rankUntil.
	rank      ranks.Ranks
	rankUntil time.Duration
	// changed is closed and replaced when the hosts or the skipped ones change.
	changed chan struct{}
	// reads holds for each table the last read from the store by this host while it
	// followed others.
	reads   map[string]ownRead
	skipped *skips.Skips
	started time.Duration
	// answeredAt is when another host last answered, 0 if none ever did.
	answeredAt time.Duration
	// asked is the host that is followed now, empty if this host reads the store itself.
	asked string
	// reason says why the hosts that may be followed changed last, empty if a pause ended.
	reason string
	// late holds since when the copies of tables have been older than they get in operation.
	late map[string]time.Duration
}

// ownRead is a read of a table from the store: when it began, and the pause that follows
// unless the table is known to be fresh since then.
type ownRead struct {
	at, pause time.Duration
}

// New returns a Follower of the tables of ages, which maps each to the age that the
// copy of a host that reads the store gets.
func New(log *zap.Logger, d dialer, m *mirror.Mirror, now func() time.Duration, self gossip.HostInfo, ages map[string]time.Duration, options ...func(*Follower)) *Follower {
	f := &Follower{
		log: log, dialer: d, mirror: m, now: now, self: self, ages: ages,
		skipped: skips.New(), reads: map[string]ownRead{}, late: map[string]time.Duration{}, changed: make(chan struct{}), started: now(),
	}
	for _, age := range ages {
		if f.wait == 0 || age/3 < f.wait {
			f.wait = age / 3
		}
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// WithHostTable returns an option that sets the table from which the hosts become known,
// normally within a time after the start. Until then, the other tables are not read.
func WithHostTable(table string, patience time.Duration) func(*Follower) {
	return func(f *Follower) { f.hostTable, f.hostPatience = table, patience }
}

// WithWait returns an option that sets how long a question to another host waits for a change,
// instead of a third of the least age.
func WithWait(wait time.Duration) func(*Follower) {
	return func(f *Follower) { f.wait = wait }
}

// SetHosts sets the live hosts.
func (f *Follower) SetHosts(hosts []gossip.HostInfo) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = hosts
	f.reason = "hosts changed"
	if f.knownAt == 0 {
		f.knownAt = f.now()
	}
	f.notifyChanged()
}

// place returns the host's place among the hosts that are not skipped. It returns
// false as long as the hosts are not known.
func (f *Follower) place() (ranks.Ranks, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.knownAt == 0 {
		return ranks.Ranks{}, false
	}
	now := f.now()
	if now < f.rankUntil {
		return f.rank, true
	}
	usable := make([]gossip.HostInfo, 0, len(f.hosts))
	f.rankUntil = now + skips.MaxLength
	for _, h := range f.hosts {
		if until := f.skipped.End(h.Host); now < until {
			f.rankUntil = min(f.rankUntil, until)
		} else {
			usable = append(usable, h)
		}
	}
	f.rank = ranks.New(f.self, usable)
	return f.rank, true
}

// Run asks other hosts for changes until the context ends. While this host reads the
// store itself, it asks nobody.
func (f *Follower) Run(ctx context.Context) {
	var link *remote.Remote
	defer func() { closeLink(link) }()
	for ctx.Err() == nil {
		f.mu.Lock()
		changed := f.changed
		f.mu.Unlock()
		upstream, hops, ok := f.upstream()
		f.noteUpstream(upstream.Host, hops)
		f.noteLate()
		if !ok {
			f.pause(ctx, changed, f.wait)
			continue
		}
		if link == nil || link.Host != upstream.Host {
			closeLink(link)
			link = nil
		}
		link = f.ask(ctx, link, upstream, hops)
		if link != nil && f.stale(hops) {
			f.noteOld(upstream)
		}
	}
}

// upstream returns the host to ask next and the number of hops through it. It returns
// false if this host reads the store itself. If it can't, it asks the hosts that read
// the store in its place.
func (f *Follower) upstream() (gossip.HostInfo, int, bool) {
	r, ok := f.place()
	switch {
	case !ok:
		return gossip.HostInfo{}, 0, false
	case len(r.Upstreams()) > 0:
		return r.Upstreams()[0], r.Hops(), true
	case len(r.Backups()) > 0 && f.stale(0):
		return r.Backups()[0], 1, true
	}
	return gossip.HostInfo{}, 0, false
}

// closeLink closes a connection, unless it is nil.
func closeLink(link *remote.Remote) {
	if link != nil {
		link.Close()
	}
}

// ask asks a host once for changes and applies them. It opens a connection if link is
// nil, and returns the connection, or nil if the host did not answer in time.
func (f *Follower) ask(ctx context.Context, link *remote.Remote, upstream gossip.HostInfo, hops int) *remote.Remote {
	began := f.now()
	var err error
	if link == nil {
		link, err = f.dial(ctx, upstream)
	}
	if err == nil {
		err = f.exchange(ctx, link, hops)
	}
	if err == nil {
		f.mu.Lock()
		f.skipped.Clear(upstream.Host)
		f.answeredAt = f.now()
		f.mu.Unlock()
		return link
	}
	if ctx.Err() == nil {
		f.noteUnreachable(upstream, f.now()-began, err)
	}
	closeLink(link)
	return nil
}

// dial opens a connection to a host.
func (f *Follower) dial(ctx context.Context, h gossip.HostInfo) (*remote.Remote, error) {
	ctx, stop := context.WithTimeout(ctx, f.wait+answerMargin)
	defer stop()
	return f.dialer.Host(ctx, h)
}

// exchange asks a host for changes over an open connection and applies them.
func (f *Follower) exchange(ctx context.Context, link *remote.Remote, hops int) error {
	ctx, stop := context.WithTimeout(ctx, f.wait+maxTransfer)
	defer stop()
	news, err := link.Follow(ctx, f.mirror.Stamps(), f.wait, answerMargin)
	if err != nil {
		return err
	}
	for _, d := range news {
		if f.mirror.FreshAt(d.Table) == 0 && d.Age > f.MaxAge(d.Table) {
			// A host that starts must not begin with what another host knew long
			// ago: a target may have left, or a route been removed since.
			f.log.Warn("old copy of a table not taken", zap.String("Peer", link.Host), zap.String("Table", d.Table), zap.Duration("Age", d.Age))
			continue
		}
		if known := f.mirror.Stamp(d.Table); known.Version != 0 && d.Era > known.Era {
			f.log.Warn("upstream host tells of a restored store", zap.String("Peer", link.Host), zap.String("Table", d.Table), zap.Uint64("Era", d.Era),
				zap.Uint64("Before", known.Era), zap.Uint64("Version", d.Version), zap.Uint64("Known", known.Version))
		}
		rescue.Run(f.log, func() { f.mirror.Apply(d.WithFrom(link.Host, hops)) })
	}
	return nil
}

// noteUnreachable skips a host that could not be reached.
func (f *Follower) noteUnreachable(h gossip.HostInfo, took time.Duration, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	length := f.skipped.Unreachable(h.Host, f.now())
	f.reason = "upstream lost"
	f.notifyChanged()
	f.log.Info("upstream host lost", zap.String("Peer", h.Host), zap.Duration("Took", took), zap.Duration("Pause", length), zap.String("Error", err.Error()))
}

// noteOld skips a host whose copy is old for a while.
func (f *Follower) noteOld(h gossip.HostInfo) {
	f.mu.Lock()
	defer f.mu.Unlock()
	pause := 2 * f.wait
	f.skipped.Until(h.Host, f.now()+pause)
	f.reason = "upstream old"
	f.notifyChanged()
	f.log.Info("copy of the upstream host is old", zap.String("Peer", h.Host), zap.Duration("Pause", pause))
}

// notifyChanged makes the host's place be computed again, and wakes those that wait for
// a change of it; the caller holds the lock.
func (f *Follower) notifyChanged() {
	f.rankUntil = 0
	close(f.changed)
	f.changed = make(chan struct{})
}
