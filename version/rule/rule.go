// Package rule holds how one class of requests is recognised.
package rule

import (
	"slices"

	"github.com/pistachiotray/pistachiotray/version/class"
)

// Rule names a class of requests by what is known of them. An empty field
// matches all. A Rule is immutable.
type Rule struct {
	// Databases are the database groups that the rule is for.
	Databases []string
	// User is the caller's name.
	User string
	// Application is the caller's application_name.
	Application string
	// Label is the value of a comment /*Label='…'*/ in the request.
	Label string
	// Class is what the requests need.
	Class class.Class
}

// New returns a rule that gives all requests to the databases a class.
func New(c class.Class, databases ...string) Rule {
	return Rule{Databases: databases, Class: c}
}

// WithUser returns the rule for one user only.
func (r Rule) WithUser(user string) Rule {
	r.User = user
	return r
}

// WithApplication returns the rule for one application only.
func (r Rule) WithApplication(application string) Rule {
	r.Application = application
	return r
}

// WithLabel returns the rule for one label only.
func (r Rule) WithLabel(label string) Rule {
	r.Label = label
	return r
}

// Matches tells whether the rule is for such a request.
func (r Rule) Matches(database, user, application, label string) bool {
	return (len(r.Databases) == 0 || slices.Contains(r.Databases, database)) &&
		(r.User == "" || r.User == user) &&
		(r.Application == "" || r.Application == application) &&
		(r.Label == "" || r.Label == label)
}

// Weight orders rules: the one that asks for more goes first.
func (r Rule) Specificity() int {
	n := 0
	for _, given := range []bool{r.Label != "", r.Application != "", r.User != "", len(r.Databases) > 0} {
		n *= 2
		if given {
			n++
		}
	}
	return n
}
