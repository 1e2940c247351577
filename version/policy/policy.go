// Package policy assigns requests to classes according to the rules of one
// configuration version.
package policy

import (
	"slices"

	"github.com/pistachiotray/pistachiotray/version/class"
	"github.com/pistachiotray/pistachiotray/version/rule"
)

// Policy holds the rules of all services in one configuration version. A Policy is
// immutable, so a new version doesn't change the class of a request that has begun.
type Policy struct {
	version uint64
	// rules are in the order in which they are tried.
	rules []rule.Rule
}

// New returns a policy with rules. More specific rules are tried first. Equally
// specific rules are tried in the order of the arguments.
func New(version uint64, rules ...rule.Rule) *Policy {
	sorted := slices.Clone(rules)
	slices.SortStableFunc(sorted, func(a, b rule.Rule) int { return b.Specificity() - a.Specificity() })
	return &Policy{version: version, rules: sorted}
}

// Version returns the number of the configuration version. It is 0 before the
// first version.
func (p *Policy) Version() uint64 {
	return p.version
}

// Rules returns the rules in the order in which they are tried.
func (p *Policy) Rules() []rule.Rule {
	return slices.Clone(p.rules)
}

// Resolve returns the class of the first rule that matches a request, or the
// default class.
func (p *Policy) Resolve(database, user, application, label string) class.Class {
	for _, r := range p.rules {
		if r.Matches(database, user, application, label) {
			return r.Class
		}
	}
	return class.Defaults()
}

// WithVersion returns the policy with another version number.
func (p *Policy) WithVersion(version uint64) *Policy {
	return &Policy{version: version, rules: p.rules}
}
