package quota_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/process/quota"
)

// majority is a coordinator that hosts follow.
type majority struct {
	coordinator *quota.Coordinator
	names       []string
	followers   []*follower
}

// newMajority returns a coordinator of 80 hosts, all of which but some follow it.
func newMajority(silent int) *majority {
	m := &majority{coordinator: quota.New(1)}
	for i := range 80 {
		m.names = append(m.names, fmt.Sprintf("host-%02d", i))
		if i >= silent {
			m.followers = append(m.followers, &follower{name: m.names[i], coordinator: m.coordinator})
		}
	}
	m.coordinator.SetHosts(0, m.names)
	return m
}

// follow lets the hosts claim until a time.
func (m *majority) follow(from, to time.Duration) {
	for at := from; at < to; at += 250 * time.Millisecond {
		for _, f := range m.followers {
			f.claim(at, len(m.names), 0)
		}
	}
}

// A host that restarts or is frozen for a moment must not be marked, and one that is lost must be.
func TestSilentHostIsNamed(t *testing.T) {
	is := is.New(t)
	m := newMajority(2)
	m.follow(0, 4*time.Second)
	_, ok := m.coordinator.Silent(4 * time.Second)
	is.True(!ok)
	m.follow(4*time.Second, 6*time.Second)
	first, ok := m.coordinator.Silent(6 * time.Second)
	is.True(ok)
	second, ok := m.coordinator.Silent(6 * time.Second)
	is.True(ok)
	is.True(first != second && slices.Contains(m.names[:2], first) && slices.Contains(m.names[:2], second))
}

// Marked hosts may have shares of their own, so that only as many may be marked as the overage allows.
func TestFewHostsAreMarked(t *testing.T) {
	is := is.New(t)
	m := newMajority(2)
	m.coordinator.SetHosts(0, m.names[1:], m.names[0])
	m.follow(0, 6*time.Second)
	_, ok := m.coordinator.Silent(6 * time.Second)
	is.True(ok) // 2 of 80
	m = newMajority(3)
	m.coordinator.SetHosts(0, m.names[2:], m.names[:2]...)
	m.follow(0, 6*time.Second)
	m.follow(6*time.Second, 7*time.Second)
	_, ok = m.coordinator.Silent(7 * time.Second)
	is.True(!ok)
}

// A coordinator without a majority may be the one that is cut off.
func TestMinorityMarksNothing(t *testing.T) {
	is := is.New(t)
	m := newMajority(45)
	m.follow(0, 10*time.Second)
	_, ok := m.coordinator.Silent(10 * time.Second)
	is.True(!ok)
}

// A marked host that claims again must count as known, or a listed one that is silent could be
// taken for a follower.
func TestMarkedHostThatClaimsCounts(t *testing.T) {
	is := is.New(t)
	m := newMajority(1)
	marked := m.names[79]
	m.coordinator.SetHosts(0, m.names[:79], marked)
	m.names = m.names[:79] // what the hosts know
	m.follow(0, 12*time.Second)
	is.True(m.coordinator.Share() < 1)
}
