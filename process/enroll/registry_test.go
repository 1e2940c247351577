package enroll_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/platform/store"
	"github.com/pistachiotray/pistachiotray/process/assign"
	"github.com/pistachiotray/pistachiotray/process/enroll"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/record"
	"github.com/pistachiotray/pistachiotray/process/stamp"
	"github.com/pistachiotray/pistachiotray/standin/platd"
)

// countingHandler passes HTTP requests on to the simulated platform and counts
// them.
type countingHandler struct {
	http.Handler
	calls atomic.Int64
}

func (c *countingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.calls.Add(1)
	c.Handler.ServeHTTP(w, r)
}

// startHost creates and registers host h1 and returns its Hosts and the number of
// calls to the store. Unless first is true, it lists the table before it
// registers the host.
func startHost(t *testing.T, c *countingHandler, s *store.Client, first bool) (*enroll.Registry, int64) {
	t.Helper()
	is := is.New(t)
	callsBefore := c.calls.Load()
	self := gossip.New("h1", "10.0.0.1:7000", "a", 0)
	h := enroll.New(zap.NewNop(), s, self, map[string]string{"a": "r"}, func(assign.Assignment) {})
	if !first {
		rows, at, err := s.List(t.Context(), enroll.Table)
		is.NoErr(err)
		h.Apply(rows, at, true)
	}
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	h.Register(ctx, false, first)
	is.NoErr(ctx.Err())
	return h, c.calls.Load() - callsBefore
}

// isLeaving reports whether the stored row of host h1 has the leaving flag.
func isLeaving(t *testing.T, s *store.Client) bool {
	t.Helper()
	r, _, err := s.Get(t.Context(), enroll.Table, "h1")
	if err != nil || r.Version == 0 {
		t.Fatal(r, err)
	}
	return string(r.Value) == `{"Address":"10.0.0.1:7000","Zone":"a","Leaving":true}`
}

func TestCallsToRegister(t *testing.T) {
	is := is.New(t)
	platform := platd.New()
	c := &countingHandler{Handler: platform.Handler()}
	server := httptest.NewServer(c)
	defer server.Close()
	defer platform.Close()
	s := store.New(server.Listener.Addr().String())

	h, calls := startHost(t, c, s, true)
	is.Equal(calls, int64(1)) // only the write, since first is true
	is.True(!isLeaving(t, s))
	callsBefore := c.calls.Load()
	h.Register(t.Context(), true, false)
	is.Equal(c.calls.Load()-callsBefore, int64(1)) // only the write, since the row's version is known
	is.True(isLeaving(t, s))

	_, calls = startHost(t, c, s, false)
	is.Equal(calls, int64(2)) // the listing and the write
	is.True(!isLeaving(t, s))
	_, calls = startHost(t, c, s, false)
	is.Equal(calls, int64(1)) // only the listing, since the stored row is already correct

	// The host must register even if first is true and it has a row already.
	_, calls = startHost(t, c, s, true)
	is.True(calls <= 3)
	is.True(!isLeaving(t, s))
}

// A host that drains meanwhile must not come back as one that stays.
func TestRegistrationLostByTheStoreIsWrittenAgain(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		is := is.New(t)
		platform := platd.New()
		server := httptest.NewServer(platform.Handler())
		s := store.New(server.Listener.Addr().String())
		ctx, stop := context.WithCancel(t.Context())
		rg := enroll.New(zap.NewNop(), s, gossip.New("h1", "10.0.0.1:7000", "a", 0), map[string]string{"a": "r"}, func(assign.Assignment) {})
		go rg.Maintain(ctx)
		list := func() {
			rows, at, err := s.List(ctx, enroll.Table)
			is.NoErr(err)
			rg.Apply(rows, at, true)
		}
		platform.Copy()
		rg.Register(ctx, false, true)
		if leaving {
			platform.Copy()
			rg.Register(ctx, true, false)
		}
		list()
		platform.Restore()
		list()
		for range 200 {
			r, _, err := s.Get(ctx, enroll.Table, "h1")
			is.NoErr(err)
			if r.Version > 0 && leaving == isLeaving(t, s) {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(isLeaving(t, s), leaving)
		stop()
		platform.Close()
		server.Close()
	}
}

// A malformed registration must neither end the process nor hide the others.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"Address":"10.0.0.2:7000","Zone":"a","Leaving":false}`))
	f.Add([]byte(`{"Address":"10.0.0.2:70000"}`))
	f.Add([]byte(`{"Address":"10.0.0.2:7000","Zone":"a","Leaving":false,"Unheard":true}`))
	f.Add([]byte(`{"Address":"10.0.0.2:0","Zone":[[[[`))
	f.Fuzz(func(t *testing.T, value []byte) {
		var known assign.Assignment
		rg := enroll.New(zap.NewNop(), nil, gossip.New("h1", "10.0.0.1:7000", "a", 0), map[string]string{"a": "r"}, func(a assign.Assignment) { known = a })
		good := []byte(`{"Address":"10.0.0.3:7000","Zone":"a"}`)
		rg.Apply([]record.Row{record.New("odd", value).WithVersion(1), record.New("good", good).WithVersion(2)}, stamp.New(1, 2), true)
		if _, ok := known.Host("good"); !ok {
			t.Errorf("%q hides another host", value)
		}
		if h, ok := known.Host("odd"); ok && (h.Address == "" || strings.HasSuffix(h.Address, ":0")) {
			t.Errorf("%q is decoded as a host without an address: %+v", value, h)
		}
	})
}
