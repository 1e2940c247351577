// Package cloud is a client of the platform's table service, object store and list
// of hosts.
package cloud

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/record"
	"github.com/pistachiotray/pistachiotray/process/wrap"
)

// maxAnswerBytes is the maximum length of an answer. A longer answer is cut off.
const maxAnswerBytes = 64 << 20

// ErrConflict is returned by Commit if the stored version of a row is not the given
// one.
var ErrConflict = errors.New("a row has another version")

// ErrNotFound is returned by GetObject if there is no object of the given name.
var ErrNotFound = errors.New("no such object")

// Client is a client of the platform. A write that returns ErrConflict has had no
// effect. After any other error the write may or may not have taken effect.
type Client struct {
	baseURL string
	client  *http.Client
}

// New returns a client of the platform at a base URL.
func New(baseURL string, client *http.Client) *Client {
	return &Client{baseURL: baseURL, client: client}
}

// Scan returns the rows whose keys begin with the prefix, in ascending order of
// keys. If last is set, it returns only the last of these rows.
func (c *Client) Scan(ctx context.Context, prefix string, last bool) ([]record.Row, error) {
	q := url.Values{"prefix": {prefix}}
	if last {
		q.Set("last", "1")
	}
	var rows []record.Row
	err := c.get(ctx, "/rows?"+q.Encode(), &rows)
	return rows, wrap.If(err, "read rows from the platform")
}

// Commit writes all rows if the stored version of each row is still the given one.
// Otherwise it writes none and returns ErrConflict.
func (c *Client) Commit(ctx context.Context, rows ...record.Row) error {
	body, err := json.Marshal(rows)
	if err != nil {
		return errors.Wrap(err, "encode rows for the platform")
	}
	_, err = c.do(ctx, http.MethodPost, "/commit", body)
	return wrap.If(err, "write rows to the platform")
}

// PutObject writes an object. It leaves an existing object of that name unchanged
// and returns no error.
func (c *Client) PutObject(ctx context.Context, name string, body []byte) error {
	_, err := c.do(ctx, http.MethodPut, "/objects/"+name, body)
	return wrap.If(err, "write an object to the platform")
}

// GetObject returns the content of an object, or ErrNotFound.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	body, err := c.do(ctx, http.MethodGet, "/objects/"+name, nil)
	return body, wrap.If(err, "read an object from the platform")
}

// ListObjects returns, in ascending order, the names of objects that have the given
// prefix and are greater than after.
func (c *Client) ListObjects(ctx context.Context, prefix, after string) ([]string, error) {
	q := url.Values{"list": {"1"}, "after": {after}}
	var names []string
	err := c.get(ctx, "/objects/"+prefix+"?"+q.Encode(), &names)
	return names, wrap.If(err, "list the platform's objects")
}

// Hosts returns the hosts that the platform lists, without those that are leaving.
// The list may be out of date.
func (c *Client) Hosts(ctx context.Context) ([]gossip.HostInfo, error) {
	var listed []struct {
		Host    string
		Address string
		Zone    string
		Leaving bool
	}
	if err := c.get(ctx, "/hosts", &listed); err != nil {
		return nil, errors.Wrap(err, "list the platform's hosts")
	}
	hosts := make([]gossip.HostInfo, 0, len(listed))
	for _, l := range listed {
		if !l.Leaving {
			hosts = append(hosts, gossip.New(l.Host, l.Address, l.Zone, 0))
		}
	}
	return hosts, nil
}

// get requests a path and decodes the JSON answer into result.
func (c *Client) get(ctx context.Context, path string, result any) error {
	body, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, result)
}

// do sends a request and returns the body of the answer. It returns ErrConflict for
// the HTTP status 409 (Conflict), ErrNotFound for 404 (Not Found), and another error
// for any other status outside of 200 to 299.
func (c *Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := c.client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, err
	}
	switch {
	case response.StatusCode == http.StatusConflict:
		return nil, ErrConflict
	case response.StatusCode == http.StatusNotFound:
		return nil, ErrNotFound
	case response.StatusCode/100 != 2:
		return nil, errors.Errorf("the platform answered %s", response.Status)
	}
	return content, nil
}
