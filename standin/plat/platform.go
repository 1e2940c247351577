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

// row is one row in the form that is sent.
type row struct {
	Key     string
	Value   []byte
	Version uint64
}

// hostEntry is one entry of the list of hosts, in the form that is sent.
type hostEntry struct {
	Host    string
	Address string
	Zone    string
	Leaving bool
}

// Platform is the stand-in. Its faults may be changed at any time.
type Platform struct {
	mu      sync.Mutex
	rows    map[string]row
	objects map[string][]byte
	hosts   []hostEntry
	down    bool
	// answersToLose is how many of the next writes get no answer.
	answersToLose int
	// delay is added to every request.
	delay time.Duration
	// reads and writes count the requests.
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

// LoseAnswers makes the next n writes take effect and get no answer.
func (p *Platform) LoseAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answersToLose = n
}

// SetHost adds a host to the list or replaces its entry.
func (p *Platform) SetHost(host, address, zone string, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = slices.DeleteFunc(p.hosts, func(e hostEntry) bool { return e.Host == host })
	p.hosts = append(p.hosts, hostEntry{host, address, zone, leaving})
}

// RequestCounts returns the numbers of reads and writes so far.
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

// scanRows sends the rows whose keys have a prefix, sorted by key; with last=1
// only the last one.
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

// commit writes all rows if each still has the version given, otherwise none.
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

// apply writes rows for commit. It reports whether all versions matched.
func (p *Platform) apply(rows []row) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	for _, n := range rows {
		if p.rows[n.Key].Version != n.Version {
			return false
		}
	}
	for _, n := range rows {
		n.Version++
		p.rows[n.Key] = n
	}
	return true
}

// answerOrLose answers a write, or aborts the connection if the answer is to be
// lost.
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

// serveObject sends an object, writes one that does not exist yet, or lists the
// names of objects.
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

// listObjects sends the names of the objects that have a prefix and come after a
// name, sorted.
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

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
