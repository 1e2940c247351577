// Package bundle defines the stored content of one configuration version.
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

// Bundle is one configuration version: the files of all services. A Bundle is
// immutable; Files must not be written to.
type Bundle struct {
	// Version is the bundle's number, from 1.
	Version uint64
	// Publication is the id of the publication that created the bundle. All
	// attempts to write the same publication share the id.
	Publication string
	// By is the name of the operator who published the bundle.
	By string
	// At is the time of the publication.
	At time.Time
	// Services lists the services whose files the publication changed. If it is
	// empty, the bundle only occupies its version number. A delayed write of another
	// bundle with the same number can then no longer take effect.
	Services []string
	// Files holds the text of each service's file by the name of the service.
	Files map[string]string
}

// New returns an empty bundle with version 0, which precedes the first version.
func New() Bundle {
	return Bundle{Files: map[string]string{}}
}

// Decode decodes a stored bundle.
func Decode(body []byte) (Bundle, error) {
	b := New()
	err := json.Unmarshal(body, &b)
	return b, wrap.If(err, "decode a stored bundle")
}

// Encode returns the bundle as JSON, the form in which it is stored.
func (b Bundle) Encode() ([]byte, error) {
	body, err := json.Marshal(b)
	return body, wrap.If(err, "Bundle.Encode")
}

// WithFiles returns the bundle of the next version, in which the files in changed
// replace those of the same services. An empty text removes a service's file.
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

// WithPublication returns the bundle with the id, the author and the time of its
// publication.
func (b Bundle) WithPublication(id, by string, at time.Time) Bundle {
	b.Publication = id
	b.By = by
	b.At = at
	return b
}

// WithVersion returns the bundle with another version number.
func (b Bundle) WithVersion(version uint64) Bundle {
	b.Version = version
	return b
}

// Policy returns the policy with the rules of all files. If files are invalid, the
// error lists the errors of all of them.
func (b Bundle) Policy() (*policy.Policy, error) {
	var rules []rule.Rule
	var errs []error
	for _, service := range slices.Sorted(maps.Keys(b.Files)) {
		f, err := file.New(service, []byte(b.Files[service]))
		if err != nil {
			errs = append(errs, err)
			continue
		}
		rules = append(rules, f.Rules...)
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return policy.New(b.Version, rules...), nil
}
