// Package rule defines the condition under which a request belongs to a class.
package rule

import (
	"slices"

	"github.com/pistachiotray/pistachiotray/version/class"
)

// Rule assigns requests to a class by their attributes. An empty field matches
// any value. A Rule is immutable.
type Rule struct {
	// Databases are the database groups that the rule applies to.
	Databases []string
	// User is the caller's name.
	User string
	// Application is the caller's application_name.
	Application string
	// Label is the value of a comment /*Label='…'*/ in the request.
	Label string
	// Class is the class of matching requests.
	Class class.Class
}

// New returns a rule that assigns all requests to the databases to a class.
func New(c class.Class, databases ...string) Rule {
	return Rule{Databases: databases, Class: c}
}

// WithUser returns the rule limited to one user.
func (r Rule) WithUser(user string) Rule {
	r.User = user
	return r
}

// WithApplication returns the rule limited to one application.
func (r Rule) WithApplication(application string) Rule {
	r.Application = application
	return r
}

// WithLabel returns the rule limited to one label.
func (r Rule) WithLabel(label string) Rule {
	r.Label = label
	return r
}

// Matches reports whether the rule applies to a request with these attributes.
func (r Rule) Matches(database, user, application, label string) bool {
	return (len(r.Databases) == 0 || slices.Contains(r.Databases, database)) &&
		(r.User == "" || r.User == user) &&
		(r.Application == "" || r.Application == application) &&
		(r.Label == "" || r.Label == label)
}

// Specificity ranks rules; the highest is tried first. A label outweighs an
// application, which outweighs a user, which outweighs databases.
func (r Rule) Specificity() int {
	n := 0
	for _, set := range []bool{r.Label != "", r.Application != "", r.User != "", len(r.Databases) > 0} {
		n *= 2
		if set {
			n++
		}
	}
	return n
}
