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
	// Publication identifies the act of publishing that created it; all
	// attempts of that act share it.
	Publication string
	// By is who published it, At when.
	By string
	At time.Time
	// Services are those whose file it changed. A version without any takes its
	// number so that an unanswered write of another bundle under that number
	// can't take effect later.
	Services []string
	// Files holds the text of each service's file by the service's name.
	Files map[string]string
}

// New returns the empty bundle before the first version.
func New() Bundle {
	return Bundle{Files: map[string]string{}}
}

// Decode decodes a stored bundle.
func Decode(body []byte) (Bundle, error) {
	b := New()
	err := json.Unmarshal(body, &b)
	return b, wrap.If(err, "Decode")
}

// Encode returns the bundle as it is stored.
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

// WithPublication returns the bundle with the act of publishing that created
// it.
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

// Policy returns the policy of all files. The error lists the errors of every
// file.
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
