//go:build race

package e2e

// The processes of the tests are built with the race detector when the tests are.
func init() { buildFlags = append(buildFlags, "-race") }
