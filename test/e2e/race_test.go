//go:build race

package e2e

// Builds the processes under test with the race detector if the tests are built with it.
func init() { buildFlags = append(buildFlags, "-race") }
