package cli

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/waxwingspindle/waxwingspindle/gateway"
	"github.com/waxwingspindle/waxwingspindle/logging"
)

// gatewayCommand runs a host on a platform with a metadata store and a line protocol.
type gatewayCommand struct {
	Settings string `required:"" env:"WAXWINGSPINDLE_SETTINGS" type:"path" help:"Settings file (INI)."`
	LogLevel string `default:"info" enum:"debug,info,warn,error" help:"Lowest level of log lines."`
}

// Run serves until SIGTERM or SIGINT. SIGHUP reloads the settings file.
func (c *gatewayCommand) Run(env *environment) error {
	log, flush, err := logging.New(env.stdout, c.LogLevel)
	if err != nil {
		return err
	}
	defer flush()
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	return gateway.Run(c.Settings, log, gateway.Signals{Stop: stop, Reload: reload})
}
