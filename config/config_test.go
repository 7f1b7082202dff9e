package config

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/waxwingspindle/waxwingspindle/key"
	"github.com/waxwingspindle/waxwingspindle/model"
)

const validBase = `# stock of lantern kits
[daemon]
operator_token = 0123456789abcdef

[service stock]
slots = 3
connections = 20

[target stock/db1]
address = 127.0.0.1:5001
data_centre = brest

[target stock/db2]
address = 127.0.0.1:5002
data_centre = quimper

; large workshop
[workspace workshop]
rate = 100
burst = 200
services = stock
`

// TestParseReadsAllSections guards against sections or keys that are ignored, and against missing default values.
func TestParseReadsAllSections(t *testing.T) {
	s, err := Parse(File{Name: "base.ini", Text: validBase}, nil)
	if err != nil {
		t.Fatal(err)
	}
	want := Service{Name: "stock", Slots: 3, Connections: 20, Database: "postgres", User: "postgres", Targets: []Target{
		{ID: "db1", Address: "127.0.0.1:5001", DataCentre: "brest", State: TargetActive},
		{ID: "db2", Address: "127.0.0.1:5002", DataCentre: "quimper", State: TargetActive}}}
	if diff := cmp.Diff(want, s.Services["stock"]); diff != "" {
		t.Error(diff)
	}
	w := s.Workspaces["workshop"]
	if !w.Allows("stock") || w.Allows("other") || w.Rate != 100 || w.Burst != 200 {
		t.Errorf("workspace: %+v", w)
	}
	if s.Timing.StatementTimeout != DefaultStatementTimeout {
		t.Errorf("the default timing is missing: %+v", s.Timing)
	}
}

// TestParseReportsEachProblem guards against invalid values that are accepted silently, and against problems without the
// location of the error or the allowed values.
func TestParseReportsEachProblem(t *testing.T) {
	for _, c := range []struct{ name, from, to, want string }{
		{"unknown key", "slots = 3", "slots = 3\nslotz = 4", `base.ini: section [service stock] key "slotz" has value "4": unknown key`},
		{"not a number", "rate = 100", "rate = many", `section [workspace workshop] key "rate" has value "many": allowed: statements a second`},
		{"negative", "burst = 200", "burst = -1", `key "burst" has value "-1"`},
		{"missing key", "rate = 100\n", "", `key "rate": the key is missing`},
		{"unknown section", "[workspace workshop]", "[workspaces workshop]", `section [workspaces workshop]: sections are`},
		{"unknown service", "services = stock", "services = stock, kits", `has value "kits": the service must have a section`},
		{"host name", "127.0.0.1:5001", "db.example:5001", `key "address" has value "db.example:5001": allowed: IP:port`},
		{"same address", "127.0.0.1:5002", "127.0.0.1:5001", `target "db1" has the same address`},
		{"key twice", "rate = 100", "rate = 100\nrate = 200", `the key may stand once`},
		{"key without section", "# stock", "stray = 1\n# stock", `key "stray" has value "1": keys must be in a section`},
		{"too many slots", "slots = 3", "slots = 11", `key "slots" has value "11": at most`},
		{"short token", "0123456789abcdef", "short", `key "operator_token" has value "(hidden)"`},
		{"state", "data_centre = brest", "data_centre = brest\nstate = gone", `allowed: active or leaving`},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse(File{Name: "base.ini", Text: strings.Replace(validBase, c.from, c.to, 1)}, nil)
			var invalid *InvalidError
			if !errors.As(err, &invalid) || !strings.Contains(invalid.Error(), c.want) {
				t.Errorf("got %v, want a problem with %q", err, c.want)
			}
		})
	}
}

// TestOverlayMayNotChangeLimits guards against rates that differ between data centres, because a rate applies to all hosts
// together.
func TestOverlayMayNotChangeLimits(t *testing.T) {
	base := File{Name: "base.ini", Text: validBase}
	overlay := "[target stock/db1]\naddress = 127.0.0.1:6001\n[timing]\nreplica_wait = 5ms\n"
	s, err := Parse(base, &File{Name: "brest.ini", Text: overlay})
	if err != nil || s.Services["stock"].Targets[0].Address != "127.0.0.1:6001" {
		t.Errorf("the overlay was not used: %v", err)
	}
	for _, text := range []string{"[workspace workshop]\nrate = 1\n", "[target stock/db9]\naddress = 127.0.0.1:1\n",
		"[service stock]\nslots = 1\n", "[target stock/db1]\nstate = leaving\n"} {
		if _, err := Parse(base, &File{Name: "brest.ini", Text: text}); err == nil {
			t.Errorf("overlay %q was accepted", text)
		}
	}
}

func firstDocument(t *testing.T) *Document {
	t.Helper()
	d, err := (&Document{}).Apply(Declaration{Base: validBase}, 0, "first", []byte("secret"))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestApplyRefusesAStaleVersion guards against a change that silently undoes the change of another operator, because it is
// based on an older version.
func TestApplyRefusesAStaleVersion(t *testing.T) {
	d := firstDocument(t)
	rate := 300.0
	changed, err := d.SetWorkspace(WorkspaceChange{Workspace: "workshop", Rate: &rate}, "second")
	if err != nil {
		t.Fatal(err)
	}
	_, err = changed.Apply(d.Declaration(), d.Version, "third", nil)
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("a stale version was accepted: %v", err)
	}
	want := []string{"base [workspace workshop] rate: 300 -> 100"}
	if diff := cmp.Diff(want, conflict.Differences); diff != "" || conflict.CurrentVersion != changed.Version {
		t.Errorf("the conflict does not report the difference or the current version: %s", diff)
	}
}

// TestSetWorkspaceKeepsCommentsAndKeys guards against a change of a workspace that loses comments, keys or the secret, or
// that is not validated.
func TestSetWorkspaceKeepsCommentsAndKeys(t *testing.T) {
	d := firstDocument(t)
	d, err := d.CreateKey(key.Record{ID: "k1", Workspace: "workshop"}, "key")
	if err != nil {
		t.Fatal(err)
	}
	rate, burst := 10.0, 20.0
	d, err = d.SetWorkspace(WorkspaceChange{Workspace: "school", Rate: &rate, Burst: &burst,
		Services: []model.Service{"stock"}}, "school")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(d.Base, "; large workshop") || d.Keys["k1"].Workspace != "workshop" {
		t.Errorf("the change lost a comment or a key:\n%s", d.Base)
	}
	if _, err := d.SetWorkspace(WorkspaceChange{Workspace: "kits", Rate: &rate}, "kits"); err == nil {
		t.Error("a workspace without burst and services was accepted")
	}
	if string(d.Secret) != "secret" {
		t.Error("a later change replaced the secret")
	}
}

// TestWithdrawnKeyStays guards against a withdrawn key that becomes valid again through a later change.
func TestWithdrawnKeyStays(t *testing.T) {
	d := firstDocument(t)
	d, _ = d.CreateKey(key.Record{ID: "k1", Workspace: "workshop"}, "create")
	withdrawn, err := d.WithdrawKey("k1", "withdraw")
	if err != nil {
		t.Fatal(err)
	}
	applied, err := withdrawn.Apply(Declaration{Base: validBase + "\n[limits]\nmax_concurrent = 9\n"}, withdrawn.Version,
		"more", nil)
	if err != nil {
		t.Fatal(err)
	}
	if !applied.Keys["k1"].Withdrawn || d.Keys["k1"].Withdrawn {
		t.Error("the key is not withdrawn in exactly the later documents")
	}
	again, err := applied.WithdrawKey("k1", "again")
	if err != nil || again != applied {
		t.Errorf("withdrawing twice made a new version: %v", err)
	}
	if _, err := applied.WithdrawKey("k2", "missing"); err == nil {
		t.Error("a key that does not exist was withdrawn")
	}
}

// TestChangeIDsAreRemembered guards against a change that is applied twice because the store's answer was lost.
func TestChangeIDsAreRemembered(t *testing.T) {
	d := firstDocument(t)
	for i := range maxRememberedChanges + 10 {
		rate := float64(i)
		var err error
		if d, err = d.SetWorkspace(WorkspaceChange{Workspace: "workshop", Rate: &rate}, string(rune('A'+i))); err != nil {
			t.Fatal(err)
		}
	}
	if len(d.Changes) != maxRememberedChanges || !d.HasChange(string(rune('A'+maxRememberedChanges+9))) ||
		d.HasChange("first") {
		t.Errorf("document keeps %d change ids: %v", len(d.Changes), d.Changes)
	}
	data, err := d.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(d, decoded); diff != "" {
		t.Error(diff)
	}
}

// TestDifferencesHideSecrets guards against secrets in the output of a command or in a log.
func TestDifferencesHideSecrets(t *testing.T) {
	lines := Differences(Declaration{Base: validBase}, Declaration{Base: strings.Replace(validBase, "0123456789abcdef",
		"fedcba9876543210", 1)})
	want := []string{"base [daemon] operator_token: (hidden) -> (hidden)"}
	if diff := cmp.Diff(want, lines); diff != "" {
		t.Error(diff)
	}
}

// TestEncodeRefusesADocumentThatDoesNotFit guards against a document that the store would reject because of its size.
func TestEncodeRefusesADocumentThatDoesNotFit(t *testing.T) {
	d := firstDocument(t)
	d.Base += strings.Repeat("# comment\n", MaxDocumentBytes/10)
	var tooLarge *TooLargeError
	if _, err := d.Encode(); !errors.As(err, &tooLarge) {
		t.Errorf("got %v", err)
	}
}
