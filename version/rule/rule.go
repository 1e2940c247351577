// Package rule defines the condition under which a request belongs to a class.
package rule

import (
	"slices"

	"github.com/pistachiotray/pistachiotray/version/class"
)

// Rule assigns requests to a class by their attributes. An empty field matches
// any value. A Rule is immutable.
type Rule struct {
	// Databases lists the names of the database groups that the rule applies to.
	Databases []string
	// User is the name of the caller's database user.
	User string
	// Application is the caller's application_name.
	Application string
	// Label is the value of the comment /*Label='…'*/ in the request.
	Label string
	// Class is the class that matching requests get.
	Class class.Class
}

// New returns a rule that assigns class c to all requests for the given
// databases, or to all requests if none is given.
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

// Specificity returns the rank of the rule; rules with a higher rank are tried
// first. A label adds more to the rank than all other fields together, an
// application more than a user and databases together, and a user more than
// databases.
func (r Rule) Specificity() int {
	rank := 0
	for _, set := range []bool{r.Label != "", r.Application != "", r.User != "", len(r.Databases) > 0} {
		rank *= 2
		if set {
			rank++
		}
	}
	return rank
}
