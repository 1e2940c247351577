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
	// noticedWithin is how long before a request's end the other log lines of
	// its host count as related to it: longer than the timeout of any statement
	// in use.
	noticedWithin = 5 * time.Second
	// maxLineBytes is the longest log line that is read, in bytes.
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

// RequestLog holds the lines of one request, and the other lines that may be
// related to it.
type RequestLog struct {
	id           string
	otherLines   []line
	requestLines []line
	unreadable   int
}

// New reads the log lines of any number of hosts. Text before a line's first
// brace is skipped; lines that can't be parsed are counted.
func New(r io.Reader, id string) (*RequestLog, error) {
	rl := &RequestLog{id: id}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		rl.add(lines.Text())
	}
	return rl, wrap.If(lines.Err(), "New")
}

func (rl *RequestLog) add(text string) {
	_, text, ok := strings.Cut(text, "{")
	if !ok {
		return
	}
	var f map[string]any
	if json.Unmarshal([]byte("{"+text), &f) != nil {
		rl.unreadable++
		return
	}
	at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(f["Time"]))
	if err != nil {
		rl.unreadable++
		return
	}
	l := line{at, fmt.Sprint(f["Host"]), fmt.Sprint(f["Message"]), f}
	for _, known := range []string{"Time", "Host", "Message", "Level"} {
		delete(f, known)
	}
	switch {
	case f["ID"] == rl.id:
		rl.requestLines = append(rl.requestLines, l)
	case l.message != statementMessage:
		rl.otherLines = append(rl.otherLines, l)
	}
}

// Found reports whether any line belongs to the request.
func (rl *RequestLog) Found() bool {
	return len(rl.requestLines) > 0
}

// Write writes one line of text per log line, ordered by time: how the request
// ended at each host, and what these hosts logged about its group shortly
// before.
func (rl *RequestLog) Write(w io.Writer) error {
	selected := slices.Clone(rl.requestLines)
	for _, l := range rl.otherLines {
		if slices.ContainsFunc(rl.requestLines, func(f line) bool { return l.relatesTo(f) }) {
			selected = append(selected, l)
		}
	}
	slices.SortStableFunc(selected, func(a, b line) int { return a.at.Compare(b.at) })
	for _, l := range selected {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return errors.Wrap(err, "RequestLog.Write")
		}
	}
	if rl.unreadable > 0 {
		_, err := fmt.Fprintf(w, "%d lines could not be read\n", rl.unreadable)
		return wrap.If(err, "RequestLog.Write")
	}
	return nil
}

// relatesTo reports whether l was logged by the same host, about the same group
// and caller if it names them, shortly before the request of line f ended.
func (l line) relatesTo(f line) bool {
	age := f.at.Sub(l.at)
	if l.host != f.host || age < 0 || age > noticedWithin {
		return false
	}
	for _, name := range []string{"Group", "Caller"} {
		if mine, ok := l.fields[name]; ok && f.fields[name] != nil && mine != f.fields[name] {
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
