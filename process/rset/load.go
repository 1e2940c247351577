package rset

import (
	"cmp"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/batch"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/rating"
	"github.com/pistachiotray/pistachiotray/process/spread"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/request/reply"
)

const (
	// maxKinds bounds the kinds of work whose times are known. Further kinds are not
	// compared.
	maxKinds = 64
	// kindWeight is the weight of a new measurement in the expected time of a kind.
	kindWeight = 0.05
	// defaultWork is the expected time of a kind of work that was never measured.
	defaultWork = 10 * time.Millisecond
	// countPause is the least time between two counts of this host's own connections to
	// a target.
	countPause = 20 * time.Millisecond
	// lenderSlack is by how many statements the first lender's work must exceed the second's
	// before the second is asked: less than a statement all the time, so that an idle lender
	// relieves a busy one, and more than single statements add to the mean.
	lenderSlack = 0.5
	// loadLogPause is the least time between two log lines with the loads of the targets.
	loadLogPause = time.Minute
)

// The reasons why a target that answers is not chosen.
const (
	reasonLags      = "it lags behind what the read must see"
	reasonNotLeader = "it does not lead"
)

// rated is the log entry of one target's rating. Times are in milliseconds, and AgeMs, the age of
// the last report of its load, is -1 if there was none.
type rated struct {
	ID          string
	Leads       bool   `json:",omitempty"`
	Unusable    string `json:",omitempty"`
	Share       float64
	EstimateMs  int64
	WaitMs      int64
	Outstanding float64
	Own         int
	Slowness    float64
	FailureRate float64
	AgeMs       int64
}

// loads returns what is known of the loads of some targets and keeps it for the next choice; it
// sorts the targets by their IDs. The caller holds the lock.
func (rs *ReplicaSet) loads(now time.Duration, targets []*targetState) []spread.Load {
	sortByID(targets)
	loads := make([]spread.Load, len(targets))
	for i, ts := range targets {
		own := 0
		ts.load, own = rs.load(now, ts)
		loads[i] = ts.load.WithOwn(own)
	}
	return loads
}

// peekLoads returns what loads does, and keeps nothing; the caller holds the lock.
func (rs *ReplicaSet) peekLoads(now time.Duration, targets []*targetState) []spread.Load {
	sortByID(targets)
	loads := make([]spread.Load, len(targets))
	for i, ts := range targets {
		load, own := rs.load(now, ts)
		loads[i] = load.WithOwn(own)
	}
	return loads
}

// load returns what is known of the load of a target, and how many of the statements there are
// this host's; the caller holds the lock.
func (rs *ReplicaSet) load(now time.Duration, ts *targetState) (spread.Load, int) {
	load := ts.load.WithTarget(ts.target.Slots, rs.distance(ts.target.Zone), len(ts.lenders))
	if !ts.direct {
		return load, ts.running
	}
	// What this host and its borrowers have running is in the pool's counts.
	if age, ok := load.Age(now); !ok || age >= countPause {
		load = load.WithReport(now, ts.outstanding())
	}
	return load, 0
}

func sortByID(targets []*targetState) {
	slices.SortFunc(targets, func(a, b *targetState) int { return cmp.Compare(a.target.ID, b.target.ID) })
}

// outstanding returns how many statements and lent connections are at the target, or wait for
// it, on this host's own connections; the caller holds the lock.
func (ts *targetState) outstanding() int {
	open, idle, waiting := ts.pool.Counts()
	return open - idle + waiting
}

// OwnLoad returns how many statements and lent connections are at a target, or wait for it, on
// this host's own connections, and how many of these are idle.
func (rs *ReplicaSet) OwnLoad(id string) (outstanding, free int) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	ts, ok := rs.states[id]
	if !ok {
		return 0, 0
	}
	open, idle, waiting := ts.pool.Counts()
	return open - idle + waiting, idle
}

// noteOutcome updates the target's failure rate when a run of statements ended; the caller
// holds the lock.
func (ts *targetState) noteOutcome(now time.Duration, failed bool) {
	ts.failures = ts.failures.with(now, failed)
	if ts.lenders != nil {
		ts.load = ts.load.WithOutcome(now, failed)
	}
}

// noteLenderLoad notes how many statements are outstanding on a lender's connections to a
// target, with the answered one of this host, and how many of these connections are idle.
func (rs *ReplicaSet) noteLenderLoad(id, host string, outstanding, free int) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	ts, ok := rs.states[id]
	if !ok || !slices.ContainsFunc(ts.lenders, func(h gossip.HostInfo) bool { return h.Host == host }) {
		return
	}
	now := rs.now()
	ts.load = ts.load.WithReport(now, outstanding-1)
	l, ok := ts.lenderLoads[host]
	if !ok {
		// A lender counts as idle until several reports say otherwise.
		l = spread.New(host, 0).WithReport(now, 0)
	}
	if ts.lenderLoads == nil {
		ts.lenderLoads = map[string]spread.Load{}
	}
	if free > 0 {
		// Without an idle connection, a statement waits for one as behind another statement.
		outstanding--
	}
	ts.lenderLoads[host] = l.WithTarget(rs.maxConns/len(ts.lenders), 0, 1).WithReport(now, outstanding)
}

// forgetLenders removes the loads of hosts that are no lenders any more; the caller holds the
// lock.
func (ts *targetState) forgetLenders() {
	for host := range ts.lenderLoads {
		if !slices.ContainsFunc(ts.lenders, func(h gossip.HostInfo) bool { return h.Host == host }) {
			delete(ts.lenderLoads, host)
		}
	}
}

// lenderIndex returns the index of the lender to ask first for a target; the caller holds the
// lock.
func (rs *ReplicaSet) lenderIndex(ts *targetState) int {
	share := rs.firstLenderShare(rs.now(), ts)
	if share >= 1 || share > 0 && rs.random.Float64() < share {
		return ts.firstLender
	}
	return ts.secondLender
}

// firstLenderShare returns the probability with which the first lender by hash is asked first and
// not the second one: 1, unless it has more work than that one, and then by their loads. A
// lender that is not known counts as idle, so that it is asked. The caller holds the lock.
func (rs *ReplicaSet) firstLenderShare(now time.Duration, ts *targetState) float64 {
	first, second := ts.lenderLoads[ts.lenders[ts.firstLender].Host], ts.lenderLoads[ts.lenders[ts.secondLender].Host]
	if first.Steady(now) < second.Steady(now)+lenderSlack {
		return 1
	}
	if second.ID == "" {
		return 0
	}
	return spread.Shares(now, defaultWork, []spread.Load{first, second})[0]
}

// noteTime learns from the time that a batch of a known kind took at a target.
func (rs *ReplicaSet) noteTime(id string, b batch.Batch, replies []reply.Reply, took time.Duration) {
	if b.Kind == "" || slices.ContainsFunc(replies, func(r reply.Reply) bool { return !r.OK() }) {
		return
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	ts, ok := rs.states[id]
	if !ok || ts.lenders == nil {
		return
	}
	now := rs.now()
	unloaded := ts.load.Unloaded(now, took)
	mean, known := rs.kindTimes[b.Kind]
	if !known && len(rs.kindTimes) >= maxKinds {
		return
	}
	if !known {
		mean = unloaded
	}
	mean += time.Duration(kindWeight * float64(unloaded-mean))
	rs.kindTimes[b.Kind] = mean
	ts.load = ts.load.WithTime(now, took, mean)
}

// expectedTime returns how long a kind of work takes on average at a target of the group that
// has free slots; the caller holds the lock.
func (rs *ReplicaSet) expectedTime(kind string) time.Duration {
	if d, ok := rs.kindTimes[kind]; ok && d > 0 {
		return d
	}
	return defaultWork
}

// loader returns the loads of some targets, and sorts these by their IDs.
type loader func(now time.Duration, targets []*targetState) []spread.Load

// Explain returns how each target is rated for a read of a kind of work that may run at any of
// them, ordered by their IDs.
func (rs *ReplicaSet) Explain(kind string) []rating.Rating {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	now := rs.now()
	found, _ := rs.candidates(now, nil, mark.Mark{}, 0)
	return rs.explain(now, kind, found, reasonLags, rs.peekLoads)
}

// explain returns how each target is rated for a request that goes to one of those found. Others are
// not chosen for the given reason, unless they are leaving or failing; the caller holds the lock.
func (rs *ReplicaSet) explain(now time.Duration, kind string, found []*targetState, otherwise string, loads loader) []rating.Rating {
	ratings := rs.rate(now, kind, found, loads)
	for _, ts := range rs.states {
		if slices.Contains(found, ts) {
			continue
		}
		reason := otherwise
		switch {
		case ts.target.Leaving:
			reason = "it is leaving"
		case ts.failingSince != 0:
			reason = "it does not answer"
		}
		ratings = append(ratings, rs.rate(now, kind, []*targetState{ts}, loads)[0].WithUnusable(reason))
	}
	for i, r := range ratings {
		ratings[i] = r.WithLeads(r.ID == rs.leader)
	}
	slices.SortFunc(ratings, func(a, b rating.Rating) int { return cmp.Compare(a.ID, b.ID) })
	return ratings
}

// rate returns the ratings of targets of which one gets a read; the caller holds the lock.
func (rs *ReplicaSet) rate(now time.Duration, kind string, targets []*targetState, loads loader) []rating.Rating {
	if rs.shared() {
		return spread.Ratings(now, rs.expectedTime(kind), loads(now, targets))
	}
	// Without shared connections, the cheapest target gets each read.
	best := rs.cheapest(now, targets)
	ratings := make([]rating.Rating, len(targets))
	for i, ts := range targets {
		work := ts.expectedLatency(now)
		ratings[i] = rating.Rating{
			ID: ts.target.ID, Work: work, Wait: work * time.Duration(ts.running/max(ts.target.Slots, 1)), Retry: ts.failures.cost(now), Way: rs.distance(ts.target.Zone),
			Outstanding: float64(ts.running), Own: ts.running, Slots: ts.target.Slots, Slowness: 1, FailureRate: ts.failures.rateAt(now), ReportAge: -1,
		}
		if ts == best {
			ratings[i].Share = 1
		}
	}
	return ratings
}

// logLoads logs the ratings of the targets, at most once in loadLogPause; the caller holds the
// lock.
func (rs *ReplicaSet) logLoads(now time.Duration, kind string) {
	if rs.loadsLoggedAt != 0 && now-rs.loadsLoggedAt < loadLogPause {
		return
	}
	rs.loadsLoggedAt = now
	found, _ := rs.candidates(now, nil, mark.Mark{}, 0)
	ratings := rs.explain(now, kind, found, reasonLags, rs.loads)
	entries := make([]rated, len(ratings))
	for i, r := range ratings {
		entries[i] = rated{
			ID: r.ID, Leads: r.Leads, Unusable: r.Unusable, Share: hundredths(r.Share), EstimateMs: r.Estimate().Milliseconds(), WaitMs: r.Wait.Milliseconds(),
			Outstanding: hundredths(r.Outstanding), Own: r.Own, Slowness: hundredths(r.Slowness), FailureRate: hundredths(r.FailureRate), AgeMs: -1,
		}
		if r.ReportAge >= 0 {
			entries[i].AgeMs = r.ReportAge.Milliseconds()
		}
	}
	rs.log.Info("target loads", zap.String("Group", rs.Name), zap.Any("Targets", entries))
}

// hundredths rounds a number for the log.
func hundredths(x float64) float64 {
	return math.Round(x*100) / 100
}
