// Package plat is a stand-in for the platform: a transactional table service, an
// object store and a list of hosts, over HTTP with JSON.
package plat

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// row is one row of the table service, as it is encoded in requests and answers.
type row struct {
	Key     string
	Value   []byte
	Version uint64
}

// hostEntry is one entry of the list of hosts, as it is encoded in an answer.
type hostEntry struct {
	Host    string
	Address string
	Zone    string
	Leaving bool
}

// Platform is the HTTP handler of the stand-in. Its methods, including those that
// inject faults, are safe for concurrent use.
type Platform struct {
	// mu guards the fields below.
	mu      sync.Mutex
	rows    map[string]row
	objects map[string][]byte
	hosts   []hostEntry
	down    bool
	// answersToLose is how many of the next writes get no answer.
	answersToLose int
	// delay is the time that every request waits before it is served.
	delay time.Duration
	// reads and writes are the numbers of requests that read and that write.
	reads  int64
	writes int64
}

// New returns an empty platform.
func New() *Platform {
	return &Platform{rows: map[string]row{}, objects: map[string][]byte{}}
}

// SetDown sets whether every request fails.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// SetDelay sets the delay of every request.
func (p *Platform) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// LoseAnswers makes the next n successful writes get no answer: their connections
// are closed instead.
func (p *Platform) LoseAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answersToLose = n
}

// SetHost adds a host to the list of hosts or replaces its entry.
func (p *Platform) SetHost(host, address, zone string, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = slices.DeleteFunc(p.hosts, func(e hostEntry) bool { return e.Host == host })
	p.hosts = append(p.hosts, hostEntry{host, address, zone, leaving})
}

// RequestCounts returns the numbers of requests so far that read and that write.
// Requests that failed because the platform was down are not counted.
func (p *Platform) RequestCounts() (reads, writes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.writes
}

// ServeHTTP serves one request.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	down, delay := p.down, p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	if down {
		http.Error(w, "the platform is down", http.StatusServiceUnavailable)
		return
	}
	switch {
	case r.URL.Path == "/rows":
		p.scanRows(w, r)
	case r.URL.Path == "/commit":
		p.commit(w, r)
	case r.URL.Path == "/hosts":
		p.listHosts(w)
	case strings.HasPrefix(r.URL.Path, "/objects/"):
		p.serveObject(w, r)
	default:
		http.NotFound(w, r)
	}
}

// scanRows sends the rows whose keys have a prefix, sorted by key. With the query
// last=1 it sends only the last of these rows.
func (p *Platform) scanRows(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	p.mu.Lock()
	p.reads++
	rows := []row{}
	for key, v := range p.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, v)
		}
	}
	p.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	if n := len(rows); r.URL.Query().Get("last") == "1" && n > 1 {
		rows = rows[n-1:]
	}
	writeJSON(w, rows)
}

// commit writes all rows if each still has the version given. Otherwise it writes
// none and answers 409 Conflict.
func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var rows []row
	if err := json.NewDecoder(r.Body).Decode(&rows); err != nil {
		http.Error(w, "the body can't be read", http.StatusBadRequest)
		return
	}
	if !p.apply(rows) {
		http.Error(w, "a row has another version", http.StatusConflict)
		return
	}
	p.answerOrLose(w)
}

// apply writes all rows with their next versions if each still has the version
// given, and reports whether it did so.
func (p *Platform) apply(rows []row) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	for _, r := range rows {
		if p.rows[r.Key].Version != r.Version {
			return false
		}
	}
	for _, r := range rows {
		r.Version++
		p.rows[r.Key] = r
	}
	return true
}

// answerOrLose answers a write, or closes its connection without an answer if
// LoseAnswers applies to it.
func (p *Platform) answerOrLose(w http.ResponseWriter) {
	p.mu.Lock()
	lose := p.answersToLose > 0
	if lose {
		p.answersToLose--
	}
	p.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, true)
}

func (p *Platform) listHosts(w http.ResponseWriter) {
	p.mu.Lock()
	p.reads++
	hosts := slices.Clone(p.hosts)
	p.mu.Unlock()
	writeJSON(w, hosts)
}

// serveObject sends an object, writes an object, or lists the names of objects. It
// never overwrites an object: a second write has no effect but succeeds.
func (p *Platform) serveObject(w http.ResponseWriter, r *http.Request) {
	name := strings.TrimPrefix(r.URL.Path, "/objects/")
	if r.Method == http.MethodPut {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		p.mu.Lock()
		p.writes++
		if _, ok := p.objects[name]; !ok {
			p.objects[name] = body
		}
		p.mu.Unlock()
		p.answerOrLose(w)
		return
	}
	if r.URL.Query().Get("list") == "1" {
		p.listObjects(w, name, r.URL.Query().Get("after"))
		return
	}
	p.mu.Lock()
	p.reads++
	body, ok := p.objects[name]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(body)
}

// listObjects sends the sorted names of the objects whose names begin with prefix
// and are greater than after.
func (p *Platform) listObjects(w http.ResponseWriter, prefix, after string) {
	p.mu.Lock()
	p.reads++
	names := []string{}
	for name := range p.objects {
		if strings.HasPrefix(name, prefix) && name > after {
			names = append(names, name)
		}
	}
	p.mu.Unlock()
	slices.Sort(names)
	writeJSON(w, names)
}

// writeJSON sends v encoded as JSON.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
