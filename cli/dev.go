package cli

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/config"
	genoperator "github.com/waxwingspindle/waxwingspindle/gen/operator"
	genplatform "github.com/waxwingspindle/waxwingspindle/gen/platform"
	"github.com/waxwingspindle/waxwingspindle/standin/platform"
	"github.com/waxwingspindle/waxwingspindle/standin/target"
)

// Settings of the development mode.
const (
	devOperatorToken = "development-operator-token"
	devPeerSecret    = "development-peer-secret"
	devFirstPort     = 7400
	devPortsPerHost  = 10
	devStartTimeout  = 20 * time.Second
)

// devCommand runs daemons in one process with stand-ins for the platform and the databases.
type devCommand struct {
	Daemons int  `help:"Number of daemons." default:"3"`
	Verbose bool `help:"Print the daemons' logs."`
}

// devSystem holds the running components of the development mode.
type devSystem struct {
	platformURL   string
	group         *target.Group
	daemons       []*devDaemon
	clientOptions clientOptions
}

// Run starts the system, prints example commands and runs until it is interrupted.
func (c *devCommand) Run(e *environment) error {
	ctx, stop := signal.NotifyContext(e.ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log := zap.NewNop()
	if c.Verbose {
		var err error
		if log, _, err = newLogger("info"); err != nil {
			return err
		}
	}
	fmt.Fprintln(e.stdout, "Starting the stand-ins and the daemons.")
	system, err := startDev(ctx, c.Daemons, log)
	if err != nil {
		return err
	}
	defer system.group.Close()
	key, err := system.configure(ctx)
	if err != nil {
		return err
	}
	system.printInstructions(e, key)
	<-ctx.Done()
	fmt.Fprintln(e.stdout, "Draining the daemons.")
	for _, d := range system.daemons {
		if err := <-d.done; err != nil {
			return err
		}
	}
	return nil
}

// startDev starts the stand-ins and the daemons.
func startDev(ctx context.Context, daemons int, log *zap.Logger) (*devSystem, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := platform.New()
	go p.Serve(context.WithoutCancel(ctx), listener)
	group, err := target.StartGroup(target.GroupOptions{Member: target.Options{ReplicationLag: 5 * time.Millisecond}})
	if err != nil {
		return nil, err
	}
	s := &devSystem{platformURL: "http://" + listener.Addr().String(), group: group}
	var hosts []*genplatform.PlatformHost
	for i := range daemons {
		d := s.daemonSettings(i)
		hosts = append(hosts, &genplatform.PlatformHost{ID: string(d.Host), Address: d.PeerListen,
			DataCentre: string(d.DataCentre), State: "live"})
	}
	p.SetHosts(hosts)
	for i := range daemons {
		d, err := startDevDaemon(ctx, s.daemonSettings(i), log)
		if err != nil {
			return nil, err
		}
		s.daemons = append(s.daemons, d)
	}
	s.clientOptions = clientOptions{Operator: "http://" + s.daemons[0].settings.OperatorListen, Token: devOperatorToken}
	return s, nil
}

func (s *devSystem) daemonSettings(n int) config.Daemon {
	port := devFirstPort + n*devPortsPerHost
	return config.Daemon{Host: devHostID(n), DataCentre: "local", CallerListen: fmt.Sprintf("127.0.0.1:%d", port),
		OperatorListen: fmt.Sprintf("127.0.0.1:%d", port+1), PeerListen: fmt.Sprintf("127.0.0.1:%d", port+2),
		PlatformURL: s.platformURL, OperatorToken: devOperatorToken, PeerSecret: devPeerSecret}
}

// declaration returns the text of a base file that declares the stand-ins' targets.
func (s *devSystem) declaration() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[daemon]\noperator_token = %s\npeer_secret = %s\n\n", devOperatorToken, devPeerSecret)
	b.WriteString("[service stock]\nslots = 3\nconnections = 20\n")
	for i, m := range s.group.Members {
		fmt.Fprintf(&b, "\n[target stock/db%d]\naddress = %s\ndata_centre = local\n", i+1, m.Address())
	}
	b.WriteString("\n[workspace workshop]\nrate = 200\nburst = 400\nservices = stock\n")
	return b.String()
}

// configure applies the declaration as soon as the daemons accept it, creates a key, and waits until all daemons serve.
func (s *devSystem) configure(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	api, err := s.clientOptions.newClient()
	if err != nil {
		return "", err
	}
	apply := &genoperator.ConfigApplyPayload{Authorization: s.clientOptions.authorization(), Base: s.declaration()}
	for {
		_, err = api.ConfigApply(ctx, apply)
		if err == nil {
			break
		}
		if err := s.stoppedError(); err != nil {
			return "", err
		}
		if ctx.Err() != nil {
			return "", fmt.Errorf("the daemons did not accept the configuration: %w", err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	r, err := api.KeyCreate(ctx, &genoperator.KeyCreatePayload{Authorization: s.clientOptions.authorization(),
		Workspace: "workshop"})
	if err != nil {
		return "", err
	}
	return r.Key, s.awaitServing(ctx)
}

// awaitServing waits until the health checks of all daemons succeed.
func (s *devSystem) awaitServing(ctx context.Context) error {
	for _, d := range s.daemons {
		for !healthy(ctx, d.settings.CallerListen) {
			if ctx.Err() != nil {
				return fmt.Errorf("daemon %s does not serve: %w", d.settings.Host, ctx.Err())
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// healthy reports whether the health check of a daemon succeeds.
func healthy(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusNoContent
}

// stoppedError returns the error of a daemon that has stopped, or nil if all daemons run.
func (s *devSystem) stoppedError() error {
	for _, d := range s.daemons {
		select {
		case err := <-d.done:
			return fmt.Errorf("daemon %s stopped: %w", d.settings.Host, err)
		default:
		}
	}
	return nil
}

// printInstructions prints example commands for the running system.
func (s *devSystem) printInstructions(e *environment, key string) {
	first, last := s.daemons[0].settings, s.daemons[len(s.daemons)-1].settings
	fmt.Fprintf(e.stdout, `
%d daemons, a platform and a group of three databases run in this process. Ctrl-C stops them.

Write through the first daemon:

  curl -si http://%s/v1/services/stock/statements -H 'Authorization: Bearer %s' \
    -d '{"sql":"INSERT INTO kv (key, value) VALUES ($1, $2)","args":["kit-7","reserved"]}'

Read it through the last daemon, with the X-Session-Token of the answer above:

  curl -s http://%s/v1/services/stock/statements -H 'Authorization: Bearer %s' \
    -H 'X-Session-Token: TOKEN' -d '{"sql":"SELECT value FROM kv WHERE key = $1","args":["kit-7"]}'

Look at the state:

  go run ./cmd/waxwingspindle status --operator http://%s --token %s

`, len(s.daemons), first.CallerListen, key, last.CallerListen, key, first.OperatorListen, devOperatorToken)
}
