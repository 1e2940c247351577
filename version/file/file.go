// Package file reads the short file in which a service states its needs.
package file

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/pistachiotray/pistachiotray/version/class"
	"github.com/pistachiotray/pistachiotray/version/rule"
)

// File is one service's file. A File is immutable.
type File struct {
	// Service is the service's name, unique over all files.
	Service string
	// Rules recognise the service's classes of requests.
	Rules []rule.Rule
}

// New reads a service file. The error lists every fault in the text with its
// line, each in the form name:line: fault.
func New(name string, text []byte) (File, error) {
	tree := map[string]any{}
	if err := toml.Unmarshal(text, &tree); err != nil {
		return File{}, syntaxError(name, err)
	}
	r := &reader{name: name, lines: linesOf(text)}
	f := r.file(tree)
	if len(r.found) > 0 {
		return File{}, errors.Join(r.found...)
	}
	return f, nil
}

func syntaxError(name string, err error) error {
	var d *toml.DecodeError
	if errors.As(err, &d) {
		line, _ := d.Position()
		return errors.Errorf("%s:%d: %s", name, line, strings.TrimPrefix(d.Error(), "toml: "))
	}
	return errors.Errorf("%s:1: %s", name, err)
}

// linesOf returns the line of each key by its path; the n-th table of an
// array has the path Name[n].
func linesOf(text []byte) map[string]int {
	lines := map[string]int{}
	counts := map[string]int{}
	var p unstable.Parser
	p.Reset(text)
	prefix := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.ArrayTable:
			path := keyOf(e)
			prefix = fmt.Sprintf("%s[%d].", path, counts[path])
			counts[path]++
			lines[strings.TrimSuffix(prefix, ".")] = lineOf(&p, e)
		case unstable.Table:
			prefix = keyOf(e) + "."
		case unstable.KeyValue:
			lines[prefix+keyOf(e)] = lineOf(&p, e)
		}
	}
	return lines
}

func keyOf(e *unstable.Node) string {
	var parts []string
	for k := e.Key(); k.Next(); {
		parts = append(parts, string(k.Node().Data))
	}
	return strings.Join(parts, ".")
}

func lineOf(p *unstable.Parser, e *unstable.Node) int {
	k := e.Key()
	if !k.Next() {
		return 1
	}
	return p.Shape(k.Node().Raw).Start.Line
}

// reader collects the faults of one text.
type reader struct {
	name  string
	lines map[string]int
	found []error
}

func (r *reader) fault(path, format string, args ...any) {
	line := r.lines[path]
	if line == 0 {
		line = 1
	}
	r.found = append(r.found, errors.Errorf("%s:%d: %s", r.name, line, fmt.Sprintf(format, args...)))
}

func (r *reader) file(tree map[string]any) File {
	r.known(tree, "", "Service", "Databases", "Weight", "RatePerSecond", "Class")
	base := class.Defaults()
	f := File{Service: r.text(tree, "", "Service")}
	if f.Service == "" {
		r.fault("Service", "Service: must not be empty")
	}
	databases := r.texts(tree, "", "Databases")
	if len(databases) == 0 {
		r.fault("Databases", "Databases: must name at least one database")
	}
	base.Service = f.Service
	base.Weight = int(r.number(tree, "", "Weight", class.DefaultWeight))
	base.RatePerSecond = r.decimal(tree, "", "RatePerSecond")
	classes, ok := tree["Class"].([]any)
	if !ok && tree["Class"] != nil {
		r.fault("Class", "Class: must be an array of tables, [[Class]]")
	}
	if len(classes) == 0 {
		r.fault("Class", "Class: at least one is needed")
	}
	seen := map[string]bool{}
	for i, c := range classes {
		table, ok := c.(map[string]any)
		if !ok {
			continue
		}
		path := fmt.Sprintf("Class[%d]", i)
		f.Rules = append(f.Rules, r.class(table, path, base, databases))
		name := f.Rules[i].Class.Name
		if seen[name] {
			r.fault(path+".Name", "Name: %q is used twice", name)
		}
		seen[name] = true
	}
	return f
}

func (r *reader) class(t map[string]any, path string, base class.Class, databases []string) rule.Rule {
	p := path + "."
	r.known(t, p, "Name", "Label", "User", "Application", "Read", "MaxAge", "Once", "Repeatable", "Long", "Deadline", "Weight")
	c := base
	c.Name = r.text(t, p, "Name")
	c.Read = r.flag(t, p, "Read")
	c.MaxAge = r.span(t, p, "MaxAge", 0)
	c.Once = r.flag(t, p, "Once")
	c.Repeatable = r.flag(t, p, "Repeatable")
	c.Long = r.flag(t, p, "Long")
	c.Deadline = r.span(t, p, "Deadline", class.DefaultDeadline)
	c.Weight = int(r.number(t, p, "Weight", int64(base.Weight)))
	if err := c.Validate(); err != nil {
		for line := range strings.SplitSeq(err.Error(), "\n") {
			field, _, _ := strings.Cut(line, ":")
			r.fault(r.lineFor(path, field), "%s", line)
		}
	}
	return rule.New(c, databases...).
		WithLabel(r.text(t, p, "Label")).
		WithUser(r.text(t, p, "User")).
		WithApplication(r.text(t, p, "Application"))
}

// lineFor returns the path of a class's field where it is given, or of the
// class.
func (r *reader) lineFor(path, field string) string {
	if _, ok := r.lines[path+"."+field]; ok {
		return path + "." + field
	}
	return path
}

func (r *reader) known(t map[string]any, prefix string, names ...string) {
	for key := range t {
		if !slices.Contains(names, key) {
			r.fault(prefix+key, "%s: unknown field; known are %s", key, strings.Join(names, ", "))
		}
	}
}

func (r *reader) text(t map[string]any, prefix, key string) string {
	v, ok := t[key]
	if !ok {
		return ""
	}
	s, ok := v.(string)
	if !ok {
		r.fault(prefix+key, "%s: must be a text in quotes", key)
	}
	return s
}

func (r *reader) texts(t map[string]any, prefix, key string) []string {
	list, ok := t[key].([]any)
	if !ok && t[key] != nil {
		r.fault(prefix+key, "%s: must be a list of texts", key)
	}
	var texts []string
	for _, v := range list {
		s, ok := v.(string)
		if !ok || s == "" {
			r.fault(prefix+key, "%s: must be a list of texts", key)
			continue
		}
		texts = append(texts, s)
	}
	return texts
}

func (r *reader) flag(t map[string]any, prefix, key string) bool {
	v, ok := t[key]
	if !ok {
		return false
	}
	b, ok := v.(bool)
	if !ok {
		r.fault(prefix+key, "%s: must be true or false", key)
	}
	return b
}

func (r *reader) number(t map[string]any, prefix, key string, otherwise int64) int64 {
	v, ok := t[key]
	if !ok {
		return otherwise
	}
	n, ok := v.(int64)
	if !ok || n < 1 {
		r.fault(prefix+key, "%s: must be a whole number of 1 or more", key)
		return otherwise
	}
	return n
}

func (r *reader) decimal(t map[string]any, prefix, key string) float64 {
	switch v := t[key].(type) {
	case nil:
		return 0
	case int64:
		if v >= 0 {
			return float64(v)
		}
	case float64:
		if v >= 0 {
			return v
		}
	}
	r.fault(prefix+key, "%s: must be a number of 0 or more", key)
	return 0
}

func (r *reader) span(t map[string]any, prefix, key string, otherwise time.Duration) time.Duration {
	v, ok := t[key]
	if !ok {
		return otherwise
	}
	s, ok := v.(string)
	d, err := time.ParseDuration(s)
	if !ok || err != nil || d < 0 {
		r.fault(prefix+key, "%s: must be a span of time in quotes, for example \"2s\" or \"500ms\"", key)
		return otherwise
	}
	return d
}
