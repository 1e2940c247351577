//go:build wireinject

package host

import (
	"github.com/google/wire"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/conf"
)

// New returns a host with the settings, listening but not yet started. The error
// lists everything that is wrong with the settings or the files that they name.
func New(s conf.Settings, log *zap.Logger) (*Host, error) {
	wire.Build(providers)
	return nil, nil
}
