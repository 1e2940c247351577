// Package reqlog finds the log lines that concern one request.
package reqlog

import (
	"bufio"
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
)

// line is one log line.
type line struct {
	at      time.Time
	host    string
	message string
	fields  map[string]any
}

// RequestLog contains the log lines of one request, and the other lines that
// may be related to the request.
type RequestLog struct {
	id           string
	otherLines   []line
	requestLines []line
	// unreadable counts the lines that could not be parsed.
	unreadable int
}

// New reads the log lines of any number of hosts for the request with the given
// ID. Text before a line's first brace is skipped. Lines without a brace are
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
// lines, but ignores it if it reports the end of another request.
func (rl *RequestLog) add(text string) {
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
	l := line{at, fmt.Sprint(fields["Host"]), fmt.Sprint(fields["Message"]), fields}
	for _, known := range []string{"Time", "Host", "Message", "Level"} {
		delete(fields, known)
	}
	switch {
	case fields["ID"] == rl.id:
		rl.requestLines = append(rl.requestLines, l)
	case l.message != statementMessage:
		rl.otherLines = append(rl.otherLines, l)
	}
}

// Found reports whether any line belongs to the request.
func (rl *RequestLog) Found() bool {
	return len(rl.requestLines) > 0
}

// Write writes one line of text per selected log line, ordered by time: the
// request's own lines, which report how it ended at each host, and the lines of
// these hosts from shortly before that may be related to it. If lines were
// unreadable, a last line states their number.
func (rl *RequestLog) Write(w io.Writer) error {
	selected := slices.Clone(rl.requestLines)
	for _, l := range rl.otherLines {
		if slices.ContainsFunc(rl.requestLines, func(request line) bool { return l.relatesTo(request) }) {
			selected = append(selected, l)
		}
	}
	slices.SortStableFunc(selected, func(a, b line) int { return a.at.Compare(b.at) })
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
// not name another group or caller.
func (l line) relatesTo(request line) bool {
	age := request.at.Sub(l.at)
	if l.host != request.host || age < 0 || age > relatedWithin {
		return false
	}
	for _, name := range []string{"Group", "Caller"} {
		if value, ok := l.fields[name]; ok && request.fields[name] != nil && value != request.fields[name] {
			return false
		}
	}
	return true
}

// String returns the time, host and message, followed by the fields ordered by
// name.
func (l line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.at.Format("15:04:05.000"), l.host, l.message)
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		text, err := json.Marshal(l.fields[name])
		if err != nil {
			text = []byte("?")
		}
		fmt.Fprintf(&b, " %s=%s", name, text)
	}
	return b.String()
}
