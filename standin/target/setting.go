package target

import (
	"fmt"
	"strconv"
	"strings"
)

// runSetting runs SHOW, SET, RESET, DISCARD and DEALLOCATE. Hosts read the member's
// report with SHOW, and fence and promote the member with SET. RESET and DISCARD
// clear all settings. DEALLOCATE has no effect.
func (s *session) runSetting(keyword, text string) (*result, error) {
	switch keyword {
	case "SHOW":
		return s.show(strings.TrimSpace(strings.TrimRight(text, "; \t\n")))
	case "SET":
		return s.set(strings.TrimRight(text, "; \t\n"))
	case "RESET", "DISCARD":
		if s.target.refusesSetting() {
			return nil, errSettingRefused
		}
		s.settings = map[string]string{}
	}
	return &result{tag: keyword}, nil
}

// show runs SHOW. A setting that was not set is an error, except search_path and
// default_transaction_read_only, which are empty then.
func (s *session) show(text string) (*result, error) {
	fields := strings.Fields(text)
	if len(fields) < 2 {
		return nil, &sqlError{"42601", "syntax error at end of input"}
	}
	name := strings.ToLower(fields[1])
	if name == positionSetting {
		return s.positionResult(), nil
	}
	value, ok := s.settings[name]
	if !ok && name != "search_path" && name != "default_transaction_read_only" {
		return nil, &sqlError{"42704", "unrecognized configuration parameter \"" + name + "\""}
	}
	return &result{columns: []column{{name, oidText}}, rows: [][]any{{value}}, tag: "SHOW"}, nil
}

// positionResult returns the result of SHOW pistachiotray.position. Its value is
// the member's report as numbers that are separated by spaces.
func (s *session) positionResult() *result {
	r := s.target.Report()
	line := make([]byte, 0, 64)
	for i, n := range [...]uint64{
		r.Term, boolToUint(r.Primary), r.Received.Term, r.Received.Position,
		r.Applied.Term, r.Applied.Position, r.Base.Term, r.Base.Position, boolToUint(r.Leaving), uint64(r.Slots),
	} {
		if i > 0 {
			line = append(line, ' ')
		}
		line = strconv.AppendUint(line, n, 10)
	}
	return &result{tag: "SHOW", columns: positionColumns, rows: [][]any{{line}}}
}

var positionColumns = []column{{positionSetting, oidText}}

func boolToUint(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

// set runs a SET statement. SESSION and LOCAL are treated alike. A SET statement
// that doesn't match setPattern is accepted without effect.
func (s *session) set(text string) (*result, error) {
	m := setPattern.FindStringSubmatch(text)
	if m == nil {
		return &result{tag: "SET"}, nil
	}
	name := strings.ToLower(m[1])
	switch name {
	case "pistachiotray.fence":
		return s.runTermOrder(m[2], s.target.Fence)
	case "pistachiotray.promote":
		return s.runTermOrder(m[2], s.target.Promote)
	}
	if s.target.refusesSetting() {
		return nil, errSettingRefused
	}
	s.settings[name] = m[2]
	return &result{tag: "SET"}, nil
}

// errSettingRefused is the error with which a member refuses to change a setting.
var errSettingRefused = &sqlError{"53200", "out of memory"}

// RefuseSettings makes the member refuse every nth change of a session's settings, and none if n
// is 0.
func (t *Target) RefuseSettings(n int) {
	t.refuseEvery.Store(int64(n))
}

// refusesSetting counts one change of settings and reports whether it is refused.
func (t *Target) refusesSetting() bool {
	n := t.refuseEvery.Load()
	return n > 0 && t.settingChanges.Add(1)%n == 0
}

// runTermOrder calls operation, which is Fence or Promote, with the term and the
// host in text. A space separates the two.
func (s *session) runTermOrder(text string, operation func(uint64, string) bool) (*result, error) {
	termText, host, _ := strings.Cut(text, " ")
	term, err := strconv.ParseUint(termText, 10, 64)
	if err != nil {
		return nil, &sqlError{"22023", "bad term"}
	}
	if !operation(term, host) {
		return nil, &sqlError{"55000", "a higher term, or this one to another host, was promised"}
	}
	return &result{tag: "SET"}, nil
}

// runCopy runs COPY ... TO STDOUT. For COPY ... FROM STDIN it only returns a result
// with copyInsert, and the caller must receive the rows and insert them. The rows
// are always in the text format.
func (s *session) runCopy(text string) (*result, error) {
	if m := copySelectPattern.FindStringSubmatch(text); m != nil {
		return s.copyOut(m[1])
	}
	m := copyPattern.FindStringSubmatch(text)
	if m == nil {
		return nil, &sqlError{"0A000", "this form of COPY is not supported here"}
	}
	columns := strings.TrimSpace(m[2])
	if strings.HasPrefix(strings.ToLower(m[3]), "to") {
		if columns == "" {
			columns = "*"
		}
		return s.copyOut("SELECT " + columns + " FROM " + m[1])
	}
	if columns != "" {
		columns = " (" + columns + ")"
	}
	return &result{copyInsert: "INSERT INTO " + m[1] + columns + " VALUES "}, nil
}

// copyOut runs the query of COPY ... TO STDOUT.
func (s *session) copyOut(text string) (*result, error) {
	res, err := s.queryRows("SELECT", text, nil)
	if err != nil {
		return nil, err
	}
	res.copyOut = true
	res.tag = fmt.Sprintf("COPY %d", len(res.rows))
	return res, nil
}

// insertCopyRows inserts the rows of COPY ... FROM STDIN, in a transaction of its
// own if the session has none open. After an error it rolls back its own
// transaction, or marks the session's open transaction as failed.
func (s *session) insertCopyRows(insert, data string) (*result, error) {
	implicit := !s.inTransaction
	if implicit {
		if _, err := s.begin("BEGIN"); err != nil {
			return nil, err
		}
	}
	n, err := s.insertCopyLines(insert, data)
	switch {
	case err != nil && implicit:
		_, _ = s.rollback()
	case err != nil:
		s.failed = true
	case implicit:
		_, err = s.commit()
	}
	return &result{tag: fmt.Sprintf("COPY %d", n)}, err
}

// insertCopyLines runs the insert statement for each line of data, which is in
// COPY's text format, and returns the number of rows inserted. It decodes no
// backslash escapes except \N for NULL.
func (s *session) insertCopyLines(insert, data string) (int, error) {
	n := 0
	for line := range strings.SplitSeq(data, "\n") {
		if line == "" || line == `\.` {
			continue
		}
		fields := strings.Split(line, "\t")
		args := make([]any, len(fields))
		placeholders := make([]string, len(fields))
		for i, f := range fields {
			placeholders[i] = fmt.Sprintf("$%d", i+1)
			if f != `\N` {
				args[i] = f
			}
		}
		if _, err := s.runSQL("INSERT", insert+"("+strings.Join(placeholders, ", ")+")", args); err != nil {
			return n, err
		}
		n++
	}
	return n, nil
}
