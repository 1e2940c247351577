package reqlog

import "slices"

const (
	// commitMessage is the message of the lines that report an acknowledged commit, and
	// viewMessage that of the lines that report what a host knew of a group then.
	commitMessage = "commit acknowledged"
	viewMessage   = "group view"
	// countMessage is the message of the line that lists the members that a replacement
	// of a leader rests on.
	countMessage = "members counted"
	// dropMessage is the message of the lines that report that a target is no longer a
	// member.
	dropMessage = "member dropped"
)

// promotionMessages are the messages of the lines that report the replacement of a leader.
var promotionMessages = []string{
	countMessage, dropMessage,
	"lease claimed", "leader serves while an order is pending", "leader demoted", "leader not demoted",
	"target not paused", "target did not stop receiving", "target counted anew", "takeover ready", "handover ready", "target elected",
	"replacement not safe", "promotion order not stored", "promotion ordered", "promotion not confirmed",
	"promoted target not reached", "promoted target does not lead", "promotion done", "lease not marked done",
}

func (l line) isPromotion() bool {
	return slices.Contains(promotionMessages, l.message)
}

// sharesField reports whether both lines have a field of this name, with the same value.
func (l line) sharesField(o line, name string) bool {
	return l.fields[name] != nil && l.fields[name] == o.fields[name]
}

// commits returns the lines that report that the request's commit was acknowledged.
func (rl *RequestLog) commits() []line {
	return slices.DeleteFunc(slices.Clone(rl.requestLines), func(l line) bool { return l.message != commitMessage })
}

// viewLines returns the lines with the views that the request's commits name. Views are
// numbered anew when a host's process starts, so the last such line before a commit counts.
func (rl *RequestLog) viewLines() []line {
	var found []line
	for _, c := range rl.commits() {
		var last []line
		for _, l := range rl.otherLines {
			if l.message == viewMessage && l.host == c.host && l.sharesField(c, "Group") && l.sharesField(c, "View") &&
				!l.at.After(c.at) && (last == nil || !l.at.Before(last[0].at)) {
				last = []line{l}
			}
		}
		found = append(found, last...)
	}
	return found
}

// orders returns the lines that report that the target with the log's ID was chosen or
// ordered to lead.
func (rl *RequestLog) orders() []line {
	return slices.DeleteFunc(slices.Clone(rl.otherLines), func(l line) bool {
		return (l.message != countMessage || l.fields["Chosen"] != rl.id) && (l.message != "promotion ordered" || l.fields["Target"] != rl.id)
	})
}

// promotionLines returns the lines about replacements of a leader: those of a commit's
// group after the commit, and those in which a target was ordered to lead or dropped.
func (rl *RequestLog) promotionLines() []line {
	commits, orders := rl.commits(), rl.orders()
	var found []line
	for _, l := range rl.otherLines {
		after := func(commit line) bool { return l.sharesField(commit, "Group") && !l.at.Before(commit.at) }
		partOf := func(order line) bool {
			return l.sharesField(order, "Group") && l.sharesField(order, "Token") || l.fields["Token"] == nil && l.relatesTo(order)
		}
		if l.isPromotion() && (slices.ContainsFunc(commits, after) || slices.ContainsFunc(orders, partOf) || l.message == dropMessage && l.fields["Target"] == rl.id) {
			found = append(found, l)
		}
	}
	return found
}
