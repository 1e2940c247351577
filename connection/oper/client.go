// Package oper sends operators' commands to a host.
package oper

import (
	"context"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/connection/wirepb"
	"github.com/pistachiotray/pistachiotray/connection/wirepb/wirepbconnect"
)

// Client sends operators' commands to one host.
type Client struct {
	client wirepbconnect.OperatorClient
	key    string
}

// New returns a client of the host at an address, which is a URL or a host name or IP
// address with a port. The key is sent with each command, unless it is empty.
func New(address, key string, client *http.Client) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return &Client{client: wirepbconnect.NewOperatorClient(client, address), key: key}
}

// Command sends a command to the host, which runs it, and returns the answer as
// JSON.
func (c *Client) Command(ctx context.Context, name string, arguments ...string) ([]byte, error) {
	r := connect.NewRequest(&wirepb.CommandRequest{Name: name, Arguments: arguments})
	if c.key != "" {
		r.Header().Set("Authorization", "Bearer "+c.key)
	}
	response, err := c.client.Command(ctx, r)
	if err != nil {
		return nil, errors.Wrap(err, "Client.Command")
	}
	return response.Msg.GetJson(), nil
}
