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

// reach holds the flags by which a command reaches the platform and hosts.
type reach struct {
	platform  string
	operators []string
	keyFile   string
	asJSON    bool
	timeout   time.Duration
}

const defaultTimeout = 30 * time.Second

func (r *reach) platformFlags(c *cobra.Command) {
	c.Flags().StringVar(&r.platform, "platform", conf.Defaults().Platform, "URL of the platform's table service and object store")
	r.commonFlags(c)
}

func (r *reach) operatorFlags(c *cobra.Command) {
	c.Flags().StringSliceVar(&r.operators, "operator", []string{conf.Defaults().OperatorListen}, "operator address of a host; may be given again")
	c.Flags().StringVar(&r.keyFile, "peer-key-file", "", "file with the key that operators show")
}

func (r *reach) commonFlags(c *cobra.Command) {
	c.Flags().BoolVar(&r.asJSON, "json", false, "print JSON")
	c.Flags().DurationVar(&r.timeout, "timeout", defaultTimeout, "longest time that the command may take")
}

// with reads environment variables and bounds the command's time.
func (r *reach) with(c *cobra.Command, f func(ctx context.Context) error) error {
	if err := conf.ApplyEnvironment(c.Flags()); err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(c.Context(), r.timeout)
	defer stop()
	return f(ctx)
}

func (r *reach) store() *guard.Breaker {
	return guard.New(cloud.New(r.platform, http.DefaultClient))
}

func (r *reach) publisher() *publ.Publisher {
	by := "unknown"
	if u, err := user.Current(); err == nil {
		by = u.Username
	}
	return publ.New(r.store(), by)
}

func (r *reach) key() (string, error) {
	if r.keyFile == "" {
		return "", nil
	}
	text, err := os.ReadFile(r.keyFile)
	if err != nil {
		return "", errors.Wrap(err, "peer-key-file")
	}
	return strings.TrimSpace(string(text)), nil
}

// ask runs an operator's command at one host and reads its JSON into out.
func (r *reach) ask(ctx context.Context, address string, out any, name string, arguments ...string) error {
	key, err := r.key()
	if err != nil {
		return err
	}
	text, err := oper.New(address, key, http.DefaultClient).Command(ctx, name, arguments...)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, out)
}

// show prints a value as JSON, or its lines.
func (r *reach) show(c *cobra.Command, value any, lines ...string) error {
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
