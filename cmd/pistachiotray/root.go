package main

import (
	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/pistachiotray/pistachiotray/process/conf"
)

// root returns the command with all its subcommands.
func root() *cobra.Command {
	c := &cobra.Command{
		Use:           "pistachiotray",
		Short:         "A database proxy for PostgreSQL's protocol with session consistency",
		SilenceUsage:  true,
		SilenceErrors: false,
	}
	c.AddCommand(serveCommand(), demoCommand(), standinCommand(), replayCommand(), compareCommand(), loadCommand(), checkCommand(), publishCommand(), historyCommand(), diffCommand(),
		rollbackCommand(), statusCommand(), explainCommand(), drainCommand(), switchCommand(), auditCommand(), pagesCommand(), versionCommand())
	return c
}

// newLog returns a log of JSON lines with keys in Pascal case.
func newLog(level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	c := zap.NewProductionConfig()
	c.Level = zap.NewAtomicLevelAt(l)
	c.Sampling = nil
	c.EncoderConfig.TimeKey = "Time"
	c.EncoderConfig.LevelKey = "Level"
	c.EncoderConfig.NameKey = "Host"
	c.EncoderConfig.CallerKey = "Caller"
	c.EncoderConfig.MessageKey = "Message"
	c.EncoderConfig.StacktraceKey = "Stacktrace"
	c.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return c.Build()
}

// checkSettings reads environment variables and lists every bad setting.
func checkSettings(c *cobra.Command, s *conf.Settings) error {
	if err := conf.Environment(c.Flags()); err != nil {
		return err
	}
	return s.Validate()
}
