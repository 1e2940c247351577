// Package wrap adds to errors where they came from.
package wrap

import "github.com/go-faster/errors"

// If returns err with a message before it, or nil where err is nil.
func If(err error, message string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, message)
}
