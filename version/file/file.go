// Package file decodes service files. A service file is a TOML file in which a
// service defines the classes of its requests.
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

// File is one decoded service file. A File is immutable.
type File struct {
	// Service is the name of the service, unique among all files.
	Service string
	// Rules assigns the service's requests to its classes, with one rule per
	// class.
	Rules []rule.Rule
}

// New decodes and validates a service file. name is the file's name in errors. The
// error lists every problem in the text, one per line, as name:line: problem. If
// the text is not valid TOML, the error is the first syntax error.
func New(name string, text []byte) (File, error) {
	root := map[string]any{}
	if err := toml.Unmarshal(text, &root); err != nil {
		return File{}, syntaxError(name, err)
	}
	d := &decoder{name: name, lines: keyLines(text)}
	f := d.decodeFile(root)
	if len(d.errs) > 0 {
		return File{}, errors.Join(d.errs...)
	}
	return f, nil
}

// syntaxError returns a decoding error of the TOML library with the name of the
// file and the number of the line.
func syntaxError(name string, err error) error {
	var d *toml.DecodeError
	if errors.As(err, &d) {
		line, _ := d.Position()
		return errors.Errorf("%s:%d: %s", name, line, strings.TrimPrefix(d.Error(), "toml: "))
	}
	return errors.Errorf("%s:1: %s", name, err)
}

// keyLines returns the line number of each key by the key's path. In a path,
// Name[n] is table n, counted from 0, of the array of tables Name.
func keyLines(text []byte) map[string]int {
	lines := map[string]int{}
	counts := map[string]int{}
	var p unstable.Parser
	p.Reset(text)
	prefix := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.ArrayTable:
			path := keyPath(e)
			prefix = fmt.Sprintf("%s[%d].", path, counts[path])
			counts[path]++
			lines[strings.TrimSuffix(prefix, ".")] = keyLine(&p, e)
		case unstable.Table:
			prefix = keyPath(e) + "."
		case unstable.KeyValue:
			lines[prefix+keyPath(e)] = keyLine(&p, e)
		}
	}
	return lines
}

// keyPath returns the dotted key of an expression.
func keyPath(e *unstable.Node) string {
	var parts []string
	for k := e.Key(); k.Next(); {
		parts = append(parts, string(k.Node().Data))
	}
	return strings.Join(parts, ".")
}

// keyLine returns the line number of the key of an expression, or 1 if it has no
// key.
func keyLine(p *unstable.Parser, e *unstable.Node) int {
	k := e.Key()
	if !k.Next() {
		return 1
	}
	return p.Shape(k.Node().Raw).Start.Line
}

// decoder decodes one file and collects its errors.
type decoder struct {
	name string
	// lines holds the result of keyLines.
	lines map[string]int
	errs  []error
}

// addError records an error with the line of the key at path, or line 1 if the
// text has no such key.
func (d *decoder) addError(path, format string, args ...any) {
	line := d.lines[path]
	if line == 0 {
		line = 1
	}
	d.errs = append(d.errs, errors.Errorf("%s:%d: %s", d.name, line, fmt.Sprintf(format, args...)))
}

// decodeFile decodes and validates the whole file. The result may be used only if
// no error was added.
func (d *decoder) decodeFile(root map[string]any) File {
	d.checkKeys(root, "", "Service", "Databases", "Weight", "RatePerSecond", "Class")
	defaults := class.Defaults()
	f := File{Service: d.stringField(root, "", "Service")}
	if f.Service == "" {
		d.addError("Service", "Service: must not be empty")
	}
	databases := d.stringList(root, "", "Databases")
	if len(databases) == 0 {
		d.addError("Databases", "Databases: must name at least one database")
	}
	defaults.Service = f.Service
	defaults.Weight = int(d.intField(root, "", "Weight", class.DefaultWeight))
	defaults.RatePerSecond = d.floatField(root, "", "RatePerSecond")
	tables, ok := root["Class"].([]any)
	if !ok && root["Class"] != nil {
		d.addError("Class", "Class: must be an array of tables, [[Class]]")
	}
	if len(tables) == 0 {
		d.addError("Class", "Class: at least one is needed")
	}
	seen := map[string]bool{}
	for i, v := range tables {
		table, ok := v.(map[string]any)
		if !ok {
			continue
		}
		path := fmt.Sprintf("Class[%d]", i)
		f.Rules = append(f.Rules, d.decodeClass(table, path, defaults, databases))
		name := f.Rules[i].Class.Name
		if seen[name] {
			d.addError(path+".Name", "Name: %q is used twice", name)
		}
		seen[name] = true
	}
	return f
}

// decodeClass decodes the table of a class at path. defaults holds the fields that
// the file sets for all of its classes: the service, the rate limit and the weight.
// The table may replace the weight.
func (d *decoder) decodeClass(table map[string]any, path string, defaults class.Class, databases []string) rule.Rule {
	p := path + "."
	d.checkKeys(table, p, "Name", "Label", "User", "Application", "Read", "MaxAge", "Once", "Repeatable", "Long", "Deadline", "Weight")
	c := defaults
	c.Name = d.stringField(table, p, "Name")
	c.Read = d.boolField(table, p, "Read")
	c.MaxAge = d.durationField(table, p, "MaxAge", 0)
	c.Once = d.boolField(table, p, "Once")
	c.Repeatable = d.boolField(table, p, "Repeatable")
	c.Long = d.boolField(table, p, "Long")
	c.Deadline = d.durationField(table, p, "Deadline", class.DefaultDeadline)
	c.Weight = int(d.intField(table, p, "Weight", int64(defaults.Weight)))
	if err := c.Validate(); err != nil {
		for line := range strings.SplitSeq(err.Error(), "\n") {
			field, _, _ := strings.Cut(line, ":")
			d.addError(d.fieldPath(path, field), "%s", line)
		}
	}
	return rule.New(c, databases...).
		WithLabel(d.stringField(table, p, "Label")).
		WithUser(d.stringField(table, p, "User")).
		WithApplication(d.stringField(table, p, "Application"))
}

// fieldPath returns the path of a field of the class at path, or path itself if
// the file doesn't set the field.
func (d *decoder) fieldPath(path, field string) string {
	if _, ok := d.lines[path+"."+field]; ok {
		return path + "." + field
	}
	return path
}

// checkKeys adds an error for each key of table t that is not one of names.
func (d *decoder) checkKeys(t map[string]any, prefix string, names ...string) {
	for key := range t {
		if !slices.Contains(names, key) {
			d.addError(prefix+key, "%s: unknown field; known are %s", key, strings.Join(names, ", "))
		}
	}
}

// In the methods below, prefix is the path of table t followed by a dot, or empty
// for the whole file. Each method adds an error if the value of the key is invalid.

// stringField returns the string at a key of table t. It returns "" if the key is
// missing or its value is invalid.
func (d *decoder) stringField(t map[string]any, prefix, key string) string {
	v, ok := t[key]
	if !ok {
		return ""
	}
	s, ok := v.(string)
	if !ok {
		d.addError(prefix+key, "%s: must be a text in quotes", key)
	}
	return s
}

// stringList returns the valid elements of the list of strings at a key of table t.
// An element is invalid if it is empty or not a string.
func (d *decoder) stringList(t map[string]any, prefix, key string) []string {
	list, ok := t[key].([]any)
	if !ok && t[key] != nil {
		d.addError(prefix+key, "%s: must be a list of texts", key)
	}
	var values []string
	for _, v := range list {
		s, ok := v.(string)
		if !ok || s == "" {
			d.addError(prefix+key, "%s: must be a list of texts", key)
			continue
		}
		values = append(values, s)
	}
	return values
}

// boolField returns the boolean at a key of table t. It returns false if the key is
// missing or its value is invalid.
func (d *decoder) boolField(t map[string]any, prefix, key string) bool {
	v, ok := t[key]
	if !ok {
		return false
	}
	b, ok := v.(bool)
	if !ok {
		d.addError(prefix+key, "%s: must be true or false", key)
	}
	return b
}

// intField returns the integer at a key of table t, which must be at least 1. It
// returns fallback if the key is missing or its value is invalid.
func (d *decoder) intField(t map[string]any, prefix, key string, fallback int64) int64 {
	v, ok := t[key]
	if !ok {
		return fallback
	}
	n, ok := v.(int64)
	if !ok || n < 1 {
		d.addError(prefix+key, "%s: must be a whole number of 1 or more", key)
		return fallback
	}
	return n
}

// floatField returns the number at a key of table t, which must not be negative. It
// returns 0 if the key is missing or its value is invalid.
func (d *decoder) floatField(t map[string]any, prefix, key string) float64 {
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
	d.addError(prefix+key, "%s: must be a number of 0 or more", key)
	return 0
}

// durationField returns the duration that the string at a key of table t encodes,
// which must not be negative. It returns fallback if the key is missing or its value
// is invalid.
func (d *decoder) durationField(t map[string]any, prefix, key string, fallback time.Duration) time.Duration {
	v, ok := t[key]
	if !ok {
		return fallback
	}
	s, ok := v.(string)
	parsed, err := time.ParseDuration(s)
	if !ok || err != nil || parsed < 0 {
		d.addError(prefix+key, "%s: must be a span of time in quotes, for example \"2s\" or \"500ms\"", key)
		return fallback
	}
	return parsed
}
