package target

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"
)

const (
	defaultConnectTimeout      = 400 * time.Millisecond
	defaultControlTimeout      = 600 * time.Millisecond
	defaultMaxConnections      = 10
	defaultIdleTimeout         = 30 * time.Second
	defaultProbeIdleTime       = time.Second
	defaultProbeTimeout        = 400 * time.Millisecond
	defaultSilenceTimeout      = 600 * time.Millisecond
	defaultMaintenanceInterval = 200 * time.Millisecond
	defaultMaxAnswerBytes      = 4 << 20
)

// Options configures the connections to a target. Zero values select the defaults.
type Options struct {
	User        string
	ControlUser string // user of control connections and probes; needs pg_monitor to read pg_stat_activity
	Password    string
	Database    string

	ConnectTimeout      time.Duration // timeout for opening a connection; 400 ms
	ControlTimeout      time.Duration // timeout of a call on a control connection; 600 ms
	MaxConnections      int           // maximum connections of a Pool; 10
	IdleTimeout         time.Duration // idle time after which a connection is closed; 30 s
	ProbeIdleTime       time.Duration // time without traffic after which a connection is probed before use; 1 s
	ProbeTimeout        time.Duration // timeout of a probe; 400 ms
	SilenceTimeout      time.Duration // time without traffic after which a connection that awaits a reply is checked; 600 ms
	MaintenanceInterval time.Duration // interval between calls of Maintain; 200 ms; negative disables them
	MaxAnswerBytes      int           // maximum total size of the values in a result; 4 MiB

	// Dial opens the network connection. The default is net.Dialer.DialContext.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Logger may be nil.
	Logger *zap.Logger
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

func (o Options) withDefaults() Options {
	setDefault(&o.User, "waxwingspindle")
	setDefault(&o.ControlUser, "waxwingspindle_control")
	setDefault(&o.Database, "waxwingspindle")
	setDefault(&o.ConnectTimeout, defaultConnectTimeout)
	setDefault(&o.ControlTimeout, defaultControlTimeout)
	setDefault(&o.MaxConnections, defaultMaxConnections)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	setDefault(&o.ProbeIdleTime, defaultProbeIdleTime)
	setDefault(&o.ProbeTimeout, defaultProbeTimeout)
	setDefault(&o.SilenceTimeout, defaultSilenceTimeout)
	setDefault(&o.MaintenanceInterval, defaultMaintenanceInterval)
	setDefault(&o.MaxAnswerBytes, defaultMaxAnswerBytes)
	if o.Dial == nil {
		var dialer net.Dialer
		o.Dial = dialer.DialContext
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return o
}
