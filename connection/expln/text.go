package expln

import (
	"bytes"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/version/route"
)

// columnGap is the number of spaces between two columns of the table of targets.
const columnGap = 2

// Lines returns the explanation as lines of text: one for the request, its result, its route, its
// customer and its group, a table of the targets, and the lenders of each. Times are in
// milliseconds, and "-" where they are not known.
func (e Explanation) Lines() []string {
	verb, who := "read", ""
	if e.Writes {
		verb = "write"
	}
	if e.Customer != nil {
		who = " for " + e.Customer.Name
	}
	lines := []string{fmt.Sprintf("request   %s of %s%s at %s, plan %d", verb, e.Database, who, e.Host, e.Plan), "result    " + e.outcome()}
	if e.Route != nil {
		lines = append(lines, "route     "+e.Route.text())
	}
	if e.Customer != nil {
		lines = append(lines, "customer  "+e.Customer.text())
	}
	if e.Group != nil {
		lines = append(lines, "group     "+e.Group.text())
		lines = append(lines, e.Group.table()...)
	}
	return lines
}

// outcome returns the result with the predicted wait or the reason of the refusal.
func (e Explanation) outcome() string {
	switch {
	case code.Code(e.Code) != code.Done:
		return fmt.Sprintf("refused, %s (%d): %s", e.Result, e.Code, e.Reason)
	case e.Reason != "":
		return fmt.Sprintf("%s, then sent after %s ms", e.Reason, number(e.WaitMs))
	}
	return fmt.Sprintf("sent after %s ms", number(e.WaitMs))
}

func (v *routeView) text() string {
	kind := v.Kind
	if v.Kind != kindNames[route.Primary] {
		kind += " up to " + number(v.MaxAgeMs) + " ms"
	}
	return fmt.Sprintf("group %s, %s, timeout %s ms, objective %s ms, priority %d, public %t", v.Group, kind, number(v.TimeoutMs), number(v.ObjectiveMs), v.Priority, v.Public)
}

func (v *customerView) text() string {
	if v.Here == nil {
		return fmt.Sprintf("%s, priority %d, no limit", v.Name, v.Priority)
	}
	limit := fmt.Sprintf("%s, priority %d, %g/s and %g at once on all hosts", v.Name, v.Priority, v.RatePerS, v.Burst)
	if v.Here.ValidMs <= 0 {
		return limit + "; nothing of it here, coordinator " + name(v.Here.Coordinator)
	}
	return fmt.Sprintf("%s; here %.1f/s and %.1f at once, %.1f left, renewed %s ms ago, valid %s ms, coordinator %s",
		limit, v.Here.RatePerS, v.Here.Burst, v.Here.Left, number(v.Here.AgeMs), number(v.Here.ValidMs), name(v.Here.Coordinator))
}

func (v *groupView) text() string {
	parts := []string{"leader " + name(v.Leader)}
	if v.Leader != "" && !v.LeaderUsable {
		parts[0] += " gets no new work"
	}
	if v.Doubted {
		parts[0] += " may be being replaced"
	}
	parts = append(parts, v.Rule)
	if v.Shared {
		parts = append(parts, "hosts share connections")
	}
	if v.PositionKnown {
		parts = append(parts, "reads from "+v.Position+" on are fresh enough")
	}
	return strings.Join(append(parts, "waits up to "+number(v.MaxWaitMs)+" ms"), "; ")
}

// table returns the table of the targets, and a line for each of their lenders.
func (v *groupView) table() []string {
	var b bytes.Buffer
	w := tabwriter.NewWriter(&b, 0, 0, columnGap, ' ', 0)
	// A bytes.Buffer returns no errors, so that neither the writer nor its Flush does.
	_, _ = fmt.Fprintln(w, "target\tzone\trole\tshare\testimate\tslot wait\tload\tage\theard\tlag\town\topen\tidle\twaiting\twait\tnote")
	for _, t := range v.Targets {
		c := t.Connections
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t%s\t%s\t%.1f of %d\t%s\t%s\t%s\t%.2f\t%d of %d\t%d of %d\t%d\t%s\t%s\n",
			t.ID, t.Zone, t.role(), t.Share, number(t.EstimateMs), number(t.SlotWaitMs), t.Outstanding, t.Slots, number(t.ReportAgeMs), number(t.HeardMs), t.lag(),
			t.OwnShare, c.OfCustomer, c.Open, c.IdleOfCustomer, c.Idle, c.Waiting, c.wait(), t.note())
	}
	_ = w.Flush()
	var lines []string
	for line := range strings.Lines(b.String()) {
		lines = append(lines, strings.TrimRight(line, " \n"))
	}
	for _, t := range v.Targets {
		for _, l := range t.Lenders {
			lines = append(lines, "  "+t.ID+" through "+l.text())
		}
	}
	return lines
}

func (t targetView) role() string {
	if t.Leads {
		return "leader"
	}
	return "replica"
}

// lag returns the lag and the age of its report, or "-" if the target never reported.
func (t targetView) lag() string {
	if t.LagAgeMs < 0 {
		return "-"
	}
	return number(t.LagMs) + " (" + number(t.LagAgeMs) + " ago)"
}

// note returns why the target is not chosen, and what else is unusual.
func (t targetView) note() string {
	var notes []string
	if t.Unusable != "" {
		notes = append(notes, t.Unusable)
	}
	if t.FailingMs >= 0 {
		notes = append(notes, "fails for "+number(t.FailingMs)+" ms")
	}
	if t.Check {
		notes = append(notes, "checked whether it caught up")
	}
	if t.Connections.Excess && t.OwnShare > 0 {
		notes = append(notes, "in excess of the customer's usual load")
	}
	return strings.Join(notes, ", ")
}

// wait returns the predicted wait for a connection.
func (c connectionsView) wait() string {
	switch {
	case c.Refused:
		return "refused"
	case c.Immediate:
		return "0"
	}
	return number(c.WaitMs)
}

func (l lenderView) text() string {
	text := fmt.Sprintf("%s, asked first with %.2f", l.Host, l.Share)
	if l.Self {
		text += ", this host"
	}
	if l.AgeMs >= 0 {
		text += fmt.Sprintf(", load %.1f (%s ms ago)", l.Load, number(l.AgeMs))
	}
	if l.Skipped {
		text += ", not reached lately"
	}
	return text
}

// number returns a time in whole milliseconds, or "-" if it is not known.
func number(ms float64) string {
	if ms < 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f", ms)
}

// name returns the name of a host or target, or "unknown" if it is empty.
func name(n string) string {
	if n == "" {
		return "unknown"
	}
	return n
}
