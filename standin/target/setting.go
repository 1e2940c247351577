package target

import (
	"fmt"
	"strconv"
	"strings"
)

// setting runs the statements about settings, and the member's own.
func (s *session) setting(word, text string) (*rows, error) {
	switch word {
	case "SHOW":
		return s.show(strings.TrimSpace(strings.TrimRight(text, "; \t\n")))
	case "SET":
		return s.set(strings.TrimRight(text, "; \t\n"))
	case "RESET", "DISCARD":
		s.settings = map[string]string{}
	}
	return &rows{tag: word}, nil
}

func (s *session) show(text string) (*rows, error) {
	fields := strings.Fields(text)
	if len(fields) < 2 {
		return nil, &sqlError{"42601", "syntax error at end of input"}
	}
	name := strings.ToLower(fields[1])
	if name == positionName {
		return s.position(), nil
	}
	value, ok := s.settings[name]
	if !ok && name != "search_path" && name != "default_transaction_read_only" {
		return nil, &sqlError{"42704", "unrecognized configuration parameter \"" + name + "\""}
	}
	return &rows{columns: []column{{name, oidText}}, values: [][]any{{value}}, tag: "SHOW"}, nil
}

func (s *session) position() *rows {
	r := s.target.Report()
	text := make([]byte, 0, 64)
	for i, n := range [...]uint64{
		r.Term, flag(r.Primary), r.Received.Term, r.Received.Position,
		r.Applied.Term, r.Applied.Position, r.Base.Term, r.Base.Position, flag(r.Leaving), uint64(r.Slots),
	} {
		if i > 0 {
			text = append(text, ' ')
		}
		text = strconv.AppendUint(text, n, 10)
	}
	return &rows{tag: "SHOW", columns: positionColumns, values: [][]any{{text}}}
}

var positionColumns = []column{{positionName, oidText}}

func flag(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

func (s *session) set(text string) (*rows, error) {
	m := setPattern.FindStringSubmatch(text)
	if m == nil {
		return &rows{tag: "SET"}, nil
	}
	name := strings.ToLower(m[1])
	switch name {
	case "pistachiotray.fence":
		return s.ordered(m[2], s.target.Fence)
	case "pistachiotray.promote":
		return s.ordered(m[2], s.target.Promote)
	}
	s.settings[name] = m[2]
	return &rows{tag: "SET"}, nil
}

// ordered carries out a fence or a promotion.
func (s *session) ordered(text string, order func(uint64, string) bool) (*rows, error) {
	number, by, _ := strings.Cut(text, " ")
	term, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return nil, &sqlError{"22023", "bad term"}
	}
	if !order(term, by) {
		return nil, &sqlError{"55000", "a higher term, or this one to another host, was promised"}
	}
	return &rows{tag: "SET"}, nil
}

// copyStatement begins a COPY of a table in text form.
func (s *session) copyStatement(text string) (*rows, error) {
	if m := copySelect.FindStringSubmatch(text); m != nil {
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
	return &rows{copyIn: "INSERT INTO " + m[1] + columns + " VALUES "}, nil
}

func (s *session) copyOut(text string) (*rows, error) {
	out, err := s.fetch("SELECT", text, nil)
	if err != nil {
		return nil, err
	}
	out.copyOut = true
	out.tag = fmt.Sprintf("COPY %d", len(out.values))
	return out, nil
}

// copyRows inserts the rows of a COPY in one transaction.
func (s *session) copyRows(insert, data string) (*rows, error) {
	mine := !s.open
	if mine {
		if _, err := s.begin("BEGIN"); err != nil {
			return nil, err
		}
	}
	n, err := s.copyLines(insert, data)
	switch {
	case err != nil && mine:
		_, _ = s.rollback()
	case err != nil:
		s.failed = true
	case mine:
		_, err = s.commit()
	}
	return &rows{tag: fmt.Sprintf("COPY %d", n)}, err
}

func (s *session) copyLines(insert, data string) (int, error) {
	n := 0
	for line := range strings.SplitSeq(data, "\n") {
		if line == "" || line == `\.` {
			continue
		}
		fields := strings.Split(line, "\t")
		args := make([]any, len(fields))
		marks := make([]string, len(fields))
		for i, f := range fields {
			marks[i] = fmt.Sprintf("$%d", i+1)
			if f != `\N` {
				args[i] = f
			}
		}
		if _, err := s.query("INSERT", insert+"("+strings.Join(marks, ", ")+")", args); err != nil {
			return n, err
		}
		n++
	}
	return n, nil
}
