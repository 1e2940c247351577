// Package reqlog finds in log lines what happened to one request.
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
	// before is how long before a request's end what its host noticed counts
	// to it: longer than any statement's timeout in use.
	before = 5 * time.Second
	// lineLimit is the longest log line, in bytes.
	lineLimit = 1 << 20
	// statement is the message of the lines that tell how a request ended.
	statement = "statement"
)

// line is one log line.
type line struct {
	at      time.Time
	host    string
	message string
	fields  map[string]any
}

// RequestLog holds the lines that tell of one request.
type RequestLog struct {
	id     string
	lines  []line
	found  []line
	spoilt int
}

// New reads log lines of any number of hosts. What stands before a line's
// first brace is passed over; lines that can't be read are counted.
func New(r io.Reader, id string) (*RequestLog, error) {
	s := &RequestLog{id: id}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, lineLimit)
	for lines.Scan() {
		s.add(lines.Text())
	}
	return s, wrap.If(lines.Err(), "New")
}

func (s *RequestLog) add(text string) {
	_, text, ok := strings.Cut(text, "{")
	if !ok {
		return
	}
	var f map[string]any
	if json.Unmarshal([]byte("{"+text), &f) != nil {
		s.spoilt++
		return
	}
	at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(f["Time"]))
	if err != nil {
		s.spoilt++
		return
	}
	l := line{at, fmt.Sprint(f["Host"]), fmt.Sprint(f["Message"]), f}
	for _, known := range []string{"Time", "Host", "Message", "Level"} {
		delete(f, known)
	}
	switch {
	case f["ID"] == s.id:
		s.found = append(s.found, l)
	case l.message != statement:
		s.lines = append(s.lines, l)
	}
}

// Found tells whether any line tells of the request.
func (s *RequestLog) Found() bool {
	return len(s.found) > 0
}

// Write writes the lines, one each, in order: how the request ended at
// each host, and what these hosts noticed of its group in the time before.
func (s *RequestLog) Write(w io.Writer) error {
	told := slices.Clone(s.found)
	for _, l := range s.lines {
		if slices.ContainsFunc(s.found, func(f line) bool { return l.concerns(f) }) {
			told = append(told, l)
		}
	}
	slices.SortStableFunc(told, func(a, b line) int { return a.at.Compare(b.at) })
	for _, l := range told {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return errors.Wrap(err, "RequestLog.Write")
		}
	}
	if s.spoilt > 0 {
		_, err := fmt.Fprintf(w, "%d lines could not be read\n", s.spoilt)
		return wrap.If(err, "RequestLog.Write")
	}
	return nil
}

// concerns tells whether a line of the same host belongs to a request that
// ended shortly after it.
func (l line) concerns(f line) bool {
	age := f.at.Sub(l.at)
	if l.host != f.host || age < 0 || age > before {
		return false
	}
	for _, name := range []string{"Group", "Caller"} {
		if mine, ok := l.fields[name]; ok && f.fields[name] != nil && mine != f.fields[name] {
			return false
		}
	}
	return true
}

// String returns the line as it is read best.
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
