package rset

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/batch"
	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/connection/remote"
	"github.com/pistachiotray/pistachiotray/process/conns"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/reply"
)

const (
	// customerLenders is how many lenders are asked for a customer's connections if they
	// refuse, so that a busy customer does not open connections at all of them.
	customerLenders = 2
	// fallbackQuota is the quota of a host that is no lender of a target. It uses its own
	// connections only while it reaches no lender.
	fallbackQuota = 1
	// countsPause is the pause between two log lines with what happened to the connections
	// of customers at a target.
	countsPause = time.Minute
)

// SetCustomers sets the weights of the customers to which connections belong, nil if callers
// are not told apart. The map must not be changed afterwards.
func (rs *ReplicaSet) SetCustomers(weights map[string]int) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.customers == nil && weights == nil {
		return
	}
	rs.customers = weights
	for _, ts := range rs.states {
		rs.updateQuota(ts)
	}
}

// updateQuota sets how many connections to a target this host may open if connections belong
// to customers; the caller holds the lock.
func (rs *ReplicaSet) updateQuota(ts *targetState) {
	if rs.customers == nil || rs.borrower == nil {
		ts.pool.SetCustomers(rs.customers, rs.maxConns)
		return
	}
	quota := fallbackQuota
	switch {
	case ts.lenders == nil:
		quota = max(rs.maxConns/max(rs.assignment.LiveCount(), 1), 1)
	case ts.direct:
		names := slices.Sorted(maps.Keys(rs.customers))
		quota = rs.assignment.CustomerShare(ts.target, names, ts.lenders, rs.maxConns/restartDivisor)
	}
	ts.pool.SetCustomers(rs.customers, quota)
}

// doForCustomer runs a batch on a connection of the batch's customer at one of the lenders,
// which are given in the customer's order. After customerLenders refusals it returns the last
// one. If this host is a lender, it uses its own connections in its turn; otherwise it does so
// only if it reaches no lender.
func (rs *ReplicaSet) doForCustomer(ctx context.Context, t target.Target, own *conns.Pool, b batch.Batch, lenders []gossip.HostInfo, self string) ([]reply.Reply, *conn.Conn, error) {
	turn := slices.IndexFunc(lenders, func(h gossip.HostInfo) bool { return h.Host == self })
	before := lenders
	if turn >= 0 {
		before = lenders[:turn]
	}
	if len(before) > 0 {
		began := rs.now()
		replies, cn, err := rs.doBorrowed(ctx, t, b, before, 0)
		refused := errors.Is(err, remote.ErrRefused)
		if err == nil || ctx.Err() != nil || errors.Is(err, ErrAnswerLost) || refused && len(before) >= customerLenders {
			return replies, cn, err
		}
		if refused {
			// b.Wait bounds the total time for which hosts wait for a connection.
			if b = b.WithWait(b.Wait - (rs.now() - began)); b.Wait <= 0 {
				return nil, nil, err
			}
		}
	}
	began := rs.now()
	replies, cn, err := rs.doOwn(ctx, t.ID, own, b)
	full := errors.Is(err, conns.ErrBusy) || errors.Is(err, conns.ErrTargetFull)
	if b = b.WithWait(b.Wait - (rs.now() - began)); turn != 0 || !full || len(lenders) < customerLenders || b.Wait <= 0 || ctx.Err() != nil {
		return replies, cn, err
	}
	return rs.doBorrowed(ctx, t, b, lenders[1:customerLenders], 0)
}

// overflows reports whether another lender of a target comes first for a customer, so that a
// batch of it is at this host because that lender refused it or was not reached.
func (rs *ReplicaSet) overflows(id, customer string) bool {
	if customer == "" {
		return false
	}
	rs.mu.Lock()
	ts, ok := rs.states[id]
	if !ok || len(ts.lenders) == 0 {
		rs.mu.Unlock()
		return false
	}
	as, t, lenders := rs.assignment, ts.target, ts.lenders
	rs.mu.Unlock()
	return as.CustomerLenders(t, customer, lenders)[0].Host != as.Self()
}

// most is the customer with the most of something.
type most struct {
	customer   string
	count, sum int
}

func (m *most) add(customer string, n int) {
	m.sum += n
	if n > m.count {
		m.customer, m.count = customer, n
	}
}

// logCounts logs what happened to the connections of customers, at most one line per target and
// countsPause; the caller holds the lock.
func (rs *ReplicaSet) logCounts() {
	if rs.customers == nil || rs.now()-rs.countsLogged < countsPause {
		return
	}
	rs.countsLogged = rs.now()
	for id, ts := range rs.states {
		var opened, madeRoom, refused most
		ts.pool.TakeCounts(func(customer string, o, m, r int) {
			opened.add(customer, o)
			madeRoom.add(customer, m)
			refused.add(customer, r)
		})
		if opened.sum+madeRoom.sum+refused.sum == 0 {
			continue
		}
		rs.log.Info("connections of customers", zap.String("Group", rs.Name), zap.String("Target", id),
			zap.Int("Opened", opened.sum), zap.String("MostOpenedFor", opened.customer), zap.Int("MostOpened", opened.count),
			zap.Int("ClosedForOthers", madeRoom.sum), zap.String("MostClosedOf", madeRoom.customer), zap.Int("MostClosed", madeRoom.count),
			zap.Int("NotInTime", refused.sum), zap.String("MostNotInTimeOf", refused.customer), zap.Int("MostNotInTime", refused.count))
	}
}
