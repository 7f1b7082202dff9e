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

// commandResult is what a run of the command line returned.
type commandResult struct {
	code           int
	stdout, stderr string
}

// runCommand runs the command line with exactly these arguments.
func runCommand(t testing.TB, args ...string) commandResult {
	t.Helper()
	cmd := exec.Command(filepath.Join(binaries, "waxwingspindle"), args...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	if err := cmd.Run(); err != nil && !errors.As(err, new(*exec.ExitError)) {
		t.Error(err)
	}
	return commandResult{code: cmd.ProcessState.ExitCode(), stdout: stdout.String(), stderr: stderr.String()}
}

// runAt runs the command line against a daemon.
func runAt(t testing.TB, d *daemonProcess, args ...string) commandResult {
	t.Helper()
	return runCommand(t, append(args, "--operator", "http://"+d.operator, "--token", operatorToken)...)
}

// want checks the exit code and that the output contains the texts.
func (r commandResult) want(t testing.TB, code int, texts ...string) commandResult {
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

// decode reads JSON output.
func (r commandResult) decode(t testing.TB, to any) {
	t.Helper()
	if err := json.Unmarshal([]byte(r.stdout), to); err != nil {
		t.Fatalf("%v in output %q", err, r.stdout)
	}
}

// changed is the JSON answer to a change.
type changed struct {
	Version                uint64
	Changed                bool
	Differences            []string
	Confirmed, Unconfirmed []string
}

// inForce returns the version and the base file that the first daemon shows.
func (s *system) inForce() (version uint64, base string) {
	s.t.Helper()
	var shown struct {
		Version uint64
		Base    string
	}
	runAt(s.t, s.daemons[0], "config", "show", "--output", "json").want(s.t, cli.ExitOK).decode(s.t, &shown)
	return shown.Version, shown.Base
}

// edited writes a copy of the configuration in force with one replacement and returns the name of the file.
func (s *system) edited(from, to string) string {
	s.t.Helper()
	_, base := s.inForce()
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

// unchanged runs a step and checks that the configuration in force is the same afterwards.
func (s *system) unchanged(t testing.TB, step func()) {
	t.Helper()
	version, base := s.inForce()
	step()
	if after, text := s.inForce(); after != version || text != base {
		t.Errorf("the configuration went from version %d to %d", version, after)
	}
}

// rateOf is the line of the base file that most changes of these tests replace.
func rateOf(n int) string { return fmt.Sprintf("rate = %d", n) }

// TestOperate guards against a subcommand that does not do its work with running daemons, and against an exit code that
// tells a script something else than what happened.
func TestOperate(t *testing.T) {
	s := startSystem(t, 3)
	for _, step := range []struct {
		name string
		run  func(testing.TB, *system)
	}{
		{"usage", operateUsage},
		{"unreachable daemon and wrong token", operateNoAccess},
		{"status", operateStatus},
		{"invalid files", operateInvalid},
		{"check, diff, apply and show", operateApply},
		{"conflict", operateConflict},
		{"race", operateRace},
		{"workspace", operateWorkspace},
		{"keys", operateKeys},
		{"store outage", operateOutage},
		{"drain", operateDrain},
	} {
		t.Run(step.name, func(t *testing.T) {
			whole := s.t
			s.t = t // helpers of the system report to the step that runs
			defer func() { s.t = whole }()
			step.run(t, s)
		})
	}
}

func operateUsage(t testing.TB, s *system) {
	runCommand(t, "--help").want(t, cli.ExitOK, "config apply", "key create", "workspace set", "drain")
	runCommand(t, "config", "apply", "--help").want(t, cli.ExitOK, "--expect-version")
	runCommand(t, "--version").want(t, cli.ExitOK, cli.Version)
	runCommand(t).want(t, cli.ExitUsage)
	runCommand(t, "config", "remove").want(t, cli.ExitUsage)
	runCommand(t, "status", "--colour").want(t, cli.ExitUsage, "--colour")
	runCommand(t, "status", "--output", "xml").want(t, cli.ExitUsage, "--output")
	runAt(t, s.daemons[0], "config", "apply", s.base).want(t, cli.ExitUsage, "--expect-version")
	runCommand(t, "config", "check", s.base+".missing").want(t, cli.ExitUsage, s.base+".missing")
}

func operateNoAccess(t testing.TB, s *system) {
	operator := "http://" + s.daemons[0].operator
	for _, args := range [][]string{
		{"status"}, {"drain"}, {"config", "show"}, {"config", "diff", s.base},
		{"config", "apply", s.base, "--expect-version", "1"}, {"key", "create", "workshop"},
		{"key", "withdraw", s.keyID}, {"workspace", "set", "workshop", "--rate", "1"},
	} {
		nobody := "http://" + address(freePort(t))
		runCommand(t, append(args, "--operator", nobody, "--token", operatorToken)...).want(t, cli.ExitUnavailable,
			"did not answer")
		runCommand(t, append(args, "--operator", operator, "--token", operatorToken+"x")...).want(t, cli.ExitInvalid,
			"operator_token_invalid")
		runCommand(t, append(args, "--operator", operator)...).want(t, cli.ExitInvalid, "operator_token_invalid")
	}
	s.must(s.statement(s.daemons[0], "", selectSQL, "any"))
}

func operateStatus(t testing.TB, s *system) {
	var status struct {
		Host, State          string
		ConfigurationVersion uint64
		Members              []struct{ Host, State string }
		Services             []struct {
			Service, Home, Primary string
			Targets                []struct{ Target, State, Role string }
		}
	}
	runAt(t, s.daemons[1], "status", "--output", "json").want(t, cli.ExitOK).decode(t, &status)
	version, _ := s.inForce()
	if status.Host != s.daemons[1].id || status.State != "serving" || status.ConfigurationVersion != version ||
		len(status.Members) != len(s.daemons) || len(status.Services) != 1 || len(status.Services[0].Targets) != 3 {
		t.Fatalf("status: %+v", status)
	}
	runAt(t, s.daemons[1], "status").want(t, cli.ExitOK, "Host "+s.daemons[1].id+" in data centre brest is serving",
		"service stock: home "+status.Services[0].Home)
}

func operateInvalid(t testing.TB, s *system) {
	notNumber := s.edited("slots = 3", "slots = many")
	unknown := s.edited("slots = 3", "slots = 3\nslotz = 3")
	for name, text := range map[string]string{notNumber: `key "slots" has value "many"`, unknown: `key "slotz"`} {
		s.unchanged(t, func() {
			runCommand(t, "config", "check", name).want(t, cli.ExitInvalid, name, text)
			runAt(t, s.daemons[0], "config", "diff", name).want(t, cli.ExitInvalid, name, text)
			runAt(t, s.daemons[0], "config", "apply", name, "--expect-version", "1").want(t, cli.ExitInvalid, name, text)
		})
	}
	s.unchanged(t, func() { applyWithoutCheck(t, s, unknown) })
}

// applyWithoutCheck sends a file to the daemon without the check of the command line.
func applyWithoutCheck(t testing.TB, s *system, name string) {
	t.Helper()
	base, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	version, _ := s.inForce()
	data, err := json.Marshal(map[string]any{"base": string(base), "expected_version": version})
	if err != nil {
		t.Fatal(err)
	}
	q, err := http.NewRequest(http.MethodPost, "http://"+s.daemons[0].operator+"/v1/config", bytes.NewReader(data))
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

func operateApply(t testing.TB, s *system) {
	d, next := s.daemons[0], s.edited(rateOf(1000), rateOf(900))
	version, _ := s.inForce()
	expect := fmt.Sprint(version)
	difference := "base [workspace workshop] rate: 1000 -> 900"
	runCommand(t, "config", "check", next).want(t, cli.ExitOK, "valid")
	runAt(t, d, "config", "diff", s.base).want(t, cli.ExitOK)
	s.unchanged(t, func() { runAt(t, d, "config", "diff", next).want(t, cli.ExitDifferent, difference) })
	apply := []string{"config", "apply", next, "--expect-version", expect, "--change-id", "operate-1", "--output", "json"}
	var c changed
	runAt(t, d, apply...).want(t, cli.ExitOK).decode(t, &c)
	if c.Version != version+1 || !c.Changed || len(c.Differences) != 1 || c.Differences[0] != difference ||
		len(c.Confirmed) != len(s.daemons) || len(c.Unconfirmed) != 0 {
		t.Errorf("apply: %+v", c)
	}
	// A repetition after a lost answer must not be refused and must not change anything again.
	s.unchanged(t, func() { runAt(t, s.daemons[1], apply...).want(t, cli.ExitOK) })
	runAt(t, d, "config", "show").want(t, cli.ExitOK, fmt.Sprintf("# version %d", version+1), rateOf(900))
	runAt(t, d, "config", "diff", next).want(t, cli.ExitOK)
	runAt(t, d, "config", "apply", next, "--expect-version", fmt.Sprint(version+1)).want(t, cli.ExitOK, "Nothing to change")
}

func operateConflict(t testing.TB, s *system) {
	version, _ := s.inForce()
	first, second := s.edited(rateOf(900), rateOf(800)), s.edited(rateOf(900), rateOf(700))
	expect := fmt.Sprint(version)
	runAt(t, s.daemons[0], "config", "apply", first, "--expect-version", expect).want(t, cli.ExitOK)
	s.unchanged(t, func() {
		runAt(t, s.daemons[1], "config", "apply", second, "--expect-version", expect).want(t, cli.ExitConflict,
			fmt.Sprintf("version %d, not at version %d", version+1, version), "rate: 800 -> 700")
	})
}

// workshopRate finds the rate of the first workspace of the base file.
var workshopRate = regexp.MustCompile(`(?m)^rate += .*$`)

// operateRace applies two files at once through different daemons: exactly one is accepted, and the other operator sees
// the difference.
func operateRace(t testing.TB, s *system) {
	const rounds = 3
	for round := range rounds {
		version, base := s.inForce()
		old := workshopRate.FindString(base)
		rates := [2]string{rateOf(801 + round), rateOf(601 + round)}
		files := [2]string{s.edited(old, rates[0]), s.edited(old, rates[1])}
		var results [2]commandResult
		var wg sync.WaitGroup
		for i := range results {
			wg.Go(func() {
				results[i] = runAt(t, s.daemons[i], "config", "apply", files[i], "--expect-version", fmt.Sprint(version))
			})
		}
		wg.Wait()
		won, lost := 0, 1
		if results[0].code != cli.ExitOK {
			won, lost = 1, 0
		}
		results[won].want(t, cli.ExitOK)
		results[lost].want(t, cli.ExitConflict, "base [workspace workshop] rate: ")
		if after, text := s.inForce(); after != version+1 || !strings.Contains(text, rates[won]) {
			t.Fatalf("version %d after version %d, without the accepted change:\n%s", after, version, text)
		}
	}
}

func operateWorkspace(t testing.TB, s *system) {
	d := s.daemons[2]
	runAt(t, d, "workspace", "set", "school", "--rate", "70", "--burst", "30").want(t, cli.ExitOK,
		"[workspace school] rate: 50 -> 70", "[workspace school] burst: 20 -> 30")
	runAt(t, d, "workspace", "set", "kits", "--rate", "5", "--burst", "5", "--services", "stock").want(t, cli.ExitOK,
		"[workspace kits] rate: (added) 5")
	s.unchanged(t, func() {
		runAt(t, d, "workspace", "set", "unfinished", "--rate", "5").want(t, cli.ExitInvalid, `key "burst"`)
		runAt(t, d, "workspace", "set", "school", "--rate=-1").want(t, cli.ExitInvalid, "rate must be greater or equal than 0")
		runAt(t, d, "workspace", "set", "school", "--services", "none").want(t, cli.ExitInvalid, `has value "none"`)
		runAt(t, d, "workspace", "set", "school", "--rate", "1", "--expect-version", "1").want(t, cli.ExitConflict)
	})
}

func operateKeys(t testing.TB, s *system) {
	var created struct {
		Key, KeyID string
		Change     changed
	}
	runAt(t, s.daemons[0], "key", "create", "school", "--output", "json").want(t, cli.ExitOK).decode(t, &created)
	if len(created.Change.Confirmed) != len(s.daemons) {
		t.Fatalf("the key is in force on %v", created.Change.Confirmed)
	}
	for _, d := range s.daemons {
		s.must(request{daemon: d, key: created.Key, path: "/statements", body: map[string]any{"sql": selectSQL,
			"args": []any{"any"}}})
	}
	runAt(t, s.daemons[1], "key", "withdraw", created.KeyID).want(t, cli.ExitOK, "Accepted")
	for _, d := range s.daemons {
		a, err := request{daemon: d, key: created.Key, path: "/statements", body: map[string]any{"sql": selectSQL,
			"args": []any{"any"}}}.do()
		if err != nil || a.Status != http.StatusUnauthorized || a.Outcome != "not_run" {
			t.Errorf("%s answers a withdrawn key with %+v, error %v", d.id, a, err)
		}
	}
	s.unchanged(t, func() {
		runAt(t, s.daemons[0], "key", "withdraw", created.KeyID).want(t, cli.ExitOK, "Nothing to change")
		runAt(t, s.daemons[0], "key", "withdraw", "no-such-key").want(t, cli.ExitInvalid, "key_not_found")
		runAt(t, s.daemons[0], "key", "create", "no-such-workspace").want(t, cli.ExitInvalid, "workspace_not_found")
	})
}

// operateOutage checks that changes are refused while the store is down, that statements go on, and that the commands that
// only read answer from the configuration in force.
func operateOutage(t testing.TB, s *system) {
	d := s.daemons[0]
	version, base := s.inForce()
	next := s.edited(workshopRate.FindString(base), rateOf(500))
	s.platformFaults(map[string]any{"down": true})
	s.eventually("the outage is proven", func() error {
		if r := runAt(t, d, "status"); !strings.Contains(r.stdout, "is serving") ||
			!strings.Contains(r.stdout, "proof of freshness: outage") {
			return fmt.Errorf("status: %s%s", r.stdout, r.stderr)
		}
		return nil
	})
	s.unchanged(t, func() {
		runAt(t, d, "config", "apply", next, "--expect-version", fmt.Sprint(version)).want(t, cli.ExitUnavailable,
			"not_accepted")
		runAt(t, d, "key", "create", "workshop").want(t, cli.ExitUnavailable, "not_accepted")
		runAt(t, d, "key", "withdraw", s.keyID).want(t, cli.ExitUnavailable, "not_accepted")
		runAt(t, d, "workspace", "set", "school", "--rate", "1").want(t, cli.ExitUnavailable, "not_accepted")
		runAt(t, d, "config", "diff", next).want(t, cli.ExitDifferent, "rate: ")
	})
	for _, each := range s.daemons {
		s.must(s.statement(each, "", insertSQL, "outage", each.id))
	}
	s.platformFaults(map[string]any{})
	s.eventually("a change is accepted again", func() error {
		if r := runAt(t, d, "workspace", "set", "school", "--rate", "60"); r.code != cli.ExitOK {
			return errors.New(r.stderr)
		}
		return nil
	})
}

func operateDrain(t testing.TB, s *system) {
	d := s.daemons[2]
	runAt(t, d, "drain").want(t, cli.ExitOK, "draining")
	select {
	case <-d.done:
	case <-time.After(patience):
		t.Fatal("the daemon did not stop")
	}
	if code := d.cmd.ProcessState.ExitCode(); code != cli.ExitOK {
		t.Errorf("the drained daemon stopped with exit code %d", code)
	}
	runAt(t, d, "status").want(t, cli.ExitUnavailable, "did not answer")
	s.must(s.statement(s.daemons[0], "", selectSQL, "any"))
}
