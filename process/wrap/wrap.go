// Package wrap adds context to errors.
package wrap

import "github.com/go-faster/errors"

// If returns err wrapped with a message, or nil if err is nil.
func If(err error, message string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, message)
}
