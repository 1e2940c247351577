package promo

import (
	"maps"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/lease"
	"github.com/pistachiotray/pistachiotray/process/member"
	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/process/target"
)

// How the preparation of a replacement counted a member.
const (
	countedAnswered   = "answered"
	countedStopped    = "stopped"
	countedFormer     = "left out, former leader"
	countedEnded      = "left out, ended"
	countedLeft       = "left out, has left"
	countedAbsent     = "left out, absent"
	countedGone       = "left out, gone"
	countedLeads      = "leads"
	countedReceives   = "still receives"
	countedNotHeard   = "not heard"
	countedNotAsked   = "not asked"
	countedDemoted    = "demoted"
	countedNotDemoted = "not demoted"
	countedSuccessor  = "successor"
)

// count is the log entry of one member in the preparation of a replacement. Times are in
// milliseconds.
type count struct {
	ID      string
	Address string
	Started int64
	Leaving bool `json:",omitempty"`
	// MissingMs is for how long the member has not been registered, 0 if it is.
	MissingMs int64 `json:",omitempty"`
	Counted   string
	// Term, Received, Held and Primary are from the member's Report. Received is empty if
	// there is none.
	Term     uint64 `json:",omitempty"`
	Received string `json:",omitempty"`
	Held     uint64 `json:",omitempty"`
	Primary  bool   `json:",omitempty"`
	Error    string `json:",omitempty"`
	// Why is the reason why the target is no longer a member, and AgoMs how long ago it
	// was dropped.
	Why   string `json:",omitempty"`
	AgoMs int64  `json:",omitempty"`
}

// newCount returns the entry of a member that answered with a report or failed with an
// error. A zero report is left out.
func newCount(members member.Set, t target.Target, counted string, r report.Report, err error) count {
	c := count{ID: t.ID, Address: t.Address, Started: t.Started, Leaving: t.Leaving, Counted: counted}
	if since := members.MissingSince(t.ID); since != 0 {
		c.MissingMs = (members.At - since).Milliseconds()
	}
	if err != nil {
		c.Error = err.Error()
	} else if r.Member != "" {
		c.Term, c.Received, c.Held, c.Primary = r.Term, r.Received.String(), r.Held, r.Primary
	}
	return c
}

// tally holds how the present preparation counted each member, for the log.
type tally struct {
	members member.Set
	counts  map[string]count
}

// newTally returns the tally of a preparation that has asked none of the members.
func newTally(members member.Set) *tally {
	return &tally{members: members, counts: map[string]count{}}
}

// add records an entry. It returns whether the member was asked before, and whether its
// outcome is a new one.
func (t *tally) add(c count) (again, changed bool) {
	before, again := t.counts[c.ID]
	t.counts[c.ID] = c
	return again, before.Counted != c.Counted || before.Error != c.Error
}

// list returns the entries of all members and former members.
func (t *tally) list() []count {
	found := maps.Clone(t.counts)
	for _, m := range t.members.Members() {
		if _, ok := found[m.ID]; !ok {
			found[m.ID] = newCount(t.members, m, countedNotAsked, report.Report{}, nil)
		}
	}
	var counts []count
	for _, m := range t.members.Gone() {
		c := newCount(t.members, m.Target, countedGone, report.Report{}, nil)
		if asked, ok := found[c.ID]; ok && asked.Started == c.Started {
			// It was dropped after it was asked, or is the leader.
			delete(found, c.ID)
			c.Error = asked.Error
			if asked.Counted == countedDemoted || asked.Counted == countedNotDemoted {
				c = asked
			}
		}
		c.Why, c.MissingMs, c.AgoMs = m.Why, m.MissingFor().Milliseconds(), (t.members.At - m.At).Milliseconds()
		counts = append(counts, c)
	}
	counts = slices.AppendSeq(counts, maps.Values(found))
	slices.SortFunc(counts, func(a, b count) int { return strings.Compare(a.ID, b.ID) })
	return counts
}

// count records how a member is counted, and returns whether its outcome is a new one.
func (p *Promoter) count(t target.Target, counted string, r report.Report, err error) bool {
	c := newCount(p.tally.members, t, counted, r, err)
	again, changed := p.tally.add(c)
	if again && changed {
		p.log.Info("target counted anew", zap.Any("Member", c))
	}
	return changed
}

// logCounts logs what the replacement of a leader that was prepared under a lease rests
// on. safe is set if the chosen target may be ordered to lead.
func (p *Promoter) logCounts(l lease.Lease, leader, chosen, why string, safe bool) {
	p.log.Info("members counted", zap.String("Why", why), zap.Uint64("Token", l.Token), zap.Bool("Reserve", l.Reserve), zap.Bool("Safe", safe),
		zap.String("Leader", leader), zap.String("Chosen", chosen), zap.String("Noted", p.pending.Target), zap.String("Former", p.pending.Former),
		zap.Uint64("FormerTerm", p.pending.FormerTerm), zap.Any("Members", p.tally.list()))
}

// answer returns the name of the platform's answer to an order that ended with err.
func answer(err error) string {
	switch {
	case err == nil:
		return "accepted"
	case errors.Is(err, ErrFenced):
		return "refused"
	}
	return "none"
}
