// Package guard turns panics of decoders into errors, so that one malformed message costs its connection or its entry and
// not the process. It is meant for code that only reads its input: after a panic elsewhere, state may be inconsistent, and
// the process has to end.
package guard

import (
	"runtime/debug"

	"github.com/gravitational/trace"
)

// Decode calls decode and returns its error, or an error with the stack if it panics.
func Decode(decode func() error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = trace.Errorf("decoding panicked: %v\n%s", r, debug.Stack())
		}
	}()
	return decode()
}
