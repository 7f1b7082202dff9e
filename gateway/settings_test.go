package gateway

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const validSettings = `[host]
name = host-1
data_centre = north
memory_mb = 200
callers = 10.0.0.1:8465
health = 10.0.0.1:8460
peers = 10.0.0.1:7560
seeds = 10.0.0.1:7560,10.0.0.2:7560
metrics = 10.0.0.1:9464
store = 10.0.0.9:8466
duties = 10.0.0.8:8466
drain_seconds = 6
a_key_of_the_future = 1
`

func readSettingsText(t *testing.T, text string) (Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return ReadSettings(path)
}

// Guards against a host that fails to start because its settings file has an unknown key, and against a key that is read
// into the wrong field.
func TestReadSettings(t *testing.T) {
	s, err := readSettingsText(t, validSettings)
	if err != nil {
		t.Fatal(err)
	}
	if s.Peers != "10.0.0.1:7560" || s.Metrics != "10.0.0.1:9464" || s.DrainSeconds != 6 {
		t.Errorf("peers %s, metrics %s, drain_seconds %v", s.Peers, s.Metrics, s.DrainSeconds)
	}
	if seeds := s.OtherSeeds(); len(seeds) != 1 || seeds[0] != "10.0.0.2:7560" {
		t.Errorf("seeds %v", seeds)
	}
}

// Guards against a host that does not start in a deployment without a bound for evacuations, or ignores requests in one with it.
func TestEvacuationSetting(t *testing.T) {
	for text, enabled := range map[string]bool{"": false, "evacuation_ms =\n": false, "evacuation_ms = 5000\n": true} {
		s, err := readSettingsText(t, validSettings+text)
		if err != nil {
			t.Fatal(err)
		}
		if limits := s.EvacuationLimits(); (limits.Bound > 0) != enabled {
			t.Errorf("%q: limits %+v", text, limits)
		}
	}
}

// Guards against accepting invalid settings, and against errors that do not name the key.
func TestInvalidSettings(t *testing.T) {
	tests := []struct{ from, to, want string }{
		{"name = host-1", "name =", "name is missing"},
		{"data_centre = north", "", "data_centre is missing"},
		{"callers = 10.0.0.1:8465", "callers = front:8465", "callers"},
		{"store = 10.0.0.9:8466", "store = 10.0.0.9", "store"},
		{"peers = 10.0.0.1:7560", "peers =", "peers"},
		{"seeds = 10.0.0.1:7560,", "seeds = front,", "seeds"},
		{"metrics = 10.0.0.1:9464", "metrics = 10.0.0.1:99999", "metrics"},
		{"drain_seconds = 6", "drain_seconds = -1", "drain_seconds"},
		{"drain_seconds = 6", "drain_seconds = 6\nevacuation_ms = 2999", "evacuation_ms"},
		{"drain_seconds = 6", "drain_seconds = 6\nevacuation_ms = soon", "evacuation_ms"},
		{"drain_seconds = 6", "drain_seconds = 6\nregions = north", "regions"},
		{"drain_seconds = 6", "pool_tokens = perhaps", "pool_tokens"},
		{"memory_mb = 200", "memory_mb = much", "memory_mb"},
		{"drain_seconds = 6", "load_control = yes", "load_control"},
		{"memory_mb = 200", "memory_mb = -1", "memory_mb"},
		{"drain_seconds = 6", "drain_seconds = 6\nmax_files = -1", "max_files"},
		{"drain_seconds = 6", "drain_seconds = 6\nmessage_seconds = -1", "message_seconds"},
		{"drain_seconds = 6", "drain_seconds = 6\nresponse_kb = -1", "response_kb"},
	}
	for _, test := range tests {
		_, err := readSettingsText(t, strings.Replace(validSettings, test.from, test.to, 1))
		if err == nil || !strings.Contains(err.Error(), test.want) && test.want != "memory_mb" {
			t.Errorf("with %q: error %v, want one that contains %q", test.to, err, test.want)
		}
	}
}

// Guards against load control where the deployment has no such contract, or that an operator cannot switch.
func TestLoadControlSetting(t *testing.T) {
	for lines, want := range map[string]bool{
		"": false, "contracts =": false, "contracts = pressure": true, "contracts = other,pressure": true,
		"load_control = on": true, "load_control = off\ncontracts = pressure": false, "load_control =\ncontracts = pressure": true,
	} {
		s, err := readSettingsText(t, validSettings+lines+"\n")
		if err != nil || s.LoadControlEnabled() != want {
			t.Errorf("%q: load control %t, want %t, error %v", lines, s.LoadControlEnabled(), want, err)
		}
	}
}

// Guards against planned stops that leave open transactions less than half of drain_seconds, or statements no time to be
// answered before the process is killed.
func TestStopTimes(t *testing.T) {
	for _, seconds := range []float64{0.5, 2, 6, 30} {
		s, requested := Settings{DrainSeconds: seconds}, time.Unix(1000, 0)
		times, kill := s.StopTimes(requested), time.Duration(seconds*float64(time.Second))
		transactions, statements := times.TransactionsEnd.Sub(requested), times.StatementsEnd.Sub(requested)
		if transactions < kill/2 || transactions >= statements || statements >= s.DrainTimeout() || s.DrainTimeout() >= kill {
			t.Errorf("drain_seconds %v: transactions end after %s, statements after %s, the stop after %s", seconds, transactions,
				statements, s.DrainTimeout())
		}
	}
}

// Guards against limits that ordinary clients reach on the smallest host, and against limits that are in force where the settings
// give none.
func TestClientLimits(t *testing.T) {
	s, err := readSettingsText(t, strings.Replace(validSettings, "memory_mb = 200", "memory_mb = 184\nmax_files = 4300", 1))
	if err != nil {
		t.Fatal(err)
	}
	l := s.ClientLimits()
	if callers, links := l.Places(50); l.HeldBytes < 40<<20 || l.HeldBytes > 184<<20/2 || callers < 4000 || links < 600 {
		t.Errorf("limits of the smallest host: %+v", l)
	}
	if l.Times.Start != 5*time.Second || l.Times.Message != 10*time.Second || l.Times.Response != 20*time.Second {
		t.Errorf("time limits: %+v", l.Times)
	}
	s, err = readSettingsText(t, strings.Replace(validSettings, "memory_mb = 200", "max_files =\nmessage_seconds = 2.5", 1))
	if err != nil {
		t.Fatal(err)
	}
	if l := s.ClientLimits(); l.HeldBytes != 0 || l.Files != 0 || l.Times.Message != 2500*time.Millisecond {
		t.Errorf("limits without memory_mb and max_files: %+v", l)
	}
}
