package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/waxwingspindle/waxwingspindle/config"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/server"
)

// serveCommand runs a daemon. Flags override the [daemon] section, because the hosts of a data centre share their files.
type serveCommand struct {
	Config         string `help:"Base file." type:"existingfile" required:""`
	Overlay        string `help:"Overlay of the data centre." type:"existingfile"`
	Host           string `help:"Host id, instead of [daemon] host." env:"WAXWINGSPINDLE_HOST"`
	DataCentre     string `help:"Data centre, instead of [daemon] data_centre." env:"WAXWINGSPINDLE_DATA_CENTRE"`
	CallerListen   string `help:"Address for callers, instead of [daemon] caller_listen."`
	OperatorListen string `help:"Address for operators, instead of [daemon] operator_listen."`
	PeerListen     string `help:"Address for daemons, instead of [daemon] peer_listen."`
	PlatformURL    string `help:"Base URL of the platform's service, instead of [daemon] platform_url."`
}

// Run runs the daemon until it has drained.
func (c *serveCommand) Run(e *environment) error {
	settings, err := c.settings()
	if err != nil {
		return err
	}
	log, level, err := newLogger(settings.Log.Level)
	if err != nil {
		return err
	}
	defer log.Sync()
	ctx, stop := signal.NotifyContext(e.ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	s, err := server.New(server.Options{Daemon: settings.Daemon, Log: log, Level: level})
	if err != nil {
		return err
	}
	return s.Run(ctx)
}

// settings reads the files and merges the flags over them.
func (c *serveCommand) settings() (*config.Settings, error) {
	base, err := readFile(c.Config)
	if err != nil {
		return nil, err
	}
	var overlay *config.File
	if c.Overlay != "" {
		f, err := readFile(c.Overlay)
		if err != nil {
			return nil, err
		}
		overlay = &f
	}
	options := config.File{Name: "command line", Text: c.options()}
	settings, err := config.ParseFiles(base, overlay, &options)
	if err != nil {
		return nil, err
	}
	return settings, settings.Daemon.Validate(c.Config)
}

// options returns the flags as the text of an overlay, so that they are validated like files.
func (c *serveCommand) options() string {
	var b strings.Builder
	b.WriteString("[daemon]\n")
	for _, o := range []struct{ key, value string }{
		{"host", c.Host}, {"data_centre", c.DataCentre}, {"caller_listen", c.CallerListen},
		{"operator_listen", c.OperatorListen}, {"peer_listen", c.PeerListen}, {"platform_url", c.PlatformURL},
	} {
		if o.value != "" {
			fmt.Fprintf(&b, "%s = %s\n", o.key, o.value)
		}
	}
	return b.String()
}

func readFile(name string) (config.File, error) {
	text, err := os.ReadFile(name)
	return config.File{Name: name, Text: string(text)}, err
}

// newLogger returns a logger that writes JSON lines to standard error, and its adjustable level.
func newLogger(level string) (*zap.Logger, zap.AtomicLevel, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, zap.AtomicLevel{}, err
	}
	c := zap.NewProductionConfig()
	c.Level = zap.NewAtomicLevelAt(parsed)
	c.Sampling = nil
	c.DisableCaller = true
	c.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	log, err := c.Build()
	return log, c.Level, err
}

// devDaemon is a running daemon of the development mode.
type devDaemon struct {
	settings config.Daemon
	done     chan error // receives the result of the daemon when it stops
}

func startDevDaemon(ctx context.Context, d config.Daemon, log *zap.Logger) (*devDaemon, error) {
	s, err := server.New(server.Options{Daemon: d, Log: log.With(zap.String("host", string(d.Host)))})
	if err != nil {
		return nil, err
	}
	r := &devDaemon{settings: d, done: make(chan error, 1)}
	go func() { r.done <- s.Run(ctx) }()
	return r, nil
}

// devHostID returns the host id of the daemon with the given index in the development mode.
func devHostID(n int) model.HostID { return model.HostID(fmt.Sprintf("host-%d", n+1)) }
