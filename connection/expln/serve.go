package expln

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/dryrun"
)

const (
	// Path is the path at which a host serves explanations.
	Path = "/explain"
	// maxAnswer bounds the answer of a host, in bytes: the targets of a group with all of
	// their lenders take some 100 KiB.
	maxAnswer = 8 << 20
)

// The parameters of a request.
const (
	databaseParameter = "Database"
	customerParameter = "Customer"
	writesParameter   = "Writes"
)

// Handler returns a handler that answers GET requests with an Explanation as JSON. The parameters
// are Database, Customer, which is a name and never a key, and Writes, which is a boolean.
func Handler(log *zap.Logger, explain func(database string, options ...func(*dryrun.Result)) dryrun.Result) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		writes, err := strconv.ParseBool(q.Get(writesParameter))
		if q.Get(databaseParameter) == "" || err != nil && q.Has(writesParameter) {
			http.Error(w, "the parameter Database is needed, and Writes must be true or false", http.StatusBadRequest)
			return
		}
		e := New(explain(q.Get(databaseParameter), dryrun.WithCustomer(q.Get(customerParameter)), dryrun.WithWrites(writes)))
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(e); err != nil {
			log.Info("explanation not sent", zap.String("Error", err.Error()))
		}
	})
}

// Fetch returns the explanation of the host that serves figures at an address, which is a URL or
// a host name or IP address with a port.
func Fetch(ctx context.Context, client *http.Client, address, database, customer string, writes bool) (Explanation, error) {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	q := url.Values{databaseParameter: {database}, customerParameter: {customer}, writesParameter: {strconv.FormatBool(writes)}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, address+Path+"?"+q.Encode(), nil)
	if err != nil {
		return Explanation{}, errors.Wrap(err, "Explanation.Fetch")
	}
	answer, err := client.Do(r)
	if err != nil {
		return Explanation{}, errors.Wrap(err, "Explanation.Fetch")
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return Explanation{}, errors.Wrap(err, "Explanation.Fetch")
	}
	if answer.StatusCode != http.StatusOK {
		return Explanation{}, errors.Errorf("Explanation.Fetch: %s: %s", answer.Status, strings.TrimSpace(string(body)))
	}
	var e Explanation
	if err := json.Unmarshal(body, &e); err != nil {
		return Explanation{}, errors.Wrap(err, "Explanation.Fetch")
	}
	return e, nil
}
