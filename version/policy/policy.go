// Package policy assigns requests to classes by the rules of one configuration
// version.
package policy

import (
	"slices"

	"github.com/pistachiotray/pistachiotray/version/class"
	"github.com/pistachiotray/pistachiotray/version/rule"
)

// Policy holds the rules of all services at one configuration version. It is
// immutable: a request keeps the policy that it began with.
type Policy struct {
	version uint64
	rules   []rule.Rule
}

// New returns a policy with rules. The most specific rule is tried first and,
// among equally specific ones, the first in the argument list.
func New(version uint64, rules ...rule.Rule) *Policy {
	sorted := slices.Clone(rules)
	slices.SortStableFunc(sorted, func(a, b rule.Rule) int { return b.Specificity() - a.Specificity() })
	return &Policy{version: version, rules: sorted}
}

// Version returns the version number; 0 is the policy before any service file.
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
