// Package bundle holds the body of one configuration version.
package bundle

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/process/wrap"
	"github.com/pistachiotray/pistachiotray/version/file"
	"github.com/pistachiotray/pistachiotray/version/policy"
	"github.com/pistachiotray/pistachiotray/version/rule"
)

// Bundle is one version of all services' files together. A Bundle is
// immutable; Files must not be written to.
type Bundle struct {
	// Version is the bundle's number, from 1.
	Version uint64
	// Publication names the act of publishing that made it, over all tries.
	Publication string
	// By says who published it, At when.
	By string
	At time.Time
	// Services are those whose file was changed by it; none marks a version
	// that only settles the fate of another.
	Services []string
	// Files holds the text of each service's file by the service's name.
	Files map[string]string
}

// New returns the empty bundle before the first version.
func New() Bundle {
	return Bundle{Files: map[string]string{}}
}

// Decode reads a bundle's stored form.
func Decode(body []byte) (Bundle, error) {
	b := New()
	err := json.Unmarshal(body, &b)
	return b, wrap.If(err, "Decode")
}

// Encode returns the bundle's stored form.
func (b Bundle) Encode() ([]byte, error) {
	body, err := json.Marshal(b)
	return body, wrap.If(err, "Bundle.Encode")
}

// WithFiles returns the next bundle with some services' files replaced; an
// empty text removes a service's file.
func (b Bundle) WithFiles(changed map[string]string) Bundle {
	b.Version++
	b.Files = maps.Clone(b.Files)
	b.Services = nil
	for service, text := range changed {
		b.Services = append(b.Services, service)
		if text == "" {
			delete(b.Files, service)
			continue
		}
		b.Files[service] = text
	}
	slices.Sort(b.Services)
	return b
}

// WithPublication returns the bundle with the act that made it.
func (b Bundle) WithPublication(id, by string, at time.Time) Bundle {
	b.Publication = id
	b.By = by
	b.At = at
	return b
}

// WithVersion returns the bundle under another number.
func (b Bundle) WithVersion(version uint64) Bundle {
	b.Version = version
	return b
}

// Policy returns the policy that the bundle states.
func (b Bundle) Policy() (*policy.Policy, error) {
	var rules []rule.Rule
	var found []error
	for _, service := range slices.Sorted(maps.Keys(b.Files)) {
		f, err := file.New(service, []byte(b.Files[service]))
		if err != nil {
			found = append(found, err)
			continue
		}
		rules = append(rules, f.Rules...)
	}
	if len(found) > 0 {
		return nil, errors.Join(found...)
	}
	return policy.New(b.Version, rules...), nil
}
