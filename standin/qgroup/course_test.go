package qgroup_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/connection/runner"
	"github.com/pistachiotray/pistachiotray/process/meter"
	"github.com/pistachiotray/pistachiotray/process/promo"
	"github.com/pistachiotray/pistachiotray/process/roster"
	"github.com/pistachiotray/pistachiotray/process/rset"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
	"github.com/pistachiotray/pistachiotray/standin/lstore"
	"github.com/pistachiotray/pistachiotray/standin/qgroup"
	"github.com/pistachiotray/pistachiotray/version/plan"
	"github.com/pistachiotray/pistachiotray/version/route"
)

const (
	courseTime = 14 * time.Second
	settleTime = 8 * time.Second
	maxAge     = 1500 * time.Millisecond
)

// tables are what one host knows.
type tables struct {
	crew *rset.ReplicaSet
}

func (tables) Plan() plan.Plan {
	const timeout, aim = time.Second, 800 * time.Millisecond
	of := func(database string, kind int) route.Route {
		return route.New(database, "g", kind).WithMaxAge(maxAge).WithTimes(timeout, aim)
	}
	return plan.New(1).WithTransactionIdle(time.Second).WithGroup("g", 32).
		WithRoutes(of("primary", route.Primary), of("bounded", route.BoundedStaleness), of("session", route.ReadYourWrites))
}

func (h tables) ReplicaSet(string) (*rset.ReplicaSet, bool) { return h.crew, true }

// history notes which writes of an item were acknowledged, and when.
type history struct {
	mu      sync.Mutex
	acked   map[string][]ack
	refused []string
	values  map[string]map[string]string
	wrong   []string
}

type ack struct {
	sequence int
	at       time.Duration
}

func (h *history) fail(format string, arguments ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wrong = append(h.wrong, fmt.Sprintf(format, arguments...))
}

// newest returns the last sequence of an item that was acknowledged before a time.
func (h *history) newest(item string, before time.Duration) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	newest := 0
	for _, a := range h.acked[item] {
		if a.at < before {
			newest = max(newest, a.sequence)
		}
	}
	return newest
}

func (h *history) acknowledge(item string, sequences []int, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range sequences {
		h.acked[item] = append(h.acked[item], ack{s, at})
	}
}

// course is one random course of a group, two hosts and some sessions.
type course struct {
	t       *testing.T
	band    *qgroup.Group
	history *history
	now     func() time.Duration
	hosts   []tables
	// down has the store refuse calls.
	down func(bool)
	// deaf hosts are not told of registrations.
	deaf   []*atomic.Bool
	stop   context.Context
	served atomic.Int64
	// doubts tells of each host whether it reaches few targets.
	doubts []*atomic.Bool
}

func newCourse(ctx context.Context, t *testing.T, hosts int, options ...func(*qgroup.Group)) *course {
	began := time.Now()
	now := func() time.Duration { return time.Hour + time.Since(began) }
	c := &course{
		t: t, band: qgroup.New("g", 3, options...), now: now, stop: ctx,
		history: &history{acked: map[string][]ack{}, values: map[string]map[string]string{}},
	}
	c.band.OnStatement = c.seen
	registry := lstore.New("g", c.band, now)
	c.down = registry.SetDown
	for i := range hosts {
		k := rset.New("g", zap.NewNop(), c.band.From(i), now, func(zone string) time.Duration {
			if zone == fmt.Sprintf("zone-%d", i) {
				return 0
			}
			return 100 * time.Millisecond
		})
		c.hosts = append(c.hosts, tables{k})
		c.deaf = append(c.deaf, &atomic.Bool{})
		go c.register(ctx, k, c.deaf[i])
		doubt := &atomic.Bool{}
		c.doubts = append(c.doubts, doubt)
		go promo.New(fmt.Sprintf("host-%d", i), zap.NewNop(), k, registry, promo.WithIsolationCheck(doubt.Load)).Run(ctx)
	}
	return c
}

// register tells a host of the registrations, as the platform's store would.
func (c *course) register(ctx context.Context, k *rset.ReplicaSet, deaf *atomic.Bool) {
	r := roster.New()
	for revision := uint64(1); ctx.Err() == nil; revision++ {
		if deaf.Load() {
			time.Sleep(time.Second)
			continue
		}
		known := map[string]bool{}
		for _, t := range c.band.Targets() {
			known[t.ID] = true
			before, ok := r.Target(t.ID)
			if !ok || !t.Same(before) {
				t.Revision = revision
				r = r.WithTarget(t)
			}
		}
		for _, id := range r.IDs() {
			if !known[id] {
				r = r.Without(id, revision)
			}
		}
		leader, _ := r.Leader("g")
		k.Update(r.Group("g"), leader, 32)
		time.Sleep(200 * time.Millisecond)
	}
}

// seen checks the values of the connection that a statement runs on.
func (c *course) seen(id string, values map[string]string, shape string) {
	c.history.mu.Lock()
	want, ok := c.history.values[id]
	c.history.mu.Unlock()
	if !ok {
		c.history.fail("UNASKED: %s ran", id)
		return
	}
	if shape != "" && shape != want["shape"] {
		c.history.fail("PINNED: %s ran shape %q, want %q", id, shape, want["shape"])
	}
	want = maps.Clone(want)
	delete(want, "shape")
	if !maps.Equal(want, values) {
		c.history.fail("PINNED: %s ran with values %v, want %v", id, values, want)
	}
}

// session is one caller with an item that only it writes.
type session struct {
	course   *course
	random   *rand.Rand
	runner   *runner.Runner
	name     string
	kind     string
	item     string
	sequence int
	count    int
	values   map[string]string
	shape    string
	// before is the last sequence that was used before the session began.
	before int
}

func (c *course) session(i int, random *rand.Rand) *session {
	kinds := []string{"primary", "bounded", "session"}
	s := &session{course: c, random: random, name: fmt.Sprintf("s%d", i), kind: kinds[i%len(kinds)], item: fmt.Sprintf("item-%d", i), values: map[string]string{}}
	s.connect()
	return s
}

// connect begins a new session at one of the hosts.
func (s *session) connect() {
	if s.runner != nil {
		s.runner.Close()
	}
	clear(s.values)
	s.shape = ""
	s.before = s.sequence
	h := s.course.hosts[s.random.IntN(len(s.course.hosts))]
	s.runner = runner.New(caller.New(s.name, s.kind), h, meter.New(zap.NewNop()), s.course.now)
}

// send runs one statement and checks that the answer is its own.
func (s *session) send(kind int, name, rest string) reply.Reply {
	s.count++
	id := fmt.Sprintf("%s-%d", s.name, s.count)
	want := maps.Clone(s.values)
	want["shape"] = s.shape
	s.course.history.mu.Lock()
	s.course.history.values[id] = want
	s.course.history.mu.Unlock()
	q := stmt.New(id, kind, "").WithName(name, rest).WithArrived(s.course.now())
	r := s.runner.Run(s.course.stop, q)
	if r.OK() && (kind == stmt.Read || kind == stmt.Write || kind == stmt.Commit || kind == stmt.Execute) && !strings.HasSuffix(r.Signature, " "+id) {
		s.course.history.fail("MIXED: %s was answered with the signature %q", id, r.Signature)
	}
	return r
}

func (s *session) play() {
	for s.course.stop.Err() == nil {
		switch n := s.random.IntN(10); {
		case n == 0:
			s.set()
		case n < 3:
			s.write()
		case n < 5:
			s.transaction()
		case n < 9:
			s.read()
		default:
			s.connect()
		}
		time.Sleep(time.Duration(s.random.IntN(60)) * time.Millisecond)
	}
	s.runner.Close()
}

func (s *session) set() {
	name := fmt.Sprintf("v%d", s.random.IntN(2))
	text := fmt.Sprintf("%s-%d", s.name, s.random.IntN(3))
	if s.send(stmt.Set, name, text).OK() {
		s.values[name] = text
	}
	if shape := fmt.Sprintf("q%d", s.random.IntN(3)); s.send(stmt.Prepare, "p", shape).OK() {
		s.shape = shape
	}
}

func (s *session) next() (sequence int, data string) {
	s.sequence++
	return s.sequence, fmt.Sprintf("%d", s.sequence)
}

// end notes what a write or a commit was answered with.
func (s *session) end(sequences []int, r reply.Reply) {
	if r.OK() {
		s.course.history.acknowledge(s.item, sequences, s.course.now())
		return
	}
	s.promised(sequences, r)
}

// promised notes writes of which the caller was told that nothing is kept.
func (s *session) promised(sequences []int, r reply.Reply) {
	if !r.Code.NotRun() && r.Code.Name() != "TransactionLost" {
		return
	}
	s.course.history.mu.Lock()
	defer s.course.history.mu.Unlock()
	for _, n := range sequences {
		s.course.history.refused = append(s.course.history.refused, fmt.Sprintf("%s %d", s.item, n))
	}
}

func (s *session) write() {
	n, data := s.next()
	s.end([]int{n}, s.send(stmt.Write, s.item, data))
}

func (s *session) transaction() {
	if !s.send(stmt.Begin, "", "").OK() {
		return
	}
	var sequences []int
	for range 1 + s.random.IntN(3) {
		time.Sleep(time.Duration(s.random.IntN(50)) * time.Millisecond)
		n, data := s.next()
		r := s.send(stmt.Write, s.item, data)
		sequences = append(sequences, n)
		if !r.OK() {
			s.promised(sequences, r)
			s.send(stmt.Rollback, "", "")
			return
		}
	}
	if s.random.IntN(4) == 0 {
		s.promised(sequences, s.send(stmt.Rollback, "", "").WithStatus(0))
		return
	}
	s.end(sequences, s.send(stmt.Commit, "", ""))
}

// read reads an item and checks that the answer is fresh enough.
func (s *session) read() {
	item := s.item
	if s.kind != "session" {
		item = fmt.Sprintf("item-%d", s.random.IntN(6))
	}
	now := s.course.now()
	want := s.course.history.newest(item, now-maxAge)
	switch s.kind {
	case "primary":
		want = s.course.history.newest(item, now)
	case "session":
		// A session is a connection: what an earlier one wrote counts by its age.
		if own := s.course.history.newest(item, now+1); own > s.before {
			want = max(want, own)
		}
	}
	r := s.send(stmt.Read, item, "")
	if !r.OK() {
		return
	}
	s.course.served.Add(1)
	got := 0
	if _, err := fmt.Sscan(r.Rows[0], &got); err != nil && r.Rows[0] != "" {
		s.course.history.fail("a read returned %q", r.Rows[0])
	}
	if got < want {
		s.course.history.fail("STALE: a %s read of %s returned %d after %d was acknowledged", s.kind, item, got, want)
	}
}

// faults brings about one fault after the other.
func (c *course) faults(random *rand.Rand) {
	for c.stop.Err() == nil {
		time.Sleep(time.Duration(500+random.IntN(2500)) * time.Millisecond)
		i, span := random.IntN(3), time.Duration(300+random.IntN(3000))*time.Millisecond
		switch random.IntN(10) {
		case 0:
			c.band.Crash(i)
			time.Sleep(span)
			c.band.Start(i)
		case 1, 2:
			leader := max(c.band.Leader(), 0)
			c.band.SetSilent(leader, true)
			time.Sleep(span)
			c.band.SetSilent(leader, false)
		case 3:
			c.band.SetReceiveBlocked(i, true)
			time.Sleep(span)
			c.band.SetReceiveBlocked(i, false)
		case 4:
			c.band.LoseAnswers(1 + random.IntN(4))
		case 5:
			c.band.DelayOrder(time.Duration(1+random.IntN(4000)) * time.Millisecond)
		case 6:
			c.band.SetLeaving(i, true)
			time.Sleep(span)
			c.band.SetLeaving(i, false)
		case 7:
			c.down(true)
			time.AfterFunc(span+2*time.Second, func() { c.down(false) })
		case 8:
			leader := max(c.band.Leader(), 0)
			host := random.IntN(3) - 1 // one of the two, or everyone
			c.band.SetPartitioned(leader, host, true)
			time.Sleep(span)
			c.band.SetPartitioned(leader, host, false)
		case 9:
			for j := range 3 {
				c.band.SetReceiveBlocked(j, true)
			}
			time.Sleep(span)
			for j := range 3 {
				c.band.SetReceiveBlocked(j, false)
			}
		}
	}
}

// check judges the logs at the end.
func (c *course) check() {
	leader := c.band.Leader()
	if leader < 0 {
		c.history.fail("nobody leads at the end")
		leader = 0
	}
	data := c.band.WriteCounts(leader)
	for item, acks := range c.history.acked {
		for _, a := range acks {
			if data[fmt.Sprintf("%s %d", item, a.sequence)] == 0 {
				c.history.fail("LOST: %s %d was acknowledged at %v", item, a.sequence, a.at)
			}
		}
	}
	for written, n := range data {
		if n > 1 {
			c.history.fail("TWICE: %s was written %d times", written, n)
		}
	}
	for _, written := range c.history.refused {
		if data[written] > 0 {
			c.history.fail("REFUSED: %s is kept although it was refused", written)
		}
	}
}

// runCourse plays the course of a seed and returns what was wrong.
func runCourse(t *testing.T, seed uint64, options ...func(*qgroup.Group)) (wrong []string, served int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		playing, end := context.WithCancel(ctx)
		c := newCourse(ctx, t, 2, options...)
		c.stop = playing
		time.Sleep(500 * time.Millisecond)
		var done sync.WaitGroup
		for i := range 6 {
			done.Go(c.session(i, rand.New(rand.NewPCG(seed, uint64(i)))).play)
		}
		done.Go(func() { c.faults(rand.New(rand.NewPCG(seed, 100))) })
		time.Sleep(courseTime)
		end()
		done.Wait()
		time.Sleep(settleTime)
		c.check()
		wrong, served = c.history.wrong, int(c.served.Load())
		stop()
		time.Sleep(time.Minute)
	})
	return wrong, served
}

// seeds is how many courses are played; more by hand with
// PISTACHIOTRAY_SEEDS=2000 go test ./standin/qgroup.
func seeds(t *testing.T) uint64 {
	const few, usual = 5, 150
	if text := os.Getenv("PISTACHIOTRAY_SEEDS"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	if testing.Short() {
		return few
	}
	return usual
}

func TestPromisesUnderRandomCourses(t *testing.T) {
	for seed := uint64(1); seed <= seeds(t); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			wrong, served := runCourse(t, seed)
			for _, w := range wrong {
				t.Error(w)
			}
			if served == 0 {
				t.Error("no read was served")
			}
		})
	}
}

// TestChecksNotice has members break one promise at a time and wants the
// check of what follows from it to notice within some courses.
func TestChecksNotice(t *testing.T) {
	const most = 40
	for lie, rule := range map[string]string{
		qgroup.BreakFreshReads: "STALE", qgroup.BreakPause: "LOST", qgroup.BreakReset: "PINNED",
		qgroup.BreakRefusals: "TWICE", qgroup.BreakDurability: "LOST", qgroup.BreakReadOnly: "STALE",
	} {
		t.Run(lie, func(t *testing.T) {
			for seed := uint64(1); seed <= most; seed++ {
				wrong, _ := runCourse(t, seed, qgroup.WithBrokenPromise(lie))
				if slices.ContainsFunc(wrong, func(w string) bool { return strings.HasPrefix(w, rule) }) {
					return
				}
			}
			t.Errorf("no course of %d noticed %s", most, rule)
		})
	}
}
