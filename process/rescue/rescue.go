// Package rescue keeps a panic in the work for one caller, host or message from ending
// the process.
package rescue

import (
	"runtime/debug"

	"go.uber.org/zap"
)

// Run runs work and returns true. If work panics, Run logs the panic with its stack and
// returns false; deferred functions of work have run then.
func Run(log *zap.Logger, work func()) (ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			log.Error("work ended by a panic", zap.Any("Cause", cause), zap.String("Stack", string(debug.Stack())))
		}
	}()
	work()
	return true
}
