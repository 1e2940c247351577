// Package publ publishes service files as new configuration versions.
package publ

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/connection/cloud"
	"github.com/pistachiotray/pistachiotray/process/config"
	"github.com/pistachiotray/pistachiotray/process/record"
	"github.com/pistachiotray/pistachiotray/version/bundle"
)

const (
	// maxAttempts is the maximum number of version numbers that one publication
	// tries to claim.
	maxAttempts = 10
	// resolveAttempts is the maximum number of attempts to find out the outcome
	// of a write whose answer was lost.
	resolveAttempts = 5
	// resolvePause is the pause before each attempt to find out the outcome of a
	// write.
	resolvePause = 200 * time.Millisecond
)

// ErrChanged is returned when another publication changed one of the same
// services after the base version.
var ErrChanged = errors.New("the same service was changed by another publication")

// ErrNotAccepted is returned when the publication was not accepted and cannot
// come into force later either.
var ErrNotAccepted = errors.New("not accepted")

// ErrUnknown is returned when the store did not answer, so that it is not known
// whether the version was accepted.
var ErrUnknown = errors.New("not known whether it was accepted; publish again under the same publication id")

// store is the platform's table service and object store.
type store interface {
	// Scan returns the rows whose key begins with prefix, in the order of their
	// keys. If last is true, it returns only the last of these rows.
	Scan(ctx context.Context, prefix string, last bool) ([]record.Row, error)
	// Commit writes rows atomically if the stored rows still have the given
	// versions. Otherwise it writes none and returns cloud.ErrConflict.
	Commit(ctx context.Context, rows ...record.Row) error
	// PutObject writes an object unless one of that name exists.
	PutObject(ctx context.Context, name string, body []byte) error
	// GetObject returns the content of an object, or cloud.ErrNotFound if there
	// is none of that name.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Publisher publishes service files. Each publication becomes one new version.
type Publisher struct {
	store  store
	author string
	now    func() time.Time
	pause  func(time.Duration)
}

// WithPause returns an option that sets the function that waits before each
// attempt to find out the outcome of a write. The default is time.Sleep.
func WithPause(pause func(time.Duration)) func(*Publisher) {
	return func(p *Publisher) { p.pause = pause }
}

// New returns a Publisher that records author as the author of its versions.
func New(s store, author string, options ...func(*Publisher)) *Publisher {
	p := &Publisher{store: s, author: author, now: time.Now, pause: time.Sleep}
	for _, o := range options {
		o(p)
	}
	return p
}

// Head returns the newest version, or an empty bundle of version 0 if there is
// none.
func (p *Publisher) Head(ctx context.Context) (bundle.Bundle, error) {
	rows, err := p.store.Scan(ctx, config.RowPrefix(), true)
	if err != nil {
		return bundle.Bundle{}, errors.Wrap(err, "Publisher.Head")
	}
	if len(rows) == 0 {
		return bundle.New(), nil
	}
	return p.read(ctx, rows[len(rows)-1])
}

// read returns the bundle in the object that a version's row names.
func (p *Publisher) read(ctx context.Context, r record.Row) (bundle.Bundle, error) {
	body, err := p.store.GetObject(ctx, string(r.Value))
	if err != nil {
		return bundle.Bundle{}, errors.Wrap(err, "Publisher.read")
	}
	return bundle.Decode(body)
}

// Version returns the bundle of a version, or an error if there is no such
// version.
func (p *Publisher) Version(ctx context.Context, version uint64) (bundle.Bundle, error) {
	rows, err := p.store.Scan(ctx, config.RowKey(version), false)
	if err != nil {
		return bundle.Bundle{}, errors.Wrap(err, "Publisher.Version")
	}
	if len(rows) == 0 {
		return bundle.Bundle{}, errors.Errorf("there is no version %d", version)
	}
	return p.read(ctx, rows[0])
}

// History returns up to n versions, the newest first.
func (p *Publisher) History(ctx context.Context, n int) ([]bundle.Bundle, error) {
	rows, err := p.store.Scan(ctx, config.RowPrefix(), false)
	if err != nil {
		return nil, errors.Wrap(err, "Publisher.History")
	}
	slices.Reverse(rows)
	var all []bundle.Bundle
	for _, r := range rows[:min(n, len(rows))] {
		b, err := p.read(ctx, r)
		if err != nil {
			return nil, err
		}
		all = append(all, b)
	}
	return all, nil
}

// Publish publishes the changed files, by service, as a new version, and
// returns that version. base is the version to which the changes were made. If
// others have published since, the new version is based on theirs. If they
// changed one of the same services, Publish returns ErrChanged. The name of the
// publication is an idempotency key: all calls with the same name create at most
// one version.
func (p *Publisher) Publish(ctx context.Context, base bundle.Bundle, publication string, changed map[string]string) (bundle.Bundle, error) {
	done, err := p.findPublication(ctx, publication)
	if err != nil || done.Version > 0 {
		return done, err
	}
	for range maxAttempts {
		head, err := p.Head(ctx)
		if err != nil {
			return bundle.Bundle{}, err
		}
		if err := checkConflict(base, head, changed); err != nil {
			return bundle.Bundle{}, err
		}
		next := head.WithFiles(changed).WithPublication(publication, p.author, p.now().UTC())
		if _, err := next.Policy(); err != nil {
			return bundle.Bundle{}, errors.Wrap(err, "the version would not be valid")
		}
		ok, err := p.commit(ctx, next)
		if err != nil || ok {
			return next, err
		}
	}
	return bundle.Bundle{}, errors.Wrap(ErrNotAccepted, "others were faster each time")
}

// checkConflict returns ErrChanged if the file of a service in changed differs
// between base and head.
func checkConflict(base, head bundle.Bundle, changed map[string]string) error {
	var conflicting []string
	for service := range maps.Keys(changed) {
		if base.Files[service] != head.Files[service] {
			conflicting = append(conflicting, service)
		}
	}
	if len(conflicting) == 0 {
		return nil
	}
	slices.Sort(conflicting)
	return errors.Wrapf(ErrChanged, "%s, in a version from %d to %d", strings.Join(conflicting, ", "), base.Version+1, head.Version)
}

// commit tries to claim the bundle's version number. It returns false if another
// bundle has claimed the number.
func (p *Publisher) commit(ctx context.Context, b bundle.Bundle) (bool, error) {
	name, err := p.putBody(ctx, b)
	if err != nil {
		return false, err
	}
	err = p.store.Commit(ctx, record.New(config.RowKey(b.Version), []byte(name)))
	if err == nil {
		return true, nil
	}
	if errors.Is(err, cloud.ErrConflict) {
		return p.isCommitted(ctx, b.Version, name)
	}
	return p.resolveOutcome(ctx, b, name)
}

// putBody writes the body of a bundle and returns its object name. The body has
// no effect until the version's row names this object.
func (p *Publisher) putBody(ctx context.Context, b bundle.Bundle) (string, error) {
	body, err := b.Encode()
	if err != nil {
		return "", err
	}
	name := config.ObjectName(b.Version, b.Publication)
	if err := p.store.PutObject(ctx, name, body); err != nil {
		return "", errors.Wrap(ErrNotAccepted, err.Error())
	}
	return name, nil
}

// isCommitted reports whether a version's row names the given object. After a
// conflict, this is true if an earlier attempt of the same write took effect.
func (p *Publisher) isCommitted(ctx context.Context, version uint64, name string) (bool, error) {
	rows, err := p.store.Scan(ctx, config.RowKey(version), false)
	if err != nil {
		return false, ErrUnknown
	}
	return len(rows) > 0 && string(rows[0].Value) == name, nil
}

// resolveOutcome finds out whether a write whose answer was lost took effect. If
// the version number is still unclaimed, it claims the number with a bundle that
// changes nothing, so that the write cannot take effect even if it arrives
// later.
func (p *Publisher) resolveOutcome(ctx context.Context, b bundle.Bundle, name string) (bool, error) {
	for range resolveAttempts {
		p.pause(resolvePause)
		rows, err := p.store.Scan(ctx, config.RowKey(b.Version), false)
		if err != nil {
			continue
		}
		if len(rows) > 0 {
			return string(rows[0].Value) == name, nil
		}
		if p.blockVersion(ctx, b) {
			return false, nil
		}
	}
	return false, ErrUnknown
}

// blockVersion claims the version of b with a bundle that has the same files as
// the previous version. It reports whether that succeeded.
func (p *Publisher) blockVersion(ctx context.Context, b bundle.Bundle) bool {
	previous, err := p.Head(ctx)
	if err != nil || previous.Version+1 != b.Version {
		return false
	}
	unchanged := previous.WithFiles(nil).WithPublication(b.Publication+"-settled", p.author, p.now().UTC())
	name, err := p.putBody(ctx, unchanged)
	if err != nil {
		return false
	}
	return p.store.Commit(ctx, record.New(config.RowKey(unchanged.Version), []byte(name))) == nil
}

// findPublication returns the version that a publication created, or an empty
// bundle of version 0 if there is none. The rows name the objects, whose names
// end with the publication's name.
func (p *Publisher) findPublication(ctx context.Context, publication string) (bundle.Bundle, error) {
	rows, err := p.store.Scan(ctx, config.RowPrefix(), false)
	if err != nil {
		return bundle.Bundle{}, errors.Wrap(err, "Publisher.findPublication")
	}
	for _, r := range rows {
		if strings.HasSuffix(string(r.Value), "-"+publication) {
			return p.read(ctx, r)
		}
	}
	return bundle.New(), nil
}

// Rollback publishes the files of an earlier version as a new version. It
// returns an error if there is no such version or if the newest version has the
// same files.
func (p *Publisher) Rollback(ctx context.Context, version uint64, publication string) (bundle.Bundle, error) {
	earlier, err := p.Version(ctx, version)
	if err != nil {
		return bundle.Bundle{}, err
	}
	head, err := p.Head(ctx)
	if err != nil {
		return bundle.Bundle{}, err
	}
	changed := Changes(head, earlier)
	if len(changed) == 0 {
		return bundle.Bundle{}, errors.Errorf("version %d has the same files as version %d in force", version, head.Version)
	}
	return p.Publish(ctx, head, publication, changed)
}

// Changes returns the files, by service, whose publication turns one bundle
// into another. An empty file removes the service.
func Changes(from, to bundle.Bundle) map[string]string {
	changed := map[string]string{}
	for service, text := range to.Files {
		if from.Files[service] != text {
			changed[service] = text
		}
	}
	for service := range from.Files {
		if _, ok := to.Files[service]; !ok {
			changed[service] = ""
		}
	}
	return changed
}

// Diff returns the lines that were removed and added between two versions, with
// a heading for each changed service.
func Diff(from, to bundle.Bundle) []string {
	var lines []string
	changed := Changes(from, to)
	for _, service := range slices.Sorted(maps.Keys(changed)) {
		lines = append(lines, fmt.Sprintf("service %s:", service))
		before := strings.Split(from.Files[service], "\n")
		after := strings.Split(to.Files[service], "\n")
		lines = append(lines, missingLines("-", before, after)...)
		lines = append(lines, missingLines("+", after, before)...)
	}
	return lines
}

// missingLines returns the lines that other does not contain, each prefixed
// with the sign. It skips blank lines.
func missingLines(sign string, lines, other []string) []string {
	var missing []string
	for _, l := range lines {
		if strings.TrimSpace(l) != "" && !slices.Contains(other, l) {
			missing = append(missing, "  "+sign+" "+l)
		}
	}
	return missing
}
