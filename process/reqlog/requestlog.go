// Package reqlog finds the log lines that concern one request or one target.
package reqlog

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/process/wrap"
)

const (
	// relatedWithin is how long before the end of a request another log line of
	// the same host may be related to the request. It is longer than the
	// timeout of any statement in use.
	relatedWithin = 5 * time.Second
	// maxLineBytes is the longest log line that can be read, in bytes.
	maxLineBytes = 1 << 20
	// statementMessage is the message of the lines that report how a request
	// ended.
	statementMessage = "statement"
	// membersField is the field with the members of a group.
	membersField = "Members"
)

// line is one log line.
type line struct {
	// number is the line's place in the input.
	number  int
	at      time.Time
	host    string
	message string
	fields  map[string]any
}

// RequestLog contains the log lines of one request or target, and the other lines that
// may be related to it.
type RequestLog struct {
	id           string
	otherLines   []line
	requestLines []line
	// read counts the lines, and unreadable those that could not be parsed.
	read, unreadable int
}

// New reads the log lines of any number of hosts for the request or target with the
// given ID, or for the refusals of a caller or of the callers of a database with that name. Text before a line's first brace is skipped. Lines without a brace are
// ignored, and lines that can't be parsed are counted.
func New(r io.Reader, id string) (*RequestLog, error) {
	rl := &RequestLog{id: id}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		rl.add(lines.Text())
	}
	return rl, wrap.If(lines.Err(), "read log lines")
}

// add parses a log line. It adds the line to the request's lines or the other
// lines, but ignores it if it reports the end or commit of another request.
func (rl *RequestLog) add(text string) {
	rl.read++
	_, text, ok := strings.Cut(text, "{")
	if !ok {
		return
	}
	var fields map[string]any
	if json.Unmarshal([]byte("{"+text), &fields) != nil {
		rl.unreadable++
		return
	}
	at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(fields["Time"]))
	if err != nil {
		rl.unreadable++
		return
	}
	l := line{rl.read, at, fmt.Sprint(fields["Host"]), fmt.Sprint(fields["Message"]), fields}
	for _, known := range []string{"Time", "Host", "Message", "Level"} {
		delete(fields, known)
	}
	switch {
	case fields["ID"] == rl.id || l.isRefusalOf(rl.id):
		rl.requestLines = append(rl.requestLines, l)
	case l.message != statementMessage && l.message != commitMessage:
		rl.otherLines = append(rl.otherLines, l)
	}
}

// Found reports whether any line belongs to the request or target.
func (rl *RequestLog) Found() bool {
	return len(rl.requestLines) > 0 || len(rl.promotionLines()) > 0
}

// Write writes one line of text per selected log line, ordered by time: the
// request's own lines, which report how it ended at each host, and the lines of
// these hosts from shortly before that may be related to it. For a commit that was
// acknowledged, it adds what the host knew of the group then, and the replacements of
// the group's leader since. For a target, it writes the replacements in which the target
// was ordered to lead. For a refusal, also of a key in an open session, it adds how the configuration had reached the host.
// Members of a group follow on lines of their own. If lines were
// unreadable, a last line states their number.
func (rl *RequestLog) Write(w io.Writer) error {
	selected := slices.Concat(rl.requestLines, rl.viewLines(), rl.promotionLines(), rl.planLines())
	for _, l := range rl.otherLines {
		if slices.ContainsFunc(rl.requestLines, func(request line) bool { return l.relatesTo(request) }) {
			selected = append(selected, l)
		}
	}
	slices.SortFunc(selected, func(a, b line) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.number, b.number)) })
	selected = slices.CompactFunc(selected, func(a, b line) bool { return a.number == b.number })
	for _, l := range selected {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return errors.Wrap(err, "write log lines")
		}
	}
	if rl.unreadable > 0 {
		_, err := fmt.Fprintf(w, "%d lines could not be read\n", rl.unreadable)
		return wrap.If(err, "write count of unreadable lines")
	}
	return nil
}

// relatesTo reports whether l may be related to a request, given the line that
// reports the request's end: the same host logged l shortly before, and l does
// not name another group, caller or customer.
func (l line) relatesTo(request line) bool {
	age := request.at.Sub(l.at)
	if l.host != request.host || age < 0 || age > relatedWithin {
		return false
	}
	for _, name := range []string{"Group", "Caller", "Customer"} {
		if value, ok := l.fields[name]; ok && request.fields[name] != nil && value != request.fields[name] {
			return false
		}
	}
	return true
}

// String returns the time, host and message, followed by the fields ordered by name. Each
// of the members of a group follows on a line of its own.
func (l line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.at.Format("15:04:05.000"), l.host, l.message)
	members, _ := l.fields[membersField].([]any)
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if name != membersField || members == nil {
			writeField(&b, name, l.fields[name])
		}
	}
	for _, m := range members {
		b.WriteString("\n   ")
		fields, ok := m.(map[string]any)
		if !ok {
			writeField(&b, membersField, m)
		}
		for _, name := range slices.SortedFunc(maps.Keys(fields), idFirst) {
			writeField(&b, name, fields[name])
		}
	}
	return b.String()
}

// idFirst orders names of fields, with ID first.
func idFirst(a, b string) int {
	switch "ID" {
	case a:
		return -1
	case b:
		return 1
	}
	return strings.Compare(a, b)
}

func writeField(b *strings.Builder, name string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		text = []byte("?")
	}
	fmt.Fprintf(b, " %s=%s", name, text)
}
