package config_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/cloud"
	"github.com/pistachiotray/pistachiotray/process/config"
	"github.com/pistachiotray/pistachiotray/process/record"
	"github.com/pistachiotray/pistachiotray/version/bundle"
)

// store is an in-memory store. While down is set, all calls fail.
type store struct {
	mu     sync.Mutex
	bodies map[string][]byte
	rows   []record.Row
	down   bool
}

func (s *store) add(t *testing.T, version uint64) []byte {
	t.Helper()
	b := bundle.New().WithVersion(version).WithPublication("p", "test", time.Unix(0, 0))
	body, err := b.Encode()
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name := config.ObjectName(version, "p")
	s.bodies[name] = body
	s.rows = append(s.rows, record.New(config.RowKey(version), []byte(name)))
	return body
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) Scan(_ context.Context, prefix string, last bool) ([]record.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, errors.New("down")
	}
	var found []record.Row
	for _, r := range s.rows {
		if len(r.Key) >= len(prefix) && r.Key[:len(prefix)] == prefix {
			found = append(found, r)
		}
	}
	if last && len(found) > 1 {
		found = found[len(found)-1:]
	}
	return found, nil
}

func (s *store) GetObject(_ context.Context, name string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, errors.New("down")
	}
	return s.bodies[name], nil
}

func (s *store) PutObject(_ context.Context, name string, body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bodies[name] = body
	return nil
}

func (s *store) Commit(_ context.Context, rows ...record.Row) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		if slices.ContainsFunc(s.rows, func(stored record.Row) bool { return stored.Key == r.Key }) {
			return cloud.ErrConflict
		}
		s.rows = append(s.rows, r)
	}
	return nil
}

// restore takes back the versions after the first n rows.
func (s *store) restore(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = s.rows[:n]
}

// head returns the name of the newest version's object.
func (s *store) head() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.rows[len(s.rows)-1].Value)
}

func noPeers(context.Context, uint64) ([]byte, bool) { return nil, false }

// A host must skip to the newest version, keep a policy that is in use
// unchanged, and never return to an earlier version.
func TestNewestVersionComesIntoForceAndStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{bodies: map[string][]byte{}}
		var changes [][2]uint64
		c := config.New(zap.NewNop(), s, config.WithOnChange(func(from, to uint64) { changes = append(changes, [2]uint64{from, to}) }))
		c.Start(noPeers)
		s.add(t, 1)
		time.Sleep(2 * time.Second)
		is.Equal(c.Policy().Version(), uint64(1))
		inUse := c.Policy()
		s.add(t, 2)
		s.add(t, 3)
		time.Sleep(2 * time.Second)
		is.Equal(c.Policy().Version(), uint64(3))
		is.Equal(inUse.Version(), uint64(1))
		c.Learn(2)
		c.Learn(1)
		time.Sleep(5 * time.Second)
		is.Equal(c.Policy().Version(), uint64(3))
		c.Close()
		for i := 1; i < len(changes); i++ {
			is.True(changes[i][1] > changes[i-1][1])
		}
	})
}

// While the store is down, a host must be able to put a version in force whose
// number and body it gets from another host.
func TestBodyComesFromAPeerWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{bodies: map[string][]byte{}}
		body := s.add(t, 4)
		s.setDown(true)
		c := config.New(zap.NewNop(), s)
		c.Start(func(_ context.Context, version uint64) ([]byte, bool) { return body, version == 4 })
		defer c.Close()
		time.Sleep(time.Minute)
		is.Equal(c.Policy().Version(), uint64(0))
		c.Learn(4)
		time.Sleep(time.Second)
		is.Equal(c.Policy().Version(), uint64(4))
		got, ok := c.Body(4)
		is.True(ok)
		is.Equal(got, body)
	})
}

// A body of another version than the requested one must not come into force.
func TestBodyOfAnotherVersionIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{bodies: map[string][]byte{}}
		body := s.add(t, 4)
		s.setDown(true)
		c := config.New(zap.NewNop(), s)
		c.Start(func(context.Context, uint64) ([]byte, bool) { return body, true })
		defer c.Close()
		c.Learn(9)
		time.Sleep(10 * time.Second)
		is.Equal(c.Policy().Version(), uint64(0))
	})
}

// withLostVersions runs a test with a host that has version 4 in force, and a store that
// has lost versions 3 and 4.
func withLostVersions(t *testing.T, test func(is *is.I, s *store, c *config.Config)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{bodies: map[string][]byte{}}
		c := config.New(zap.NewNop(), s)
		c.Start(noPeers)
		defer c.Close()
		for version := uint64(1); version <= 4; version++ {
			s.add(t, version)
			time.Sleep(5 * time.Second)
		}
		is.Equal(c.Policy().Version(), uint64(4))
		s.restore(2)
		test(is, s, c)
	})
}

// Otherwise the store gives the number of a lost version out again, and hosts that had
// that version never take the new one.
func TestVersionsThatARestoredStoreLostAreWrittenAgain(t *testing.T) {
	withLostVersions(t, func(is *is.I, s *store, c *config.Config) {
		time.Sleep(5 * time.Second)
		is.Equal(s.head(), config.ObjectName(4, "p"))
		s.add(t, 5)
		time.Sleep(5 * time.Second)
		is.Equal(c.Policy().Version(), uint64(5))
	})
}

// A version that got the number of a lost one must not be hidden by later lost ones.
func TestVersionsAreNotWrittenAgainAfterAnother(t *testing.T) {
	withLostVersions(t, func(is *is.I, s *store, c *config.Config) {
		is.NoErr(s.Commit(t.Context(), record.New(config.RowKey(3), []byte(config.ObjectName(3, "other")))))
		time.Sleep(5 * time.Second)
		is.Equal(s.head(), config.ObjectName(3, "other"))
		is.Equal(c.Policy().Version(), uint64(4))
	})
}
