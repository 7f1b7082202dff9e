package e2e

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/cli"
)

// commandResult is the exit code and the output of a command-line invocation.
type commandResult struct {
	code           int
	stdout, stderr string
}

// runCommand runs the command-line client with exactly these arguments.
func runCommand(t testing.TB, args ...string) commandResult {
	t.Helper()
	cmd := exec.Command(filepath.Join(binaryDir, "waxwingspindle"), args...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	if err := cmd.Run(); err != nil && !errors.As(err, new(*exec.ExitError)) {
		t.Error(err)
	}
	return commandResult{code: cmd.ProcessState.ExitCode(), stdout: stdout.String(), stderr: stderr.String()}
}

// runCommandOn runs the command-line client against a daemon.
func runCommandOn(t testing.TB, d *daemonProcess, args ...string) commandResult {
	t.Helper()
	return runCommand(t, append(args, "--operator", "http://"+d.operatorAddress, "--token", operatorToken)...)
}

// expect checks the exit code and that the output contains the texts.
func (r commandResult) expect(t testing.TB, code int, texts ...string) commandResult {
	t.Helper()
	if r.code != code {
		t.Fatalf("exit code %d, want %d\nstdout: %s\nstderr: %s", r.code, code, r.stdout, r.stderr)
	}
	for _, text := range texts {
		if !strings.Contains(r.stdout+r.stderr, text) {
			t.Errorf("%q is missing\nstdout: %s\nstderr: %s", text, r.stdout, r.stderr)
		}
	}
	return r
}

// decode unmarshals JSON output.
func (r commandResult) decode(t testing.TB, to any) {
	t.Helper()
	if err := json.Unmarshal([]byte(r.stdout), to); err != nil {
		t.Fatalf("%v in output %q", err, r.stdout)
	}
}

// changeResult is the JSON output of a configuration change.
type changeResult struct {
	Version                uint64
	Changed                bool
	Differences            []string
	Confirmed, Unconfirmed []string
}

// currentConfiguration returns the version and the base file in force on the first daemon.
func (s *system) currentConfiguration() (version uint64, base string) {
	s.t.Helper()
	var shown struct {
		Version uint64
		Base    string
	}
	runCommandOn(s.t, s.daemons[0], "config", "show", "--output", "json").expect(s.t, cli.ExitOK).decode(s.t, &shown)
	return shown.Version, shown.Base
}

// editConfiguration writes a copy of the configuration in force with one replacement and returns the file name.
func (s *system) editConfiguration(from, to string) string {
	s.t.Helper()
	_, base := s.currentConfiguration()
	if !strings.Contains(base, from) {
		s.t.Fatalf("%q is not in the configuration in force:\n%s", from, base)
	}
	f, err := os.CreateTemp(s.dir, "edited-*.ini")
	if err != nil {
		s.t.Fatal(err)
	}
	defer f.Close()
	if _, err := f.WriteString(strings.Replace(base, from, to, 1)); err != nil {
		s.t.Fatal(err)
	}
	return f.Name()
}

// expectUnchanged runs a step and checks that it does not change the configuration in force.
func (s *system) expectUnchanged(t testing.TB, step func()) {
	t.Helper()
	version, base := s.currentConfiguration()
	step()
	if after, text := s.currentConfiguration(); after != version || text != base {
		t.Errorf("the configuration changed from version %d to %d", version, after)
	}
}

// rateLine returns a rate line of the base file. Most of these tests replace one.
func rateLine(n int) string { return fmt.Sprintf("rate = %d", n) }

// TestOperate guards against subcommands that do not work with running daemons, and against exit codes that misreport the
// result to scripts.
func TestOperate(t *testing.T) {
	s := startSystem(t, 3)
	for _, step := range []struct {
		name string
		run  func(testing.TB, *system)
	}{
		{"usage", checkUsageErrors},
		{"unreachable daemon and wrong token", checkNoAccess},
		{"status", checkStatus},
		{"invalid files", checkInvalidFiles},
		{"check, diff, apply and show", checkApply},
		{"conflict", checkConflict},
		{"race", checkRace},
		{"workspace", checkWorkspace},
		{"keys", checkKeys},
		{"store outage", checkOutage},
		{"drain", checkDrain},
	} {
		t.Run(step.name, func(t *testing.T) {
			parent := s.t
			s.t = t // the system's helpers report to the running subtest
			defer func() { s.t = parent }()
			step.run(t, s)
		})
	}
}

func checkUsageErrors(t testing.TB, s *system) {
	runCommand(t, "--help").expect(t, cli.ExitOK, "config apply", "key create", "workspace set", "drain")
	runCommand(t, "config", "apply", "--help").expect(t, cli.ExitOK, "--expect-version")
	runCommand(t, "--version").expect(t, cli.ExitOK, cli.Version)
	runCommand(t).expect(t, cli.ExitUsage)
	runCommand(t, "config", "remove").expect(t, cli.ExitUsage)
	runCommand(t, "status", "--colour").expect(t, cli.ExitUsage, "--colour")
	runCommand(t, "status", "--output", "xml").expect(t, cli.ExitUsage, "--output")
	runCommandOn(t, s.daemons[0], "config", "apply", s.baseFile).expect(t, cli.ExitUsage, "--expect-version")
	runCommand(t, "config", "check", s.baseFile+".missing").expect(t, cli.ExitUsage, s.baseFile+".missing")
}

func checkNoAccess(t testing.TB, s *system) {
	operator := "http://" + s.daemons[0].operatorAddress
	for _, args := range [][]string{
		{"status"}, {"drain"}, {"config", "show"}, {"config", "diff", s.baseFile},
		{"config", "apply", s.baseFile, "--expect-version", "1"}, {"key", "create", "workshop"},
		{"key", "withdraw", s.keyID}, {"workspace", "set", "workshop", "--rate", "1"},
	} {
		nobody := "http://" + localAddress(unusedPort(t))
		runCommand(t, append(args, "--operator", nobody, "--token", operatorToken)...).expect(t, cli.ExitUnavailable,
			"did not answer")
		runCommand(t, append(args, "--operator", operator, "--token", operatorToken+"x")...).expect(t, cli.ExitInvalid,
			"operator_token_invalid")
		runCommand(t, append(args, "--operator", operator)...).expect(t, cli.ExitInvalid, "operator_token_invalid")
	}
	s.mustDo(s.statementRequest(s.daemons[0], "", selectSQL, "any"))
}

func checkStatus(t testing.TB, s *system) {
	var status struct {
		Host, State          string
		ConfigurationVersion uint64
		Members              []struct{ Host, State string }
		Services             []struct {
			Service, Home, Primary string
			Targets                []struct{ Target, State, Role string }
		}
	}
	runCommandOn(t, s.daemons[1], "status", "--output", "json").expect(t, cli.ExitOK).decode(t, &status)
	version, _ := s.currentConfiguration()
	if status.Host != s.daemons[1].id || status.State != "serving" || status.ConfigurationVersion != version ||
		len(status.Members) != len(s.daemons) || len(status.Services) != 1 || len(status.Services[0].Targets) != 3 {
		t.Fatalf("status: %+v", status)
	}
	runCommandOn(t, s.daemons[1], "status").expect(t, cli.ExitOK, "Host "+s.daemons[1].id+" in data centre brest is serving",
		"service stock: home "+status.Services[0].Home)
}

func checkInvalidFiles(t testing.TB, s *system) {
	notNumber := s.editConfiguration("slots = 3", "slots = many")
	unknown := s.editConfiguration("slots = 3", "slots = 3\nslotz = 3")
	for name, text := range map[string]string{notNumber: `key "slots" has value "many"`, unknown: `key "slotz"`} {
		s.expectUnchanged(t, func() {
			runCommand(t, "config", "check", name).expect(t, cli.ExitInvalid, name, text)
			runCommandOn(t, s.daemons[0], "config", "diff", name).expect(t, cli.ExitInvalid, name, text)
			runCommandOn(t, s.daemons[0], "config", "apply", name, "--expect-version", "1").expect(t, cli.ExitInvalid, name, text)
		})
	}
	s.expectUnchanged(t, func() { applyWithoutValidation(t, s, unknown) })
}

// applyWithoutValidation sends a file to the daemon without the client-side validation, and expects a refusal.
func applyWithoutValidation(t testing.TB, s *system, name string) {
	t.Helper()
	base, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	version, _ := s.currentConfiguration()
	data, err := json.Marshal(map[string]any{"base": string(base), "expected_version": version})
	if err != nil {
		t.Fatal(err)
	}
	q, err := http.NewRequest(http.MethodPost, "http://"+s.daemons[0].operatorAddress+"/v1/config", bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set("Authorization", "Bearer "+operatorToken)
	r, err := client.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	var body struct {
		Reason   string
		Problems []string
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		t.Fatal(err)
	}
	if r.StatusCode != http.StatusBadRequest || body.Reason != "configuration_invalid" || len(body.Problems) != 1 {
		t.Errorf("an invalid file got %s: %+v", r.Status, body)
	}
}

func checkApply(t testing.TB, s *system) {
	d, next := s.daemons[0], s.editConfiguration(rateLine(1000), rateLine(900))
	version, _ := s.currentConfiguration()
	expect := fmt.Sprint(version)
	difference := "base [workspace workshop] rate: 1000 -> 900"
	runCommand(t, "config", "check", next).expect(t, cli.ExitOK, "valid")
	runCommandOn(t, d, "config", "diff", s.baseFile).expect(t, cli.ExitOK)
	s.expectUnchanged(t, func() { runCommandOn(t, d, "config", "diff", next).expect(t, cli.ExitDifferent, difference) })
	apply := []string{"config", "apply", next, "--expect-version", expect, "--change-id", "operate-1", "--output", "json"}
	var c changeResult
	runCommandOn(t, d, apply...).expect(t, cli.ExitOK).decode(t, &c)
	if c.Version != version+1 || !c.Changed || len(c.Differences) != 1 || c.Differences[0] != difference ||
		len(c.Confirmed) != len(s.daemons) || len(c.Unconfirmed) != 0 {
		t.Errorf("apply: %+v", c)
	}
	// A retry after a lost response must be accepted and must not change anything again.
	s.expectUnchanged(t, func() { runCommandOn(t, s.daemons[1], apply...).expect(t, cli.ExitOK) })
	runCommandOn(t, d, "config", "show").expect(t, cli.ExitOK, fmt.Sprintf("# version %d", version+1), rateLine(900))
	runCommandOn(t, d, "config", "diff", next).expect(t, cli.ExitOK)
	runCommandOn(t, d, "config", "apply", next, "--expect-version", fmt.Sprint(version+1)).expect(t, cli.ExitOK,
		"Nothing to change")
}

func checkConflict(t testing.TB, s *system) {
	version, _ := s.currentConfiguration()
	first, second := s.editConfiguration(rateLine(900), rateLine(800)), s.editConfiguration(rateLine(900), rateLine(700))
	expect := fmt.Sprint(version)
	runCommandOn(t, s.daemons[0], "config", "apply", first, "--expect-version", expect).expect(t, cli.ExitOK)
	s.expectUnchanged(t, func() {
		runCommandOn(t, s.daemons[1], "config", "apply", second, "--expect-version", expect).expect(t, cli.ExitConflict,
			fmt.Sprintf("version %d, not at version %d", version+1, version), "rate: 800 -> 700")
	})
}

// workshopRate matches the rate of the first workspace in the base file.
var workshopRate = regexp.MustCompile(`(?m)^rate += .*$`)

// checkRace applies two files concurrently through different daemons. Exactly one must be accepted, and the other operator
// must get the difference.
func checkRace(t testing.TB, s *system) {
	const rounds = 3
	for round := range rounds {
		version, base := s.currentConfiguration()
		old := workshopRate.FindString(base)
		rates := [2]string{rateLine(801 + round), rateLine(601 + round)}
		files := [2]string{s.editConfiguration(old, rates[0]), s.editConfiguration(old, rates[1])}
		var results [2]commandResult
		var wg sync.WaitGroup
		for i := range results {
			wg.Go(func() {
				results[i] = runCommandOn(t, s.daemons[i], "config", "apply", files[i], "--expect-version", fmt.Sprint(version))
			})
		}
		wg.Wait()
		won, lost := 0, 1
		if results[0].code != cli.ExitOK {
			won, lost = 1, 0
		}
		results[won].expect(t, cli.ExitOK)
		results[lost].expect(t, cli.ExitConflict, "base [workspace workshop] rate: ")
		if after, text := s.currentConfiguration(); after != version+1 || !strings.Contains(text, rates[won]) {
			t.Fatalf("version %d after version %d, without the accepted change:\n%s", after, version, text)
		}
	}
}

func checkWorkspace(t testing.TB, s *system) {
	d := s.daemons[2]
	runCommandOn(t, d, "workspace", "set", "school", "--rate", "70", "--burst", "30").expect(t, cli.ExitOK,
		"[workspace school] rate: 50 -> 70", "[workspace school] burst: 20 -> 30")
	runCommandOn(t, d, "workspace", "set", "kits", "--rate", "5", "--burst", "5", "--services", "stock").expect(t, cli.ExitOK,
		"[workspace kits] rate: (added) 5")
	s.expectUnchanged(t, func() {
		runCommandOn(t, d, "workspace", "set", "unfinished", "--rate", "5").expect(t, cli.ExitInvalid, `key "burst"`)
		runCommandOn(t, d, "workspace", "set", "school", "--rate=-1").expect(t, cli.ExitInvalid,
			"rate must be greater or equal than 0")
		runCommandOn(t, d, "workspace", "set", "school", "--services", "none").expect(t, cli.ExitInvalid, `has value "none"`)
		runCommandOn(t, d, "workspace", "set", "school", "--rate", "1", "--expect-version", "1").expect(t, cli.ExitConflict)
	})
}

func checkKeys(t testing.TB, s *system) {
	var created struct {
		Key, KeyID string
		Change     changeResult
	}
	runCommandOn(t, s.daemons[0], "key", "create", "school", "--output", "json").expect(t, cli.ExitOK).decode(t, &created)
	if len(created.Change.Confirmed) != len(s.daemons) {
		t.Fatalf("the key is in force on %v", created.Change.Confirmed)
	}
	for _, d := range s.daemons {
		s.mustDo(request{daemon: d, key: created.Key, path: "/statements", body: map[string]any{"sql": selectSQL,
			"args": []any{"any"}}})
	}
	runCommandOn(t, s.daemons[1], "key", "withdraw", created.KeyID).expect(t, cli.ExitOK, "Accepted")
	for _, d := range s.daemons {
		a, err := request{daemon: d, key: created.Key, path: "/statements", body: map[string]any{"sql": selectSQL,
			"args": []any{"any"}}}.send()
		if err != nil || a.Status != http.StatusUnauthorized || a.Outcome != "not_run" {
			t.Errorf("%s responds to a withdrawn key with %+v, error %v", d.id, a, err)
		}
	}
	s.expectUnchanged(t, func() {
		runCommandOn(t, s.daemons[0], "key", "withdraw", created.KeyID).expect(t, cli.ExitOK, "Nothing to change")
		runCommandOn(t, s.daemons[0], "key", "withdraw", "no-such-key").expect(t, cli.ExitInvalid, "key_not_found")
		runCommandOn(t, s.daemons[0], "key", "create", "no-such-workspace").expect(t, cli.ExitInvalid, "workspace_not_found")
	})
}

// checkOutage checks that changes are refused while the store is down, that statements continue to work, and that
// read-only commands use the configuration in force.
func checkOutage(t testing.TB, s *system) {
	d := s.daemons[0]
	version, base := s.currentConfiguration()
	next := s.editConfiguration(workshopRate.FindString(base), rateLine(500))
	s.setPlatformFaults(map[string]any{"down": true})
	s.eventually("the outage is proven", func() error {
		if r := runCommandOn(t, d, "status"); !strings.Contains(r.stdout, "is serving") ||
			!strings.Contains(r.stdout, "proof of freshness: outage") {
			return fmt.Errorf("status: %s%s", r.stdout, r.stderr)
		}
		return nil
	})
	s.expectUnchanged(t, func() {
		runCommandOn(t, d, "config", "apply", next, "--expect-version", fmt.Sprint(version)).expect(t, cli.ExitUnavailable,
			"not_accepted")
		runCommandOn(t, d, "key", "create", "workshop").expect(t, cli.ExitUnavailable, "not_accepted")
		runCommandOn(t, d, "key", "withdraw", s.keyID).expect(t, cli.ExitUnavailable, "not_accepted")
		runCommandOn(t, d, "workspace", "set", "school", "--rate", "1").expect(t, cli.ExitUnavailable, "not_accepted")
		runCommandOn(t, d, "config", "diff", next).expect(t, cli.ExitDifferent, "rate: ")
	})
	for _, daemon := range s.daemons {
		s.mustDo(s.statementRequest(daemon, "", insertSQL, "outage", daemon.id))
	}
	s.setPlatformFaults(map[string]any{})
	s.eventually("a change is accepted again", func() error {
		if r := runCommandOn(t, d, "workspace", "set", "school", "--rate", "60"); r.code != cli.ExitOK {
			return errors.New(r.stderr)
		}
		return nil
	})
}

func checkDrain(t testing.TB, s *system) {
	d := s.daemons[2]
	runCommandOn(t, d, "drain").expect(t, cli.ExitOK, "draining")
	select {
	case <-d.done:
	case <-time.After(waitTimeout):
		t.Fatal("the daemon did not stop")
	}
	if code := d.cmd.ProcessState.ExitCode(); code != cli.ExitOK {
		t.Errorf("the drained daemon stopped with exit code %d", code)
	}
	runCommandOn(t, d, "status").expect(t, cli.ExitUnavailable, "did not answer")
	s.mustDo(s.statementRequest(s.daemons[0], "", selectSQL, "any"))
}
