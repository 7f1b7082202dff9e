package e2e

import (
	"syscall"
	"testing"
	"time"
)

// faultCase is a fault that is injected while sessions run.
type faultCase struct {
	name   string
	inject func(s *system)
	heal   func(s *system)
}

// memberAction kills or restarts a member of the database group.
func (s *system) memberAction(member, action string) {
	s.t.Helper()
	if err := sendJSON("POST", s.groupAdminURL+"/members/"+member+"/"+action, nil); err != nil {
		s.t.Fatal(err)
	}
}

// homeDaemon returns the daemon that is the home of the service.
func (s *system) homeDaemon() *daemonProcess {
	s.t.Helper()
	var status struct {
		Services []struct{ Home string }
	}
	s.eventually("the status names the home", func() error { return s.runJSON(&status, "status") })
	for _, d := range s.daemons {
		if d.id == status.Services[0].Home {
			return d
		}
	}
	s.t.Fatalf("home %q is not a daemon", status.Services[0].Home)
	return nil
}

var faultCases = []faultCase{
	{name: "primary killed", inject: func(s *system) { s.memberAction("m1", "kill") },
		heal: func(s *system) { s.memberAction("m1", "restart") }},
	{name: "primary cut off from the other members and from clients",
		inject: func(s *system) {
			s.setMemberFaults("m1", map[string]any{"cut": []map[string]string{{"peer": "*", "direction": "both"}}})
		},
		heal: func(s *system) { s.setMemberFaults("m1", map[string]any{"heal": true}) }},
	{name: "primary cut off from the other members only",
		inject: func(s *system) {
			s.setMemberFaults("m1", map[string]any{"cut": []map[string]string{{"peer": "m2", "direction": "both"},
				{"peer": "m3", "direction": "both"}}})
		},
		heal: func(s *system) { s.setMemberFaults("m1", map[string]any{"heal": true}) }},
	{name: "primary frozen", inject: func(s *system) { s.setMemberFaults("m1", map[string]any{"frozen": true}) },
		heal: func(s *system) { s.setMemberFaults("m1", map[string]any{"frozen": false}) }},
	{name: "connections silent", inject: func(s *system) { s.setMemberFaults("m1", map[string]any{"silence": true}) },
		heal: func(*system) {}},
	{name: "answers of commits lost", inject: func(s *system) { s.setMemberFaults("m1", map[string]any{"lose_answers": 20}) },
		heal: func(*system) {}},
	{name: "replicas lag", inject: func(s *system) {
		s.setMemberFaults("m2", map[string]any{"lag_ms": 300})
		s.setMemberFaults("m3", map[string]any{"lag_ms": 30})
	}, heal: func(s *system) {
		s.setMemberFaults("m2", map[string]any{"lag_ms": 0})
		s.setMemberFaults("m3", map[string]any{"lag_ms": 0})
	}},
	{name: "home frozen", inject: func(s *system) { s.frozenDaemon = s.homeDaemon(); s.frozenDaemon.signal(syscall.SIGSTOP) },
		heal: func(s *system) { s.frozenDaemon.signal(syscall.SIGCONT) }},
	{name: "store down", inject: func(s *system) { s.setPlatformFaults(map[string]any{"down": true}) },
		heal: func(s *system) { s.setPlatformFaults(map[string]any{}) }},
	{name: "store hangs", inject: func(s *system) { s.setPlatformFaults(map[string]any{"hang_silently": true}) },
		heal: func(s *system) { s.setPlatformFaults(map[string]any{}) }},
}

// Phases of a test with a fault.
const (
	faultDelay       = 3 * time.Second // a host reports no outage before it has read the store under its newest roster
	faultDuration    = 6 * time.Second
	recoveryDuration = 3 * time.Second
)

// TestSessionsUnderFaults guards against stale session reads, lost acknowledged writes, and duplicate writes while a
// single process fault is active. Each request of a session goes to a random daemon.
func TestSessionsUnderFaults(t *testing.T) {
	for i, f := range faultCases {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			s := startSystem(t, 3)
			stop := make(chan struct{})
			go func() {
				time.Sleep(faultDelay)
				f.inject(s)
				time.Sleep(faultDuration)
				f.heal(s)
				time.Sleep(recoveryDuration)
				close(stop)
			}()
			clients := runSessions(t, s, 4, uint64(i+1), stop)
			logSummary(t, clients)
			s.checkNoDuplicateCommits()
			for _, c := range clients {
				if c.sinceLastWrite > recoveryDuration {
					t.Errorf("session %d: no write was done after the fault ended", c.id)
				}
			}
		})
	}
}
