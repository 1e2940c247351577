package main

import (
	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/pistachiotray/pistachiotray/process/conf"
)

// newRootCommand returns the root command with all subcommands.
func newRootCommand() *cobra.Command {
	c := &cobra.Command{
		Use:           "pistachiotray",
		Short:         "A database proxy for PostgreSQL's protocol with session consistency",
		SilenceUsage:  true,
		SilenceErrors: false,
	}
	c.AddCommand(serveCommand(), proxyCommand(), demoCommand(), standinCommand(), replayCommand(), compareCommand(), loadCommand(), checkCommand(), publishCommand(), historyCommand(), diffCommand(),
		rollbackCommand(), statusCommand(), explainCommand(), drainCommand(), switchCommand(), auditCommand(), storyCommand(), pagesCommand(), versionCommand())
	return c
}

// newLogger returns a logger that writes JSON lines of a level and above to
// standard error, without sampling.
func newLogger(level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	c := zap.NewProductionConfig()
	c.Level = zap.NewAtomicLevelAt(l)
	c.Sampling = nil
	c.EncoderConfig = logEncoderConfig()
	return c.Build()
}

// logEncoderConfig returns the encoding of log lines, as JSON with keys in
// Pascal case. The command story and other readers of the log rely on these
// keys.
func logEncoderConfig() zapcore.EncoderConfig {
	e := zap.NewProductionEncoderConfig()
	e.TimeKey = "Time"
	e.LevelKey = "Level"
	e.NameKey = "Host"
	e.CallerKey = "Caller"
	e.MessageKey = "Message"
	e.StacktraceKey = "Stacktrace"
	e.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	e.EncodeDuration = zapcore.MillisDurationEncoder
	return e
}

// checkSettings sets flags from environment variables and then validates the
// settings. The error lists every invalid variable or, if there is none, every
// invalid setting.
func checkSettings(c *cobra.Command, s *conf.Settings) error {
	if err := conf.ApplyEnvironment(c.Flags()); err != nil {
		return err
	}
	return s.Validate()
}
