// Command waxwingspindle is a database proxy with session consistency. It contains the daemon and the command line for
// operators.
package main

import (
	"context"
	"os"

	"github.com/waxwingspindle/waxwingspindle/cli"
)

func main() {
	os.Exit(cli.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
