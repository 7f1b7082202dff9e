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

// Options are the settings of the connections to a target. Zero values stand for the defaults.
type Options struct {
	User        string
	ControlUser string // user of control connections and probes; needs pg_monitor to see states in pg_stat_activity
	Password    string
	Database    string

	ConnectTimeout      time.Duration // longest time to open a connection; 400 ms
	ControlTimeout      time.Duration // longest time of a call over a control connection; 600 ms
	MaxConnections      int           // connections of a Pool; 10
	IdleTimeout         time.Duration // age at which an idle connection is closed; 30 s
	ProbeIdleTime       time.Duration // time since the last byte after which a connection is probed before its use; 1 s
	ProbeTimeout        time.Duration // longest time of a probe; 400 ms
	SilenceTimeout      time.Duration // time without a byte after which a waiting connection is checked; 600 ms
	MaintenanceInterval time.Duration // time between calls of Maintain; 200 ms, none when negative
	MaxAnswerBytes      int           // greatest size of the values in an answer; 4 MiB

	// Dial opens the network connection. The default is net.Dialer.
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
