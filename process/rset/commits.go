package rset

import (
	"context"
	"slices"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/process/acked"
	"github.com/pistachiotray/pistachiotray/process/heard"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// Acknowledged returns what this host knows of the group's acknowledged commits.
func (rs *ReplicaSet) Acknowledged() acked.Acked {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.acked
}

// LearnAcknowledged adds the positions between which the newest commit is that another host
// knows to be acknowledged.
func (rs *ReplicaSet) LearnAcknowledged(floor, ceiling mark.Mark) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.acked = rs.acked.With(floor, ceiling)
}

// LearnPosition asks the leader, if this host connects to it, for the position of its log,
// which includes all commits that it has acknowledged.
func (rs *ReplicaSet) LearnPosition(ctx context.Context) error {
	leader, ok := rs.Leader()
	if !ok || !rs.ConnectsTo(leader.ID) {
		return nil
	}
	r, err := rs.tryTransaction(ctx, leader)
	if err != nil {
		return err
	}
	if !r.OK() {
		return errors.Errorf("the target does not lead: %s", r.Code.Name())
	}
	rs.LearnAcknowledged(mark.Mark{}, r.Mark)
	return nil
}

// noteCommits records the commits that were acknowledged by the replies to a stage. sent is
// what was known when the stage was sent. It returns a position that covers these commits, zero if
// there are none.
func (rs *ReplicaSet) noteCommits(cn *conn.Conn, sent acked.Acked, stage []stmt.Stmt, replies []reply.Reply) (committed mark.Mark) {
	for i, r := range replies {
		s := stage[i]
		begins := s.Kind == stmt.Begin || s.Kind == stmt.BeginRead
		cn.Wrote = !begins && (cn.Wrote || s.WritesData())
		if r.Status == reply.Open {
			continue
		}
		if cn.Wrote && r.OK() && (s.WritesData() || s.Kind == stmt.Commit) {
			rs.mu.Lock()
			rs.acked = rs.acked.WithCommit(sent, r.Mark)
			rs.mu.Unlock()
			committed = committed.Max(r.Mark)
		}
		cn.Wrote = false
	}
	return committed
}

// GatherAcknowledged asks the other hosts that connect to the group, or did shortly before,
// which commits they know to be acknowledged, and returns what those tell that answer before
// the context ends. If leader is not empty, it also announces to them, and to this host, that
// this host is about to replace that target.
func (rs *ReplicaSet) GatherAcknowledged(ctx context.Context, leader string) heard.Heard {
	rs.AnnounceReplacement(leader)
	connecting, former := rs.otherHosts(""), rs.formerlyConnecting()
	hosts := slices.Concat(connecting, former)
	type answer struct {
		host           int
		floor, ceiling mark.Mark
		err            error
	}
	answers := make(chan answer, len(hosts))
	for i, h := range hosts {
		go func() {
			floor, ceiling, err := rs.borrower.Acknowledged(ctx, rs.Name, leader, h)
			answers <- answer{i, floor, ceiling, err}
		}()
	}
	told := heard.New(rs.Acknowledged(), len(connecting), len(former))
	for range hosts {
		select {
		case a := <-answers:
			if a.err == nil {
				told = told.WithAnswer(a.floor, a.ceiling, a.host < len(connecting))
			}
		case <-ctx.Done():
		}
	}
	rs.LearnAcknowledged(told.Known.Floor, told.Known.Ceiling)
	return told.WithKnown(rs.Acknowledged())
}
