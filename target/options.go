package target

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"
)

const (
	defaultConnectTimeout = 400 * time.Millisecond
	defaultControlTimeout = 600 * time.Millisecond
	defaultMaxConnections = 10
	defaultIdleTimeout    = 30 * time.Second
	defaultProbeAge       = time.Second
	defaultProbeTimeout   = 400 * time.Millisecond
	defaultSilenceAge     = 600 * time.Millisecond
	defaultMaintenance    = 200 * time.Millisecond
	defaultMaxAnswerBytes = 4 << 20
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

func orDefault[T comparable](value *T, byDefault T) {
	var zero T
	if *value == zero {
		*value = byDefault
	}
}

func (o Options) withDefaults() Options {
	orDefault(&o.User, "waxwingspindle")
	orDefault(&o.ControlUser, "waxwingspindle_control")
	orDefault(&o.Database, "waxwingspindle")
	orDefault(&o.ConnectTimeout, defaultConnectTimeout)
	orDefault(&o.ControlTimeout, defaultControlTimeout)
	orDefault(&o.MaxConnections, defaultMaxConnections)
	orDefault(&o.IdleTimeout, defaultIdleTimeout)
	orDefault(&o.ProbeIdleTime, defaultProbeAge)
	orDefault(&o.ProbeTimeout, defaultProbeTimeout)
	orDefault(&o.SilenceTimeout, defaultSilenceAge)
	orDefault(&o.MaintenanceInterval, defaultMaintenance)
	orDefault(&o.MaxAnswerBytes, defaultMaxAnswerBytes)
	if o.Dial == nil {
		var dialer net.Dialer
		o.Dial = dialer.DialContext
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return o
}
