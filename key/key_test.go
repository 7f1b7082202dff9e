package key

import (
	"bytes"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/waxwingspindle/waxwingspindle/model"
)

func TestMain(m *testing.M) {
	// A fixed seed makes the property tests deterministic.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func newKey(t *testing.T, id model.KeyID, seed byte) Key {
	t.Helper()
	k, err := New(id, rand.NewChaCha8([32]byte{seed}))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// TestParseReadsRevealedKey guards against a key that is unusable because Parse does not accept the text of Reveal.
func TestParseReadsRevealedKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.StringMatching(`[A-Za-z0-9._-]{1,64}`).Draw(t, "id")
		secret := rapid.SliceOfN(rapid.Byte(), 32, 32).Draw(t, "secret")
		k, err := New(model.KeyID(id), bytes.NewReader(secret))
		if err != nil {
			t.Fatal(err)
		}
		got, err := FromHeader([]string{"Bearer " + k.Reveal()})
		if err != nil {
			t.Fatal(err)
		}
		if got.ID() != k.ID() || got.secret() != k.secret() {
			t.Fatalf("parsed key differs from %s", k)
		}
	})
}

// TestNewRejectsInvalidInput guards against keys with too few random bytes, and against IDs that break the key format.
func TestNewRejectsInvalidInput(t *testing.T) {
	if _, err := New("a", bytes.NewReader(make([]byte, 31))); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("31 random bytes: %v", err)
	}
	for _, id := range []string{"", "a b", "ä", strings.Repeat("a", 65), "a\n"} {
		if _, err := New(model.KeyID(id), rand.NewChaCha8([32]byte{})); !errors.Is(err, ErrInvalidID) {
			t.Errorf("id %q: %v", id, err)
		}
	}
}

// TestFromHeaderErrors guards against headers that are accepted although they contain no key, or more than one.
func TestFromHeaderErrors(t *testing.T) {
	good := newKey(t, "team_a", 1).Reveal()
	for name, test := range map[string]struct {
		values []string
		want   Error
		reason model.Reason
	}{
		"absent":         {nil, ErrMissing, model.ReasonKeyMissing},
		"empty":          {[]string{""}, ErrMissing, model.ReasonKeyMissing},
		"repeated":       {[]string{"Bearer " + good, "Bearer " + good}, ErrMultipleHeaders, model.ReasonKeyInvalid},
		"other scheme":   {[]string{"Basic " + good}, ErrUnsupportedScheme, model.ReasonKeyInvalid},
		"no scheme":      {[]string{good}, ErrUnsupportedScheme, model.ReasonKeyInvalid},
		"no credentials": {[]string{"Bearer"}, ErrMalformed, model.ReasonKeyInvalid},
		"no prefix":      {[]string{"Bearer " + good[1:]}, ErrMalformed, model.ReasonKeyInvalid},
		"short secret":   {[]string{"Bearer " + good[:len(good)-1]}, ErrMalformed, model.ReasonKeyInvalid},
		"no id":          {[]string{"Bearer wsk__" + good[len(good)-43:]}, ErrMalformed, model.ReasonKeyInvalid},
		"line end":       {[]string{"Bearer " + good[:len(good)-1] + "\n"}, ErrMalformed, model.ReasonKeyInvalid},
		"not base64url":  {[]string{"Bearer " + good[:len(good)-1] + "+"}, ErrMalformed, model.ReasonKeyInvalid},
		"two keys":       {[]string{"Bearer " + good + " " + good}, ErrMalformed, model.ReasonKeyInvalid},
	} {
		_, err := FromHeader(test.values)
		if !errors.Is(err, test.want) {
			t.Errorf("%s: got %v, want %v", name, err, test.want)
		}
		if test.want.Reason() != test.reason {
			t.Errorf("%s: reason %s", name, test.want.Reason())
		}
	}
	if _, err := FromHeader([]string{"bearer  " + good}); err != nil {
		t.Errorf("scheme in lower case: %v", err)
	}
}

// TestParseRejectsUnusedBits guards against several encodings of one secret, which would break comparisons of the text of
// keys.
func TestParseRejectsUnusedBits(t *testing.T) {
	text := newKey(t, "a", 2).Reveal()
	accepted := 0
	for _, last := range "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_" {
		if k, err := Parse(text[:len(text)-1] + string(last)); err == nil && k.secret() == newKey(t, "a", 2).secret() {
			accepted++
		}
	}
	if accepted != 1 {
		t.Errorf("%d texts are parsed as the same secret, want 1", accepted)
	}
}

// TestSecretIsNeverPrinted guards against secrets in logs, error messages and JSON documents, also if the key is part of
// another value.
func TestSecretIsNeverPrinted(t *testing.T) {
	k := newKey(t, "team", 3)
	type exported struct{ Key Key }
	type unexported struct{ key Key }
	type pointer struct{ key *Key }
	values := []any{k, &k, exported{k}, &exported{k}, unexported{k}, &unexported{k}, pointer{&k}, []Key{k},
		map[string]Key{"k": k}, []any{unexported{k}}}
	hashed := k.hash()
	secret := k.secret()
	forbidden := []string{
		strings.TrimPrefix(k.Reveal(), "wsk_team_"),
		hex.EncodeToString(secret[:]),
		strings.Trim(fmt.Sprint(secret[:4]), "[]"),
		strings.Trim(fmt.Sprintf("%#v", secret[:4]), "[]byte{}"),
		string(secret[:]),
	}
	check := func(name, output string) {
		t.Helper()
		for _, text := range forbidden {
			if strings.Contains(strings.ToLower(output), strings.ToLower(text)) {
				t.Errorf("%s contains the secret", name)
			}
		}
	}
	for _, value := range values {
		for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%X", "%d", "%b", "%c", "%t"} {
			check(fmt.Sprintf("%s of %T", verb, value), fmt.Sprintf(verb, value))
		}
		document, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		check(fmt.Sprintf("JSON of %T", value), string(document))
	}
	record, err := json.Marshal(k.Record("w"))
	if err != nil {
		t.Fatal(err)
	}
	check("record", string(record)+fmt.Sprintf("%v", k.Record("w")))
	if !strings.Contains(string(record), hex.EncodeToString(hashed[:])) {
		t.Error("the record does not contain the hash")
	}
}

// TestRecordRoundTrip guards against a record that changes when it is encoded and decoded.
func TestRecordRoundTrip(t *testing.T) {
	want := newKey(t, "team", 4).Record("w").Withdraw()
	document, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var got Record
	if err := json.Unmarshal(document, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if err := json.Unmarshal([]byte(`{"hash":"00"}`), &got); err == nil {
		t.Error("a short hash is accepted")
	}
}

func newSet(t *testing.T, records ...Record) *Set {
	t.Helper()
	set, err := NewSet(records)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// TestVerify guards against wrong, unknown, withdrawn or empty keys that are accepted, and against errors that reveal which
// key IDs exist.
func TestVerify(t *testing.T) {
	live, withdrawn := newKey(t, "live", 5), newKey(t, "old", 6)
	wrong, unknown := newKey(t, "live", 7), newKey(t, "none", 8)
	wrongWithdrawn := newKey(t, "old", 9)
	set := newSet(t, live.Record("w"), withdrawn.Record("w").Withdraw(), Record{ID: "blank", Workspace: "w"})
	if record, err := set.Verify(live); err != nil || record.Workspace != "w" {
		t.Errorf("live key: %v, %v", record, err)
	}
	for name, test := range map[string]struct {
		key  Key
		want error
	}{
		"wrong secret":           {wrong, ErrInvalid},
		"unknown id":             {unknown, ErrInvalid},
		"withdrawn":              {withdrawn, ErrWithdrawn},
		"withdrawn wrong secret": {wrongWithdrawn, ErrInvalid},
		"zero key":               {Key{}, ErrInvalid},
		"zero key with an id":    {Key{id: "blank"}, ErrInvalid},
	} {
		if _, err := set.Verify(test.key); !errors.Is(err, test.want) {
			t.Errorf("%s: got %v, want %v", name, err, test.want)
		}
	}
	if _, err := NewSet([]Record{live.Record("w"), wrong.Record("w")}); err == nil {
		t.Error("a duplicate key ID is accepted")
	}
}

// TestVerifyTakesTheSameSteps guards against an early return for unknown IDs, whose response time would reveal which key
// IDs exist.
func TestVerifyTakesTheSameSteps(t *testing.T) {
	live := newKey(t, "live", 10)
	set := newSet(t, live.Record("w"))
	for _, k := range []Key{live, newKey(t, "live", 11), newKey(t, "none", 12)} {
		calls, size := 0, 0
		set.compare = func(a, b []byte) int {
			calls++
			size += len(a) + len(b)
			return subtle.ConstantTimeCompare(a, b)
		}
		_, _ = set.Verify(k)
		if calls != 1 || size != 64 {
			t.Errorf("%s: %d comparisons of %d bytes", k.ID(), calls, size)
		}
	}
}

// TestRevalidate guards against a statement that is sent although its key was withdrawn, removed or moved to another
// workspace while the statement was queued.
func TestRevalidate(t *testing.T) {
	k := newKey(t, "k", 13)
	for name, test := range map[string]struct {
		set  *Set
		want error
	}{
		"valid":           {newSet(t, k.Record("w")), nil},
		"withdrawn":       {newSet(t, k.Record("w").Withdraw()), ErrWithdrawn},
		"removed":         {newSet(t), ErrInvalid},
		"other workspace": {newSet(t, k.Record("v")), ErrInvalid},
	} {
		if err := test.set.Revalidate("k", "w"); !errors.Is(err, test.want) {
			t.Errorf("%s: got %v, want %v", name, err, test.want)
		}
	}
}
