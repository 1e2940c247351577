package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/pistachiotray/pistachiotray/connection/cloud"
	"github.com/pistachiotray/pistachiotray/connection/oper"
	"github.com/pistachiotray/pistachiotray/process/conf"
	"github.com/pistachiotray/pistachiotray/process/guard"
	"github.com/pistachiotray/pistachiotray/process/publ"
)

// remote holds the flags of commands that connect to the platform or to hosts.
type remote struct {
	platform  string
	operators []string
	keyFile   string
	asJSON    bool
	timeout   time.Duration
}

// defaultTimeout is the default of --timeout.
const defaultTimeout = 30 * time.Second

// addPlatformFlags adds the flag for the platform and the common flags.
func (r *remote) addPlatformFlags(c *cobra.Command) {
	c.Flags().StringVar(&r.platform, "platform", conf.Defaults().Platform, "URL of the platform's table service and object store")
	r.addCommonFlags(c)
}

// addOperatorFlags adds the flags for connections to hosts.
func (r *remote) addOperatorFlags(c *cobra.Command) {
	c.Flags().StringSliceVar(&r.operators, "operator", []string{conf.Defaults().OperatorListen}, "operator address of a host; may be given again")
	c.Flags().StringVar(&r.keyFile, "peer-key-file", "", "file with the key that authenticates operators")
}

// addCommonFlags adds the flags for the output format and the time limit.
func (r *remote) addCommonFlags(c *cobra.Command) {
	c.Flags().BoolVar(&r.asJSON, "json", false, "print JSON")
	c.Flags().DurationVar(&r.timeout, "timeout", defaultTimeout, "time limit of the command")
}

// run sets flags from environment variables and calls f with a context that
// ends after the timeout.
func (r *remote) run(c *cobra.Command, f func(ctx context.Context) error) error {
	if err := conf.ApplyEnvironment(c.Flags()); err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(c.Context(), r.timeout)
	defer stop()
	return f(ctx)
}

// newStore returns a client of the platform behind a circuit breaker.
func (r *remote) newStore() *guard.Breaker {
	return guard.New(cloud.New(r.platform, http.DefaultClient))
}

// newPublisher returns a publisher that records the current user as the author.
func (r *remote) newPublisher() *publ.Publisher {
	author := "unknown"
	if u, err := user.Current(); err == nil {
		author = u.Username
	}
	return publ.New(r.newStore(), author)
}

// readPeerKey returns the key in the peer key file, or an empty string if no
// file is set.
func (r *remote) readPeerKey() (string, error) {
	if r.keyFile == "" {
		return "", nil
	}
	key, err := os.ReadFile(r.keyFile)
	if err != nil {
		return "", errors.Wrap(err, "peer-key-file")
	}
	return strings.TrimSpace(string(key)), nil
}

// queryHost runs an operator command at one host and decodes the JSON answer
// into the value to which answer points.
func (r *remote) queryHost(ctx context.Context, address string, answer any, name string, arguments ...string) error {
	key, err := r.readPeerKey()
	if err != nil {
		return err
	}
	encoded, err := oper.New(address, key, http.DefaultClient).Command(ctx, name, arguments...)
	if err != nil {
		return err
	}
	return json.Unmarshal(encoded, answer)
}

// print prints value as JSON if the flag --json is set, or else the lines.
func (r *remote) print(c *cobra.Command, value any, lines ...string) error {
	if r.asJSON {
		e := json.NewEncoder(c.OutOrStdout())
		e.SetIndent("", "  ")
		return e.Encode(value)
	}
	for _, l := range lines {
		if _, err := fmt.Fprintln(c.OutOrStdout(), l); err != nil {
			return err
		}
	}
	return nil
}
