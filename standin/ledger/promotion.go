package ledger

import (
	"fmt"
	"slices"
	"strings"
)

// promote makes a member lead the next term with its log, and rolls the other members back
// to what they share with it. It does nothing if the member does not run or leads already.
func (l *Ledger) promote(g *group, id, holder string, token uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := g.members[id]
	if l.promoteLeast {
		for _, o := range g.members {
			if m == nil || o.up && len(o.log) < len(m.log) {
				m = o
			}
		}
	}
	if m == nil || !m.up || g.leads(m) {
		return
	}
	l.promotions++
	l.logf("PROMOTE %s %s to term %d, %d entries, ordered by %s token %d, after %s", g.name, m.id, g.term+1, len(m.log), holder, token, g.leader)
	l.check(g, m, holder, token)
	g.term++
	g.leader, g.demoted = m.id, false
	for _, o := range g.members {
		o.log = o.log[:commonPrefix(o.log, m.log)]
	}
}

// check records each acknowledged commit that is not in the log of a member that is about
// to lead; the caller holds the lock.
func (l *Ledger) check(g *group, m *member, holder string, token uint64) {
	has := map[string]bool{}
	for _, e := range m.log {
		has[e] = true
	}
	kept := g.acked[:0]
	for _, c := range g.acked {
		if has[c.entry] {
			kept = append(kept, c)
			continue
		}
		var having []string
		for _, o := range g.members {
			if slices.Contains(o.log, c.entry) {
				having = append(having, fmt.Sprintf("%s (up %t)", o.id, o.up))
			}
		}
		slices.Sort(having)
		at, _, _ := strings.Cut(c.entry, "\n")
		l.lost = append(l.lost, fmt.Sprintf("LOST: %s: %s, promoted to term %d with %d entries by %s token %d, lacks %s, acknowledged by %s to %s at %s; held by %v",
			g.name, m.id, g.term+1, len(m.log), holder, token, at, c.leader, c.caller, c.at.UTC().Format("15:04:05.000000"), having))
		l.logf("%s", l.lost[len(l.lost)-1])
	}
	g.acked = kept
}

// commonPrefix returns the length of the longest common prefix of two logs.
func commonPrefix(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}
