//go:build wireinject

package host

import (
	"github.com/google/wire"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/conf"
)

// New returns a host that listens on its addresses but is not started yet. It
// validates the settings, reads the files that they name and opens the
// addresses, and stops at the first of these steps that fails. The error lists
// all problems of that step.
func New(s conf.Settings, log *zap.Logger) (*Host, error) {
	wire.Build(providers)
	return nil, nil
}
