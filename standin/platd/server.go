// Package platd serves stand-ins of database groups, the table store and the
// cloud interface over the platform's protocols.
package platd

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pistachiotray/pistachiotray/standin/qgroup"
)

// historyKept is how many changes the store remembers.
const historyKept = 10_000

// row is a row on the wire.
type row struct {
	Table      string
	Part       string `json:"part"`
	Key        string
	Value      []byte `json:",omitempty"`
	RowVersion uint64
	Tombstone  bool `json:",omitempty"`
}

// Server is a platform with one store and some groups.
type Server struct {
	mu      sync.Mutex
	began   time.Time
	rows    map[[2]string]row
	changes []row
	version uint64
	changed chan struct{}
	// status is what every call to the store is answered with, or 0.
	status int
	// lose has the next writes done and not answered.
	lose  int
	bands map[string]*qgroup.Group
	// addresses are those of the members' listeners.
	addresses map[string]string
	listeners []net.Listener
	proxy     func(address string) string
	// closed ends the questions that the store holds.
	closed chan struct{}
	once   sync.Once
}

// New returns an empty platform.
func New() *Server {
	return &Server{
		began: time.Now(), rows: map[[2]string]row{}, changed: make(chan struct{}),
		bands: map[string]*qgroup.Group{}, addresses: map[string]string{}, proxy: func(address string) string { return address },
		closed: make(chan struct{}),
	}
}

// SetStatus has the store answer every call with a status, or serve again with 0.
func (w *Server) SetStatus(status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.status = status
}

// LoseAnswers has the next n writes done and not answered.
func (w *Server) LoseAnswers(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lose = n
}

// DropHistory drops the store's history.
func (w *Server) DropHistory() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.changes = nil
}

// Put writes a row as the operator or a target does.
func (w *Server) Put(table, key string, value any) {
	text, ok := value.([]byte)
	if !ok {
		text, _ = json.Marshal(value)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.write(row{Table: table, Key: key, Value: text})
}

// Delete deletes a row.
func (w *Server) Delete(table, key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.write(row{Table: table, Key: key, Tombstone: true})
}

// write takes a change; the caller holds the lock.
func (w *Server) write(r row) {
	w.version++
	r.RowVersion = w.version
	id := [2]string{r.Table, r.Key}
	if r.Tombstone {
		delete(w.rows, id)
	} else {
		w.rows[id] = r
	}
	w.changes = append(w.changes, r)
	if len(w.changes) > historyKept {
		w.changes = w.changes[len(w.changes)-historyKept:]
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

// Handler serves the store and the cloud interface.
func (w *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /rows-get", w.guard(w.get))
	m.HandleFunc("GET /rows-feed", w.guard(w.feed))
	m.HandleFunc("POST /rows-tx", w.guard(w.commit))
	m.HandleFunc("POST /promotion", w.promote)
	return m
}

func (w *Server) guard(serve http.HandlerFunc) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		status := w.status
		w.mu.Unlock()
		if status != 0 {
			out.WriteHeader(status)
			return
		}
		serve(out, r)
	}
}

// answer sends rows; the caller does not hold the lock.
func (w *Server) answer(out http.ResponseWriter, status int, rows []row) {
	w.mu.Lock()
	version := w.version
	w.mu.Unlock()
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(map[string]any{
		"rows": rows, "HasMore": false, "RowVersion": version, "NowMs": time.Since(w.began).Milliseconds(),
	})
}

func (w *Server) get(out http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	w.mu.Lock()
	var rows []row
	for id, one := range w.rows {
		if id[0] == q.Get("Table") && id[1] >= q.Get("From") && (q.Get("Target") == "" || id[1] < q.Get("Target")) {
			rows = append(rows, one)
		}
	}
	w.mu.Unlock()
	w.answer(out, http.StatusOK, rows)
}

func (w *Server) feed(out http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("WaitMs"))
	if err != nil || err2 != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		rows, known, changed := w.since(q.Get("Table"), after)
		if !known {
			out.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 {
			w.answer(out, http.StatusOK, rows)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			w.answer(out, http.StatusOK, nil)
			return
		case <-r.Context().Done():
			return
		case <-w.closed:
			out.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
}

func (w *Server) since(table string, after uint64) (rows []row, known bool, changed chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	known = after == w.version || len(w.changes) > 0 && w.changes[0].RowVersion <= after+1
	for _, r := range w.changes {
		if r.Table == table && r.RowVersion > after {
			rows = append(rows, r)
		}
	}
	return rows, known, w.changed
}

func (w *Server) commit(out http.ResponseWriter, r *http.Request) {
	var call struct{ Precondition, Writes, Deletes []row }
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	status := http.StatusOK
	for _, p := range call.Precondition {
		if w.rows[[2]string{p.Table, p.Key}].RowVersion != p.RowVersion {
			status = http.StatusPreconditionFailed
		}
	}
	if status == http.StatusOK {
		for _, one := range call.Writes {
			w.write(one)
		}
	}
	lost := w.lose > 0
	if lost {
		w.lose--
	}
	w.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.answer(out, status, nil)
}

func (w *Server) promote(out http.ResponseWriter, r *http.Request) {
	var call struct {
		ServiceName string
		ID          string `json:"Id"`
	}
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err2 := json.NewDecoder(r.Body).Decode(&call); err != nil || err2 != nil || r.Header.Get("Duty-Holder") == "" {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	b := w.bands[call.ServiceName]
	w.mu.Unlock()
	if b == nil || b.Order(r.Context(), call.ID, token) != nil {
		out.WriteHeader(http.StatusConflict)
	}
}

// Close ends the members' listeners and the questions that the store holds.
func (w *Server) Close() {
	w.once.Do(func() { close(w.closed) })
	for _, l := range w.listeners {
		_ = l.Close()
	}
}
