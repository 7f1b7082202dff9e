// Command standin-platform runs a stand-in for the platform's key-value store and host list, for tests and development.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/waxwingspindle/waxwingspindle/standin/platform"
)

type options struct {
	Listen string `help:"Address of the service." default:"127.0.0.1:7500"`
	Admin  string `help:"Address that tests set faults at." default:"127.0.0.1:7501"`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Stand-in of the platform's key-value service and list of hosts."))
	if err := run(o); err != nil {
		fmt.Fprintf(os.Stderr, "standin-platform: %v\n", err)
		os.Exit(1)
	}
}

func run(o options) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return err
	}
	admin, err := net.Listen("tcp", o.Admin)
	if err != nil {
		return err
	}
	p := platform.New()
	go http.Serve(admin, p.AdminHandler())
	fmt.Printf("listening on %s\n", listener.Addr())
	return p.Serve(ctx, listener)
}
