package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/pistachiotray/pistachiotray/platform/conf"
	"github.com/pistachiotray/pistachiotray/platform/node"
	"github.com/pistachiotray/pistachiotray/process/async"
)

const proxyUsage = `Proxy runs one host on the users' platform. SIGTERM or SIGINT shuts it down
gracefully within the grace period of the settings. SIGHUP reloads the settings
file.

The settings file is the one that the platform writes; the environment variable
PISTACHIOTRAY_CONFIG contains its path. It is checked before anything is started.
Log lines are written as JSON to standard output.`

func proxyCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "proxy",
		Short:   "Run one host on the users' platform",
		Long:    proxyUsage,
		Example: "  PISTACHIOTRAY_CONFIG=/etc/pistachiotray/boot.toml pistachiotray proxy",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return proxy(c.Context()) },
	}
}

// proxy runs one host until SIGTERM or SIGINT. It reloads the settings on
// SIGHUP.
func proxy(ctx context.Context) error {
	s, err := conf.Load()
	if err != nil {
		return err
	}
	logWriter := async.New(os.Stdout)
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(logEncoderConfig()), zapcore.AddSync(logWriter), zapcore.InfoLevel)).Named(s.Host)
	defer func() { _ = logWriter.Sync() }()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	n := node.New(s, log)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			n.Reload(conf.Load())
		}
	}()
	if err := n.Run(ctx); err != nil {
		log.Error("proxy stopped with an error", zap.String("Error", err.Error()))
		return err
	}
	return nil
}
