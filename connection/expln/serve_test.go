package expln_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/expln"
	"github.com/pistachiotray/pistachiotray/process/dryrun"
)

// What an operator reads must be what the host decided, in text and as JSON.
func TestFetchReturnsWhatTheHostDecided(t *testing.T) {
	is := is.New(t)
	h := newHost()
	s := httptest.NewServer(expln.Handler(zap.NewNop(), h.explain))
	defer s.Close()
	for _, writes := range []bool{false, true} {
		for _, database := range []string{"orders", "menu", "unknown"} {
			e, err := expln.Fetch(t.Context(), s.Client(), strings.TrimPrefix(s.URL, "http://"), database, "bakery", writes)
			is.NoErr(err)
			is.Equal(e, expln.New(h.explain(database, dryrun.WithCustomer("bakery"), dryrun.WithWrites(writes))))
		}
	}
	is.Equal(h.dialed.Load(), int64(0))
}

// A request without a database, with a value that is no boolean, or for which nothing answers, must be
// an error and not an empty explanation.
func TestFaultyRequestsAreRefused(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(expln.Handler(zap.NewNop(), newHost().explain))
	_, err := expln.Fetch(t.Context(), s.Client(), s.URL, "", "bakery", false)
	is.True(err != nil && strings.Contains(err.Error(), "the parameter Database is needed"))
	answer, err := s.Client().Get(s.URL + expln.Path + "?Database=orders&Writes=maybe")
	is.NoErr(err)
	is.Equal(answer.StatusCode, http.StatusBadRequest)
	is.NoErr(answer.Body.Close())
	s.Close()
	_, err = expln.Fetch(t.Context(), http.DefaultClient, s.URL, "orders", "", false)
	is.True(err != nil)
}

// A refusal must be shown with its code, and a key that was given as a name must not be shown.
func TestRefusalsAreShown(t *testing.T) {
	is := is.New(t)
	h := newHost()
	lines := expln.New(h.explain("orders", dryrun.WithCustomer("secret-1"))).Lines()
	text := strings.Join(lines, "\n")
	is.True(strings.Contains(text, "result    refused, UnknownKey (308): "))
	is.True(!strings.Contains(text, "secret"))
	is.Equal(expln.New(h.explain("unknown")).Lines()[1], "result    refused, UnknownDatabase (304): the plan has no route for the database")
	is.True(strings.HasPrefix(expln.New(h.explain("menu", dryrun.WithWrites(true))).Lines()[0], "request   write of menu for public routes at "))
}
