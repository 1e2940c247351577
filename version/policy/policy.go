// Package policy holds one accepted version of the configuration.
package policy

import (
	"slices"

	"github.com/pistachiotray/pistachiotray/version/class"
	"github.com/pistachiotray/pistachiotray/version/rule"
)

// Policy is what all services state, at one version. It is immutable: a
// request keeps the policy that it began with.
type Policy struct {
	version uint64
	rules   []rule.Rule
}

// New returns a policy of the rules, of which the one that asks for more goes
// first and, among equals, the one given first.
func New(version uint64, rules ...rule.Rule) *Policy {
	sorted := slices.Clone(rules)
	slices.SortStableFunc(sorted, func(a, b rule.Rule) int { return b.Specificity() - a.Specificity() })
	return &Policy{version: version, rules: sorted}
}

// Version returns the version's number; 0 is the policy without any file.
func (p *Policy) Version() uint64 {
	return p.version
}

// Rules returns the rules in the order in which they are tried.
func (p *Policy) Rules() []rule.Rule {
	return slices.Clone(p.rules)
}

// Resolve returns the class of a request.
func (p *Policy) Resolve(database, user, application, label string) class.Class {
	for _, r := range p.rules {
		if r.Matches(database, user, application, label) {
			return r.Class
		}
	}
	return class.Defaults()
}

// WithVersion returns the policy under another number.
func (p *Policy) WithVersion(version uint64) *Policy {
	return &Policy{version: version, rules: p.rules}
}
