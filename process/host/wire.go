//go:build wireinject

package host

import (
	"github.com/google/wire"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/conf"
)

// New returns a host that listens on its addresses but is not started yet. The
// error lists every invalid setting or else every file that cannot be read or
// every address that cannot be opened.
func New(s conf.Settings, log *zap.Logger) (*Host, error) {
	wire.Build(providers)
	return nil, nil
}
