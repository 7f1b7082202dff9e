// Command waxwingspindle is a database proxy with session consistency: the daemon and the operators' command line.
package main

import (
	"context"
	"os"

	"github.com/waxwingspindle/waxwingspindle/cli"
)

func main() {
	os.Exit(cli.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
