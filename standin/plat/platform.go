// Package plat holds the stand-in for the platform: a transactional table
// service, an object store and a list of hosts, over HTTP with JSON.
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

// row is one row as it travels.
type row struct {
	Key     string
	Value   []byte
	Version uint64
}

// hostEntry is one entry of the list of hosts.
type hostEntry struct {
	Host    string
	Address string
	Zone    string
	Leaving bool
}

// Platform is the stand-in. Its switches may be set at any time.
type Platform struct {
	mu       sync.Mutex
	rows     map[string]row
	objects  map[string][]byte
	hosts    []hostEntry
	down     bool
	loseNext int
	delay    time.Duration
	reads    int64
	writes   int64
}

// New returns an empty platform.
func New() *Platform {
	return &Platform{rows: map[string]row{}, objects: map[string][]byte{}}
}

// SetDown makes every request fail, or ends that.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// SetDelay makes every request slow.
func (p *Platform) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// LoseAnswers makes the next n writes take effect without an answer.
func (p *Platform) LoseAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loseNext = n
}

// SetHost adds a host to the list, or changes it.
func (p *Platform) SetHost(host, address, zone string, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = slices.DeleteFunc(p.hosts, func(e hostEntry) bool { return e.Host == host })
	p.hosts = append(p.hosts, hostEntry{host, address, zone, leaving})
}

// RequestCounts returns how many reads and writes were asked for.
func (p *Platform) RequestCounts() (reads, writes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.writes
}

// ServeHTTP answers one request.
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
		p.scan(w, r)
	case r.URL.Path == "/commit":
		p.commit(w, r)
	case r.URL.Path == "/hosts":
		p.list(w)
	case strings.HasPrefix(r.URL.Path, "/objects/"):
		p.object(w, r)
	default:
		http.NotFound(w, r)
	}
}

// scan returns the rows whose key has a prefix, in order of their keys; with
// last=1 only the last.
func (p *Platform) scan(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	p.mu.Lock()
	p.reads++
	found := []row{}
	for key, v := range p.rows {
		if strings.HasPrefix(key, prefix) {
			found = append(found, v)
		}
	}
	p.mu.Unlock()
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	if n := len(found); r.URL.Query().Get("last") == "1" && n > 1 {
		found = found[n-1:]
	}
	answer(w, found)
}

// commit writes all rows where each still has the version given, or none.
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

// answerOrLose answers a write, or breaks the connection in place of that.
func (p *Platform) answerOrLose(w http.ResponseWriter) {
	p.mu.Lock()
	lose := p.loseNext > 0
	if lose {
		p.loseNext--
	}
	p.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	answer(w, true)
}

func (p *Platform) list(w http.ResponseWriter) {
	p.mu.Lock()
	p.reads++
	hosts := slices.Clone(p.hosts)
	p.mu.Unlock()
	answer(w, hosts)
}

// object reads an object, writes it where it is missing, or lists names.
func (p *Platform) object(w http.ResponseWriter, r *http.Request) {
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
		p.names(w, name, r.URL.Query().Get("after"))
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

func (p *Platform) names(w http.ResponseWriter, prefix, after string) {
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
	answer(w, names)
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
