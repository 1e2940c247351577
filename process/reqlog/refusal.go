package reqlog

import "slices"

// refusalMessage is the message of the lines that report that a caller was not served.
const refusalMessage = "caller refused"

// unknownKeyOutcome is the outcome of a statement of an open session whose key belongs to no
// customer any more.
const unknownKeyOutcome = "UnknownKey"

// planMessages are the messages of the lines that report how the configuration reaches a
// host.
var planMessages = []string{
	"started", "plan adopted", "invalid configuration skipped", "invalid customer left out", "upstream chosen",
	"copy of a table is late", "copy of a table is current again", "store lost", "store regained",
}

// isRefusalOf reports whether the line reports that a caller, or a caller of a database, was
// not served.
func (l line) isRefusalOf(name string) bool {
	return l.message == refusalMessage && (l.fields["Caller"] == name || l.fields["Reason"] == name)
}

// refusals returns the lines that report that callers, or statements of open sessions, were
// not served because of the plan.
func (rl *RequestLog) refusals() []line {
	return slices.DeleteFunc(slices.Clone(rl.requestLines), func(l line) bool {
		return l.message != refusalMessage && l.fields["Outcome"] != unknownKeyOutcome
	})
}

// planLines returns for each refusal the last line of each of planMessages that its host
// logged before.
func (rl *RequestLog) planLines() []line {
	var found []line
	for _, refusal := range rl.refusals() {
		last := map[string]line{}
		for _, l := range rl.otherLines {
			before, ok := last[l.message]
			if l.host == refusal.host && slices.Contains(planMessages, l.message) && !l.at.After(refusal.at) && (!ok || !l.at.Before(before.at)) {
				last[l.message] = l
			}
		}
		for _, message := range planMessages {
			if l, ok := last[message]; ok {
				found = append(found, l)
			}
		}
	}
	return found
}
