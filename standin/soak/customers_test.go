package soak_test

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	customerCount = 4
	// longVersions and briefVersions are the numbers of versions that hold the keys "long" and
	// "brief" of a version, and movingVersions the number after which the key "moving" moves to
	// another customer.
	longVersions   = keptRoutes
	briefVersions  = 2
	movingVersions = 4
	// actionsPerKey is the mean number of actions of a session until it takes another key.
	actionsPerKey = 30
	// standingRoute is a route of all versions, and publicRoute one that needs no key.
	standingRoute = "standing"
	publicRoute   = "log-public"
	// keyMarker is part of every key and of nothing else that hosts receive.
	keyMarker = "secret-"
	// aHost stands for the names of the hosts, under which statements run where callers
	// are not told apart.
	aHost = "a host"
)

// operation is what is known of a statement: the key of its session, the host that got it, and
// the first and the last version of the configuration that may have been in force. to is 0 for a
// statement without an answer, which may run at any later time.
type operation struct {
	host, key string
	from, to  int
}

// newKey returns the key of a kind and a version: a steady key of a customer, a long or brief one
// that the version adds, the moving one, or one that no version holds.
func newKey(kind string, n int) string {
	switch kind {
	case "steady":
		n %= customerCount
	case "moving":
		n = 0
	}
	return fmt.Sprint(keyMarker, kind, "-", n)
}

func customerName(n int) string {
	return fmt.Sprint("customer-", n%customerCount)
}

// holder returns the name of the customer that holds a key in a version, "" if none does.
func holder(key string, version int) string {
	if !strings.HasPrefix(key, keyMarker) {
		return aHost
	}
	fields := strings.Split(key, "-")
	n, _ := strconv.Atoi(fields[2])
	versions := 0
	switch fields[1] {
	case "steady":
		return customerName(n)
	case "moving":
		return customerName(version / movingVersions)
	case "long":
		versions = longVersions
	case "brief":
		versions = briefVersions
	}
	if n > 0 && version >= n && version < n+versions {
		return customerName(n)
	}
	return ""
}

// holders returns the names of the customers that hold a key in some versions; one of them is
// "" if the key is missing in one of the versions.
func holders(key string, from, to int) []string {
	found := map[string]bool{}
	for v := from; v <= to; v++ {
		found[holder(key, v)] = true
	}
	return slices.Collect(maps.Keys(found))
}

// tenants returns the customers of a version in the form of the configuration.
func tenants(version int) []any {
	candidates := []string{newKey("moving", 0)}
	for n := range customerCount {
		candidates = append(candidates, newKey("steady", n))
	}
	for n := max(1, version-longVersions); n <= version; n++ {
		candidates = append(candidates, newKey("long", n), newKey("brief", n))
	}
	keys := map[string][]string{}
	for _, k := range candidates {
		if name := holder(k, version); name != "" {
			keys[name] = append(keys[name], k)
		}
	}
	var all []any
	for name, k := range keys {
		tenant := map[string]any{"Name": name, "ApiKeys": k, "Priority": 1}
		if limited(name) {
			tenant["RatePerS"], tenant["BurstSize"] = limitOf(version), limitOf(version)
		}
		all = append(all, tenant)
	}
	return all
}

// changeKeys stores configurations that add keys and take others away until the run ends.
func (s *soakRun) changeKeys(random *rand.Rand) {
	for s.ctx.Err() == nil {
		time.Sleep(time.Duration(500+random.IntN(1500)) * time.Millisecond)
		s.configure()
	}
}

// newest returns the newest version that was stored.
func (s *soakRun) newest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// chooseKey returns a key for a session, in some cases one that no version holds.
func (s *soakRun) chooseKey(random *rand.Rand) string {
	if !s.customers {
		return "u"
	}
	kinds := []string{"steady", "steady", "moving", "long", "brief", "brief", "never"}
	kind := kinds[random.IntN(len(kinds))]
	return newKey(kind, s.newest())
}

// checkAnswer checks the answer to a request with a key while some versions may have been in
// force.
func (s *soakRun) checkAnswer(o operation, answer string) {
	held := holders(o.key, o.from, o.to)
	if strings.HasPrefix(answer, "ERROR UNAUTH") && !slices.Contains(held, "") {
		s.addViolation("KEY: %s answered %q for %q, which the versions %d to %d hold", o.host, answer, o.key, o.from, o.to)
	}
	if strings.HasPrefix(answer, "READY") && slices.Equal(held, []string{""}) {
		s.addViolation("KEY: %s served %q, which none of the versions %d to %d holds", o.host, o.key, o.from, o.to)
	}
}

// record notes a statement. Its last version is the present one if it was answered.
func (s *soakRun) record(id string, o operation, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answered {
		o.to = s.version
	}
	s.operations[id] = o
}

// checkNames compares the names under which statements arrived at targets with the customers that
// held the keys of their sessions. It also checks the names of all connections, and that no
// host logged a key. The processes of the hosts must have ended.
func (s *soakRun) checkNames() {
	known, isHost := map[string]bool{}, map[string]bool{}
	for _, h := range s.hosts {
		known[h.name], isHost[h.name] = true, true
		if bytes.Contains(h.output.Bytes(), []byte(keyMarker)) {
			s.addViolation("KEY: %s logged a key", h.name)
		}
	}
	for n := range customerCount {
		known[customerName(n)] = s.customers
	}
	for name := range s.platform.Connections() {
		if !known[name] {
			s.addViolation("CUSTOMER: a connection was opened in the name of %q", name)
		}
	}
	newest, byCustomer := s.newest(), 0
	for id, names := range s.platform.StatementNames() {
		o, ok := s.operations[id]
		if o.to == 0 {
			o.to = newest
		}
		held := holders(o.key, o.from, o.to)
		for _, name := range names {
			if isHost[name] {
				name = aHost
			} else {
				byCustomer++
			}
			if !ok || !slices.Contains(held, name) {
				s.addViolation("CUSTOMER: statement %s with %q at %s ran under %q, want one of %q, versions %d to %d", id, o.key, o.host, name, held, o.from, o.to)
			}
		}
	}
	if s.customers && byCustomer == 0 {
		s.addViolation("nothing was served for a customer")
	}
	s.t.Logf("customers %t: %d statements of customers, connections by name %v", s.customers, byCustomer, s.platform.Connections())
}

// checkKeys checks at the end that a host tells the keys of the newest configuration from
// others.
func (s *soakRun) checkKeys(h *host) {
	for _, key := range []string{newKey("long", s.version), newKey("long", s.version-longVersions), newKey("brief", s.version-briefVersions), newKey("never", 1), newKey("moving", 0)} {
		c := &session{run: s, database: "orders", name: "last"}
		answer := c.connectTo(h, key)
		s.checkAnswer(operation{h.name, key, s.version, s.version}, answer)
		if holder(key, s.version) != "" && answer != "READY I -" {
			s.addViolation("KEY: %s answered %q for %q, which the newest version holds", h.name, answer, key)
		}
		c.close()
	}
}

// from returns the first version that may be in force at a host that got a request, and whether
// the host was in touch. It must be called after the answer.
func (r *configRun) from(h *host, sent time.Time) (version int, inTouch bool) {
	version, _ = r.required(sent)
	if !r.inTouch(h, sent) {
		return 1, false
	}
	return max(1, version), version > 0
}

// probeKeys starts sessions with keys at a host, and runs statements in sessions that stand open,
// until the run ends. It checks that a change of keys is in force in time.
func (r *configRun) probeKeys(h *host) {
	random := rand.New(rand.NewPCG(uint64(len(r.hosts)), uint64(slices.Index(r.hosts, h))))
	var sessions []*session
	for _, kind := range []string{"brief", "long", "moving"} {
		c := &session{run: &r.soakRun, random: random, name: h.name + "-" + kind, database: standingRoute, item: h.name}
		defer c.close()
		sessions = append(sessions, c)
	}
	for r.ctx.Err() == nil {
		time.Sleep(probeInterval/2 + rand.N(probeInterval))
		required, newest := r.required(time.Now())
		for _, key := range []string{newKey("long", required), newKey("brief", required-briefVersions), newKey("never", newest)} {
			r.probeStart(h, key)
		}
		c := sessions[random.IntN(len(sessions))]
		if c.conn == nil {
			_, kind, _ := strings.Cut(c.name, h.name+"-")
			_ = c.connectTo(h, newKey(kind, newest))
			continue
		}
		r.operate(h, c)
	}
}

// probeStart starts a session with a key and checks the answer.
func (r *configRun) probeStart(h *host, key string) {
	sent := time.Now()
	answer := r.ask(h, standingRoute, key)
	from, inTouch := r.from(h, sent)
	o := operation{h.name, key, from, r.newest()}
	r.checkAnswer(o, answer)
	if inTouch && answer != "" && !strings.HasPrefix(answer, "READY") && !slices.Contains(holders(key, o.from, o.to), "") {
		r.addViolation("KEY: %s at %s answered %q for %q, which the versions %d to %d hold", h.name, sent.UTC().Format(time.RFC3339Nano), answer, key, o.from, o.to)
	}
}

// operate runs a statement or a transaction in an open session. A transaction may finish if its
// key was in force when it began.
func (r *configRun) operate(h *host, c *session) {
	texts := []string{"READ " + c.item}
	switch c.random.IntN(3) {
	case 0:
		texts = []string{fmt.Sprint("WRITE ", c.item, " ", c.nextSequence())}
	case 1:
		texts = []string{"BEGIN", "READ " + c.item, fmt.Sprint("WRITE ", c.item, " ", c.nextSequence()), "COMMIT"}
	}
	sent, first := time.Now(), c.statements+1
	answer, ok := "", true
	for i, text := range texts {
		if answer, ok = c.query(text); !ok {
			break
		}
		if strings.HasPrefix(answer, "ERROR") {
			if i > 0 {
				_, ok = c.query("ROLLBACK")
			}
			break
		}
	}
	from, _ := r.from(h, sent)
	o := operation{host: h.name, key: c.key, from: from, to: r.newest()}
	r.checkAnswer(o, answer)
	r.noteServed(o, sent, answer)
	r.mu.Lock()
	defer r.mu.Unlock()
	for n := first; n <= c.statements; n++ {
		id := fmt.Sprintf("%s-%d", c.name, n)
		known := r.operations[id]
		known.from = from
		r.operations[id] = known
	}
	if strings.HasPrefix(answer, "ERROR UNAUTH") {
		r.refusedKeys++
		if ok && c.random.IntN(3) == 0 {
			c.close()
		}
	}
}
