package session

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/waxwingspindle/waxwingspindle/model"
)

var (
	secretA = bytes.Repeat([]byte{1}, MinSecretBytes)
	secretB = bytes.Repeat([]byte{2}, MinSecretBytes)
)

// TestMain fixes the seed of rapid, so that test runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func newCodec(t testing.TB, current, previous []byte) *Codec {
	t.Helper()
	c, err := NewCodec(current, previous)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func encode(t testing.TB, c *Codec, token Token) string {
	t.Helper()
	text, err := c.Encode(token)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func errorKindOf(err error) ErrorKind {
	var e *TokenError
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

// A mark must not move backwards when a session uses several hosts: merging yields the maximum by (term, offset) in any
// order of the merges, and survives encoding.
func TestMergeIsMaximum(t *testing.T) {
	c := newCodec(t, secretA, nil)
	rapid.Check(t, func(t *rapid.T) {
		want := map[model.Service]model.Position{}
		tokens := []Token{NewToken("w"), NewToken("w"), NewToken("w")}
		for range rapid.IntRange(0, 40).Draw(t, "advances") {
			service := model.Service(fmt.Sprint("s", rapid.IntRange(0, MaxServices-1).Draw(t, "service")))
			p := model.Position{Term: rapid.Uint64Range(0, 3).Draw(t, "term"),
				Offset: rapid.Uint64Range(0, 9).Draw(t, "offset")}
			i := rapid.IntRange(0, 2).Draw(t, "token")
			tokens[i] = tokens[i].Advance(service, p)
			want[service] = want[service].Max(p)
		}
		merged := NewToken("w")
		for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "order") {
			merged = merged.Merge(tokens[i])
		}
		text, err := c.Encode(merged)
		if err != nil {
			t.Fatal(err)
		}
		got, err := c.Decode(text, "w")
		if err != nil {
			t.Fatal(err)
		}
		for service, p := range want {
			if q, known := got.Mark(service); q != p || !known {
				t.Fatalf("mark of %s is %v (known %v), want %v", service, q, known, p)
			}
		}
	})
}

// A dropped mark must be distinguishable from a service that was never used: after a drop, services without a mark are
// unknown. The least recently advanced mark is the one that is dropped.
func TestDropLeastRecentlyAdvanced(t *testing.T) {
	token := NewToken("w")
	for i := range MaxServices {
		token = token.Advance(model.Service(fmt.Sprint("s", i)), model.Position{Term: 1, Offset: 1})
	}
	if _, known := token.Mark("new"); !known {
		t.Error("a token without dropped marks reports an unused service as unknown")
	}
	token = token.Advance("s0", model.Position{Term: 1, Offset: 2}).Advance("new", model.Position{Term: 1, Offset: 1})
	c := newCodec(t, secretA, nil)
	token, err := c.Decode(encode(t, c, token), "w")
	if err != nil {
		t.Fatal(err)
	}
	if _, known := token.Mark("s0"); !known {
		t.Error("the most recently advanced mark was dropped")
	}
	if _, known := token.Mark("s1"); known {
		t.Error("the dropped mark is reported as known")
	}
	if n := len(token.Marks()); n != MaxServices {
		t.Errorf("%d marks, want %d", n, MaxServices)
	}
}

// Tokens of other workspaces and forged tokens must be rejected, and tokens must stay valid during a rotation of the
// secret.
func TestAuthentication(t *testing.T) {
	token := NewToken("w").Advance("s", model.Position{Term: 7, Offset: 9})
	old := encode(t, newCodec(t, secretA, nil), token)
	rotated := newCodec(t, secretB, secretA)
	if got, err := rotated.Decode(old, "w"); err != nil || len(got.Marks()) != 1 {
		t.Errorf("token signed with the previous secret: %v, %v", got, err)
	}
	if _, err := newCodec(t, secretB, nil).Decode(old, "w"); errorKindOf(err) != ErrorSignature {
		t.Errorf("token signed with a retired secret: %v", err)
	}
	if _, err := rotated.Decode(old, "other"); errorKindOf(err) != ErrorSignature {
		t.Errorf("token of another workspace: %v", err)
	}
	for i := len(versionPrefix); i < len(old); i++ {
		changed := []byte(old)
		changed[i] ^= 1
		if _, err := rotated.Decode(string(changed), "w"); err == nil {
			t.Errorf("token with byte %d changed was accepted", i)
		}
	}
	if _, err := NewCodec(secretA[:MinSecretBytes-1], nil); err == nil {
		t.Error("short secret was accepted")
	}
}

// The decoder must accept the largest token that the encoder produces, and the length of service names must be bounded.
func TestSizeBound(t *testing.T) {
	c, token := newCodec(t, secretA, nil), NewToken("w")
	for i := range MaxServices + 1 {
		name := model.Service(strings.Repeat("x", MaxServiceNameBytes-2) + fmt.Sprintf("%02d", i))
		token = token.Advance(name, model.Position{Term: 1<<64 - 1, Offset: 1<<64 - 1})
	}
	text := encode(t, c, token)
	if _, err := c.Decode(text, "w"); err != nil {
		t.Errorf("largest token of %d bytes: %v", len(text), err)
	}
	long := NewToken("w").Advance(model.Service(strings.Repeat("x", MaxServiceNameBytes+1)), model.Position{})
	if _, err := c.Encode(long); err == nil {
		t.Error("service name longer than MaxServiceNameBytes was accepted")
	}
}

// Decoding any text that a caller sends must not panic, and every error must be a *TokenError. The seeds are the fixed
// corpus.
func FuzzDecode(f *testing.F) {
	c := newCodec(f, secretA, secretB)
	valid := encode(f, c, NewToken("w").Advance("s", model.Position{Term: 1, Offset: 2}))
	malformed := []byte{0xc3, 0xdd, 0xff, 0xff, 0xff, 0xff}
	signed := versionPrefix + encoding.EncodeToString(append(malformed, sign(secretA, "w", malformed)...))
	seeds := []string{"", valid, valid[:len(valid)-1], valid + "A", "v2" + valid[2:], versionPrefix, versionPrefix + "====",
		"v1", strings.Repeat("A", MaxEncodedBytes+1), versionPrefix + strings.Repeat("A", 64), "\x00\xff", signed}
	for _, seed := range seeds {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		token, err := c.Decode(text, "w")
		if err != nil && errorKindOf(err) == 0 {
			t.Fatalf("error %v is not a *TokenError", err)
		}
		if err == nil && token.Workspace() != "w" {
			t.Fatalf("token of workspace %q was accepted", token.Workspace())
		}
	})
}
