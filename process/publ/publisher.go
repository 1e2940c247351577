// Package publ publishes configuration versions.
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
	// triesMost bounds the versions that one act of publishing tries to take.
	triesMost = 10
	// settleTries bounds the tries to learn the fate of a write without answer.
	settleTries = 5
	// settlePause is the pause between two of them.
	settlePause = 200 * time.Millisecond
)

// ErrChanged tells that somebody else changed the same service meanwhile.
var ErrChanged = errors.New("the same service was changed by another publication")

// ErrNotAccepted tells that nothing was put in force, and that nothing of this
// act can come into force later.
var ErrNotAccepted = errors.New("not accepted")

// ErrUnknown tells that the store did not answer: the version may be accepted.
var ErrUnknown = errors.New("not known whether it was accepted; publish again under the same publication id")

// store is the platform's table service and object store.
type store interface {
	// Scan returns rows by prefix.
	Scan(ctx context.Context, prefix string, last bool) ([]record.Row, error)
	// Commit writes rows where all have the versions given.
	Commit(ctx context.Context, rows ...record.Row) error
	// PutObject writes an object unless it exists.
	PutObject(ctx context.Context, name string, body []byte) error
	// GetObject returns an object.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Publisher puts services' files into force, one version after the other.
type Publisher struct {
	store store
	by    string
	now   func() time.Time
	pause func(time.Duration)
}

// WithPause returns an option that sets how the publisher waits.
func WithPause(pause func(time.Duration)) func(*Publisher) {
	return func(p *Publisher) { p.pause = pause }
}

// New returns a publisher on behalf of somebody.
func New(s store, by string, options ...func(*Publisher)) *Publisher {
	p := &Publisher{store: s, by: by, now: time.Now, pause: time.Sleep}
	for _, o := range options {
		o(p)
	}
	return p
}

// Head returns the newest version, the empty bundle where there is none.
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

func (p *Publisher) read(ctx context.Context, r record.Row) (bundle.Bundle, error) {
	body, err := p.store.GetObject(ctx, string(r.Value))
	if err != nil {
		return bundle.Bundle{}, errors.Wrap(err, "Publisher.read")
	}
	return bundle.Decode(body)
}

// Version returns one version.
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

// History returns all versions, the newest first, at most n.
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

// Publish puts files into force on top of the version base, which the caller
// has seen. Where others published meanwhile, it builds on theirs unless they
// changed one of the same services. The publication names the act over all
// tries: with the same name it takes effect at most once.
func (p *Publisher) Publish(ctx context.Context, base bundle.Bundle, publication string, changed map[string]string) (bundle.Bundle, error) {
	done, err := p.find(ctx, publication)
	if err != nil || done.Version > 0 {
		return done, err
	}
	for range triesMost {
		head, err := p.Head(ctx)
		if err != nil {
			return bundle.Bundle{}, err
		}
		if err := checkChanged(base, head, changed); err != nil {
			return bundle.Bundle{}, err
		}
		next := head.WithFiles(changed).WithPublication(publication, p.by, p.now().UTC())
		if _, err := next.Policy(); err != nil {
			return bundle.Bundle{}, errors.Wrap(err, "the version would not be valid")
		}
		ok, err := p.take(ctx, next)
		if err != nil || ok {
			return next, err
		}
	}
	return bundle.Bundle{}, errors.Wrap(ErrNotAccepted, "others were faster each time")
}

// checkChanged tells whether one of the services was changed since base.
func checkChanged(base, head bundle.Bundle, changed map[string]string) error {
	var both []string
	for service := range maps.Keys(changed) {
		if base.Files[service] != head.Files[service] {
			both = append(both, service)
		}
	}
	if len(both) == 0 {
		return nil
	}
	slices.Sort(both)
	return errors.Wrapf(ErrChanged, "%s, in a version from %d to %d", strings.Join(both, ", "), base.Version+1, head.Version)
}

// take tries to make a bundle its version. It returns false where the version
// went to somebody else.
func (p *Publisher) take(ctx context.Context, b bundle.Bundle) (bool, error) {
	name, err := p.put(ctx, b)
	if err != nil {
		return false, err
	}
	err = p.store.Commit(ctx, record.New(config.RowKey(b.Version), []byte(name)))
	if err == nil {
		return true, nil
	}
	if errors.Is(err, cloud.ErrConflict) {
		return p.mine(ctx, b.Version, name)
	}
	return p.settle(ctx, b, name)
}

// put writes the body of a bundle. A body alone puts nothing into force.
func (p *Publisher) put(ctx context.Context, b bundle.Bundle) (string, error) {
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

// mine tells whether a version's row names the body.
func (p *Publisher) mine(ctx context.Context, version uint64, name string) (bool, error) {
	rows, err := p.store.Scan(ctx, config.RowKey(version), false)
	if err != nil {
		return false, ErrUnknown
	}
	return len(rows) > 0 && string(rows[0].Value) == name, nil
}

// settle learns the fate of a write without answer. Where the version is still
// free it is taken by one that changes nothing: after that the write can't
// take effect any more, however late it comes.
func (p *Publisher) settle(ctx context.Context, b bundle.Bundle, name string) (bool, error) {
	for range settleTries {
		p.pause(settlePause)
		rows, err := p.store.Scan(ctx, config.RowKey(b.Version), false)
		if err != nil {
			continue
		}
		if len(rows) > 0 {
			return string(rows[0].Value) == name, nil
		}
		if p.block(ctx, b) {
			return false, nil
		}
	}
	return false, ErrUnknown
}

// block takes a version with a bundle like the one before it.
func (p *Publisher) block(ctx context.Context, b bundle.Bundle) bool {
	before, err := p.Head(ctx)
	if err != nil || before.Version+1 != b.Version {
		return false
	}
	empty := before.WithFiles(nil).WithPublication(b.Publication+"-settled", p.by, p.now().UTC())
	name, err := p.put(ctx, empty)
	if err != nil {
		return false
	}
	return p.store.Commit(ctx, record.New(config.RowKey(empty.Version), []byte(name))) == nil
}

// find returns the version that a publication made, version 0 where it made
// none yet.
func (p *Publisher) find(ctx context.Context, publication string) (bundle.Bundle, error) {
	rows, err := p.store.Scan(ctx, config.RowPrefix(), false)
	if err != nil {
		return bundle.Bundle{}, errors.Wrap(err, "Publisher.find")
	}
	for _, r := range rows {
		if strings.HasSuffix(string(r.Value), "-"+publication) {
			return p.read(ctx, r)
		}
	}
	return bundle.New(), nil
}

// Rollback publishes the files of an earlier version as a new one.
func (p *Publisher) Rollback(ctx context.Context, version uint64, publication string) (bundle.Bundle, error) {
	then, err := p.Version(ctx, version)
	if err != nil {
		return bundle.Bundle{}, err
	}
	head, err := p.Head(ctx)
	if err != nil {
		return bundle.Bundle{}, err
	}
	changed := Changes(head, then)
	if len(changed) == 0 {
		return bundle.Bundle{}, errors.Errorf("version %d has the same files as version %d in force", version, head.Version)
	}
	return p.Publish(ctx, head, publication, changed)
}

// Changes returns what turns the files of one bundle into those of another: an
// empty text stands for a service that has none.
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

// Diff says line by line what changed between two versions.
func Diff(from, to bundle.Bundle) []string {
	var lines []string
	changed := Changes(from, to)
	for _, service := range slices.Sorted(maps.Keys(changed)) {
		lines = append(lines, fmt.Sprintf("service %s:", service))
		before := strings.Split(from.Files[service], "\n")
		after := strings.Split(to.Files[service], "\n")
		lines = append(lines, marked("-", before, after)...)
		lines = append(lines, marked("+", after, before)...)
	}
	return lines
}

// marked returns the lines that the other text lacks, with a sign before each.
func marked(sign string, lines, other []string) []string {
	var out []string
	for _, l := range lines {
		if strings.TrimSpace(l) != "" && !slices.Contains(other, l) {
			out = append(out, "  "+sign+" "+l)
		}
	}
	return out
}
