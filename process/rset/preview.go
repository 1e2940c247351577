package rset

import (
	"maps"
	"time"

	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/process/assign"
	"github.com/pistachiotray/pistachiotray/process/choice"
	"github.com/pistachiotray/pistachiotray/process/conns"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/gview"
	"github.com/pistachiotray/pistachiotray/process/lender"
	"github.com/pistachiotray/pistachiotray/process/rating"
	"github.com/pistachiotray/pistachiotray/process/spread"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/version/route"
	"github.com/pistachiotray/pistachiotray/version/waits"
)

// access is how this host gets to a target, as Preview found it.
type access struct {
	target target.Target
	pool   *conns.Pool
	direct bool
	// lenders are the target's lenders, loads what is known of their loads, and starts the
	// probabilities with which one is asked first, by its index.
	lenders []gossip.HostInfo
	loads   map[string]spread.Load
	starts  map[int]float64
}

// Preview returns what a single statement on a route would find at the group if it arrived now,
// for a customer, or for any caller if customer is empty. The caller's session has not committed
// anything yet. Preview changes nothing, and neither opens a connection nor sends anything.
func (rs *ReplicaSet) Preview(rt route.Route, customer string, writes bool) gview.View {
	v, accesses, as := rs.survey(rt, writes)
	now := rs.now()
	for i, a := range accesses {
		lenders, own := rs.reach(now, a, as, customer)
		later := customer != "" && len(lenders) > 0 && !lenders[0].Self
		found := a.pool.Preview(caller.New("", rt.Database).WithCustomer(customer), rt.Priority, v.MaxWait, conns.Kept(writes), conns.Overflow(later))
		v.Members[i] = v.Members[i].WithLenders(lenders).WithOwn(own, found)
	}
	return v
}

// survey returns what Preview does without the connections, and how this host gets to each of
// the members.
func (rs *ReplicaSet) survey(rt route.Route, writes bool) (gview.View, []access, assign.Assignment) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	now, shared, atLeader := rs.now(), rs.shared(), writes || rt.Kind == route.Primary
	leader, ok := rs.states[rs.leader]
	usable := ok && rs.usable(leader)
	v := gview.New(rs.Name).WithLeader(rs.leader, usable, rs.leaderOverdue(now), writes && ok && rs.mayBeReplaced(rs.leader)).
		WithAccess(atLeader, shared, waits.New(rt).Remaining(shared, 0))
	var found []*targetState
	check, reason := false, reasonNotLeader
	switch {
	case !atLeader:
		need, reached, known := rs.watermarks.Covering(now - rt.DataAge())
		age := time.Duration(-1)
		if newest := rs.watermarks.Newest(); newest != 0 {
			age = now - newest
		}
		v = v.WithPosition(need, known, age)
		found, check = rs.candidates(now, nil, need, reached)
		reason = reasonLags
	case usable:
		found = []*targetState{leader}
	}
	ratings := rs.explain(now, rt.Database, found, reason, rs.peekLoads)
	members, accesses := make([]choice.Choice, len(ratings)), make([]access, len(ratings))
	for i, r := range ratings {
		ts := rs.states[r.ID]
		members[i] = rs.choiceOf(now, ts, r).WithCheck(check && r.Unusable == "")
		accesses[i] = access{ts.target, ts.pool, ts.direct, ts.lenders, maps.Clone(ts.lenderLoads), rs.lenderStarts(now, ts)}
	}
	return v.WithMembers(members), accesses, rs.assignment
}

// choiceOf returns a target's health and lag with its rating; the caller holds the lock.
func (rs *ReplicaSet) choiceOf(now time.Duration, ts *targetState, r rating.Rating) choice.Choice {
	heard, failing, reported := time.Duration(-1), time.Duration(-1), time.Duration(-1)
	if ts.lastHeard != 0 {
		heard = now - ts.lastHeard
	}
	if ts.failingSince != 0 {
		failing = now - ts.failingSince
	}
	if ts.lag.reportedAt != 0 {
		reported = now - ts.lag.reportedAt
	}
	return choice.New(r, ts.target.Zone).WithHealth(ts.target.Leaving, heard, failing).WithLag(ts.lag.lowerBound, reported)
}

// lenderStarts returns the probabilities with which a lender is asked first, by its index, if
// connections don't belong to customers; the caller holds the lock.
func (rs *ReplicaSet) lenderStarts(now time.Duration, ts *targetState) map[int]float64 {
	if len(ts.lenders) < 2 || ts.firstLender == ts.secondLender {
		return map[int]float64{ts.firstLender: 1}
	}
	first := rs.firstLenderShare(now, ts)
	return map[int]float64{ts.firstLender: first, ts.secondLender: 1 - first}
}

// reach returns the lenders whose connections to a target may be used, and the probability with which this host uses its own connections first.
func (rs *ReplicaSet) reach(now time.Duration, a access, as assign.Assignment, customer string) ([]lender.Lender, float64) {
	hosts, starts := a.lenders, a.starts
	switch {
	case customer != "" && a.lenders != nil:
		hosts, starts = as.CustomerLenders(a.target, customer, a.lenders), map[int]float64{0: 1}
	case a.direct:
		return nil, 1
	}
	lenders := make([]lender.Lender, len(hosts))
	for i, h := range hosts {
		l := lender.New(h.Host).WithSelf(h.Host == as.Self())
		if load, ok := a.loads[h.Host]; ok {
			age, _ := load.Age(now)
			l = l.WithLoad(load.Steady(now), age)
		}
		lenders[i] = l.WithSkipped(!l.Self && rs.borrower.Skipped(h.Host))
	}
	own := 0.0
	for start, share := range starts {
		i := firstReachable(lenders, start)
		if i >= 0 {
			lenders[i] = lenders[i].WithShare(lenders[i].Share + share)
		}
		// Without a lender that can be asked, this host uses its own connections.
		if i < 0 || lenders[i].Self {
			own += share
		}
	}
	return lenders, own
}

// firstReachable returns the index of the first lender that is not skipped, from an index on and
// then from the beginning, or -1 if there is none.
func firstReachable(lenders []lender.Lender, start int) int {
	for i := range lenders {
		if at := (start + i) % len(lenders); !lenders[at].Skipped {
			return at
		}
	}
	return -1
}
