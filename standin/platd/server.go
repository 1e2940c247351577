// Package platd serves stand-ins for database groups, the table store and the
// cloud API over the platform's protocols.
package platd

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pistachiotray/pistachiotray/standin/qgroup"
)

// maxHistory is how many changes the store keeps for the feed.
const maxHistory = 10_000

// row is a row of the table store, or the deletion of a row, as it is encoded in
// requests and answers.
type row struct {
	Table      string
	Part       string `json:"part"`
	Key        string
	Value      []byte `json:",omitempty"`
	RowVersion uint64
	Tombstone  bool `json:",omitempty"`
}

// Server simulates a platform with one table store and some database groups.
type Server struct {
	// mu guards the fields up to groups, and connections and statementNames.
	mu        sync.Mutex
	startTime time.Time
	// rows holds the present rows by table and key.
	rows map[[2]string]row
	// changes holds the latest changes, at most maxHistory, oldest first.
	changes []row
	// version is the version of the last change.
	version uint64
	// era rises by one each time the store is restored from its copy.
	era uint64
	// copiedRows and copiedVersion are the copy.
	copiedRows    map[[2]string]row
	copiedVersion uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
	// status is the HTTP status with which every call to the store fails, or 0 if
	// calls are served.
	status int
	// answersToLose is how many of the next transactions get no answer.
	answersToLose int
	groups        map[string]*qgroup.Group
	// registered holds the registrations of member processes by ID.
	registered map[string]registration
	// promotion carries out orders for groups other than those in groups.
	promotion promotion
	// addresses holds the registered addresses of the members by target ID.
	addresses map[string]string
	// connections counts the connections to members by the name in START, and
	// statementNames holds the names under which each statement arrived by its ID.
	connections    map[string]int
	statementNames map[string][]string
	listeners      []net.Listener
	// proxyFor returns the address to register for the address on which a member
	// listens.
	proxyFor func(address string) string
	// closed ends the feed requests that wait for changes.
	closed    chan struct{}
	closeOnce sync.Once
}

// New returns an empty platform.
func New() *Server {
	return &Server{
		startTime: time.Now(), rows: map[[2]string]row{}, era: 1, changed: make(chan struct{}),
		groups: map[string]*qgroup.Group{}, registered: map[string]registration{}, addresses: map[string]string{}, proxyFor: func(address string) string { return address },
		connections: map[string]int{}, statementNames: map[string][]string{}, closed: make(chan struct{}),
	}
}

// SetStatus makes the store answer every call with an HTTP status; 0 makes it
// serve again.
func (s *Server) SetStatus(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
}

// LoseAnswers makes the next n transactions get no answer: the store processes them
// and then closes their connections.
func (s *Server) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// DropHistory deletes the store's history of changes. A feed request that needs
// the deleted changes is answered with 410 Gone.
func (s *Server) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = nil
}

// Copy makes a copy of the store, from which Restore restores it.
func (s *Server) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copiedRows, s.copiedVersion = maps.Clone(s.rows), s.version
}

// Restore replaces the content of the store by its copy. What was written since is
// gone, and its versions are given out again. The history of changes is lost.
func (s *Server) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.rows, s.version, s.changes = maps.Clone(s.copiedRows), s.copiedVersion, nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a row, as an operator or a target does. A value that is not a []byte
// is encoded as JSON.
func (s *Server) Put(table, key string, value any) {
	encoded, ok := value.([]byte)
	if !ok {
		encoded, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyChange(row{Table: table, Key: key, Value: encoded})
}

// Has reports whether the store has a row.
func (s *Server) Has(table, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.rows[[2]string{table, key}]
	return ok
}

// Delete deletes a row.
func (s *Server) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyChange(row{Table: table, Key: key, Tombstone: true})
}

// applyChange applies a change with the next version, adds it to the history and
// wakes the feed requests; the caller holds the lock.
func (s *Server) applyChange(r row) {
	s.version++
	r.RowVersion = s.version
	id := [2]string{r.Table, r.Key}
	if r.Tombstone {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.changes = append(s.changes, r)
	if len(s.changes) > maxHistory {
		s.changes = s.changes[len(s.changes)-maxHistory:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler returns the handler of the store and the cloud API.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /rows-get", s.withFault(s.get))
	m.HandleFunc("GET /rows-feed", s.withFault(s.feed))
	m.HandleFunc("POST /rows-tx", s.withFault(s.commit))
	m.HandleFunc("POST /register", s.withFault(s.registerProcess))
	m.HandleFunc("POST /promotion", s.promote)
	return m
}

// withFault wraps a handler of the store. While a status is set with SetStatus, every
// request is answered with that status.
func (s *Server) withFault(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		status, era := s.status, s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
		if status != 0 {
			w.WriteHeader(status)
			return
		}
		serve(w, r)
	}
}

// sendRows sends an answer with rows that are complete up to a version.
func (s *Server) sendRows(w http.ResponseWriter, status int, rows []row, version uint64) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "HasMore": false, "RowVersion": version, "NowMs": time.Since(s.startTime).Milliseconds(),
	})
}

// get sends the rows of a table whose keys are at or after From and before
// Target; an empty Target is no bound.
func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	var rows []row
	for id, stored := range s.rows {
		if id[0] == query.Get("Table") && id[1] >= query.Get("From") && (query.Get("Target") == "" || id[1] < query.Get("Target")) {
			rows = append(rows, stored)
		}
	}
	version := s.version
	s.mu.Unlock()
	s.sendRows(w, http.StatusOK, rows, version)
}

// feed sends the changes of a table after a version. If there are none yet, it
// waits for one, and sends an empty list after WaitMs. It answers 410 Gone if the
// history does not reach back to the version, or the store does not have the version.
func (s *Server) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMs, waitErr := strconv.Atoi(query.Get("WaitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		rows, version, complete, changed := s.changesAfter(query.Get("Table"), after, era)
		if !complete {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 {
			s.sendRows(w, http.StatusOK, rows, version)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.sendRows(w, http.StatusOK, nil, version)
			return
		case <-r.Context().Done():
			return
		case <-s.closed:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
}

// changesAfter returns the changes of a table after a version of an era, the version up to
// which they are complete, whether the history has all changes since the version asked for,
// and a channel that is closed at the next change of any table.
func (s *Server) changesAfter(table string, after, era uint64) (rows []row, version uint64, complete bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era != s.era || after > s.version {
		return nil, s.version, false, s.changed
	}
	complete = after == s.version || len(s.changes) > 0 && s.changes[0].RowVersion <= after+1
	for _, r := range s.changes {
		if r.Table == table && r.RowVersion > after {
			rows = append(rows, r)
		}
	}
	return rows, s.version, complete, s.changed
}

// commit runs the writes of a transaction if every row in its precondition still
// has the version given, and answers 412 Precondition Failed otherwise. It ignores
// deletions, because hosts send none.
func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var request struct{ Precondition, Writes, Deletes []row }
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status := http.StatusOK
	for _, p := range request.Precondition {
		if s.rows[[2]string{p.Table, p.Key}].RowVersion != p.RowVersion {
			status = http.StatusPreconditionFailed
		}
	}
	if status == http.StatusOK {
		for _, change := range request.Writes {
			s.applyChange(change)
		}
	}
	lost := s.answersToLose > 0
	if lost {
		s.answersToLose--
	}
	version := s.version
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	s.sendRows(w, status, nil, version)
}

// promote passes a promotion order on to its group. It answers 409 Conflict if the
// group is unknown or refuses the order.
func (s *Server) promote(w http.ResponseWriter, r *http.Request) {
	var request struct {
		ServiceName string
		ID          string `json:"Id"`
	}
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if decodeErr := json.NewDecoder(r.Body).Decode(&request); err != nil || decodeErr != nil || r.Header.Get("Duty-Holder") == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	g, other := s.groups[request.ServiceName], s.promotion
	s.mu.Unlock()
	if g == nil && other != nil {
		answered, err := other(request.ServiceName, request.ID, r.Header.Get("Duty-Holder"), token)
		if !answered {
			<-r.Context().Done()
		}
		if err != nil {
			w.WriteHeader(http.StatusConflict)
		}
		return
	}
	if g == nil || g.Order(r.Context(), request.ID, token) != nil {
		w.WriteHeader(http.StatusConflict)
	}
}

// Close closes the members' listeners and ends the feed requests that wait.
func (s *Server) Close() {
	s.closeOnce.Do(func() { close(s.closed) })
	for _, l := range s.listeners {
		_ = l.Close()
	}
}
