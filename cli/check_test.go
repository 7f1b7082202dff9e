package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const document = `{"version": 2,
"routes": [{"database": "d", "service": "s", "routeType": "primary", "timeoutMs": 1000, "targetLatencyMs": 400}],
"services": [{"name": "s", "maxConns": 20}],
"tenants": [{"name": "t", "apiKeys": ["key-of-t"], "ratePerS": 100, "burst": 50}]}`

const baseFile = "[service s]\nslots = 3\nconnections = 20\n[target s/a]\naddress = 192.0.2.1:1\ndata_centre = n\n" +
	"[workspace w]\nrate = 100\nburst = 50\nservices = s\n"

// Guards against wrong exit codes, findings in the wrong format, and keys in the output.
func TestConfigCheck(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	valid, base := write("valid", document), write("base.ini", baseFile)
	lower := write("lower", strings.Replace(document, `"version": 2`, `"version": 1`, 1))
	higher := write("higher",
		strings.NewReplacer(`"version": 2`, `"version": 3`, "key-of-t", "new-key-of-t").Replace(document))
	broken := write("broken.json", "[")
	for _, c := range []struct {
		name string
		args []string
		code int
		want string // part of both outputs together
	}{
		{"valid", []string{valid}, ExitOK, "The configuration is valid."},
		{"valid base file", []string{base}, ExitOK, "The configuration is valid."},
		{"json without findings", []string{valid, "--format", "json"}, ExitOK, "[]"},
		{"changes", []string{higher, "--against", valid}, ExitOK, `workspace "t": key new-... added`},
		{"lower version", []string{lower, "--against", valid}, ExitFailure, "lower than 2"},
		{"json", []string{lower, "--against", valid, "--format", "json"}, ExitFailure, `"severity": "error"`},
		{"capacity", []string{valid, "--slots", "s=1", "--statement-time", "11ms"}, ExitFailure, "1 slots take 91 a second"},
		{"invalid document", []string{broken}, ExitFailure, "broken.json:1: error"},
		{"byte order mark", []string{write("mark", "\ufeff"+strings.ReplaceAll(document, "\n", ""))}, ExitFailure,
			"no valid JSON"},
		{"other kind", []string{valid, "--against", base}, ExitUsage, "cannot be compared"},
		{"invalid other", []string{write("v.json", document), "--against", broken}, ExitUsage, "broken.json:1"},
		{"missing other", []string{valid, "--against", valid + ".missing"}, ExitUsage, "missing"},
		{"directory", []string{valid, "--against", dir}, ExitUsage, dir},
		{"missing", []string{valid + ".missing"}, ExitUsage, "missing"},
		{"overlay of document", []string{valid, "--overlay", "n=" + base}, ExitUsage, "no overlays"},
		{"statement time", []string{valid, "--statement-time", "0s"}, ExitUsage, "above 0"},
		{"base file without burst", []string{write("burst.ini", strings.Replace(baseFile, "burst = 50", "burst = 0", 1))},
			ExitFailure, `burst.ini:7: error: workspace "w": the burst is 0`},
		{"invalid base file as json", []string{write("few.ini", strings.Replace(baseFile, "slots = 3", "slots = few", 1)),
			"--format", "json"}, ExitInvalid, `"line": 2`},
		{"changed base file", []string{base, "--against", write("old.ini",
			strings.Replace(baseFile, "burst = 50", "burst = 40", 1))}, ExitOK, "[workspace w] burst: 40 -> 50"},
		{"invalid base file", []string{write("many.ini", strings.Replace(baseFile, "slots = 3", "slots = many", 1))}, ExitInvalid,
			`many.ini:2: section [service s] key "slots"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			code := Run(context.Background(), append([]string{"config", "check"}, c.args...), &out, &out)
			if code != c.code || !strings.Contains(out.String(), c.want) {
				t.Errorf("exit code %d, want %d; output, want %q:\n%s", code, c.code, c.want, &out)
			}
			if strings.Contains(out.String(), "key-of-t") {
				t.Errorf("a key is printed:\n%s", &out)
			}
		})
	}
}

// Guards against findings for the example files, whose limits are those of the sites.
func TestExamplesHaveNoFindings(t *testing.T) {
	for _, name := range []string{"federation", "lucciola"} {
		var out bytes.Buffer
		code := Run(context.Background(), []string{"config", "check", "../examples/" + name + "/base.ini"}, &out, &out)
		if code != ExitOK {
			t.Errorf("%s: exit code %d\n%s", name, code, &out)
		}
	}
}
