package txn

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"flag"
	"net/url"
	"os"
	"strings"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
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

var (
	start  = time.Unix(1000, 0)
	alice  = Owner{Workspace: "alice", Key: "k1"}
	bob    = Owner{Workspace: "bob", Key: "k2"}
	secret = bytes.Repeat([]byte{7}, 32)
)

func newTable(t testing.TB, maxPerWorkspace, maxTotal int) *Table[string] {
	t.Helper()
	table, err := NewTable[string](Config{MaxPinsPerWorkspace: maxPerWorkspace, MaxPins: maxTotal})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func begin(t testing.TB, table *Table[string], owner Owner, value string) Lease {
	t.Helper()
	lease, err := table.Begin("stock", owner, value)
	if err != nil {
		t.Fatal(err)
	}
	return lease
}

// TestUseChecksOwner guards against statements that reach the connection of another caller's transaction, through a handle
// for another key, workspace or service.
func TestUseChecksOwner(t *testing.T) {
	table := newTable(t, 4, 4)
	first, second := begin(t, table, alice, "connection 1"), begin(t, table, bob, "connection 2")
	table.Release(start, first)
	table.Release(start, second)
	for name, test := range map[string]struct {
		id      ID
		service model.Service
		owner   Owner
		value   string
		want    error
	}{
		"own":             {first.ID, "stock", alice, "connection 1", nil},
		"own of bob":      {second.ID, "stock", bob, "connection 2", nil},
		"other workspace": {first.ID, "stock", bob, "", ErrNotOwner},
		"other key":       {first.ID, "stock", Owner{"alice", "k9"}, "", ErrNotOwner},
		"same key name":   {first.ID, "stock", Owner{"bob", "k1"}, "", ErrNotOwner},
		"other service":   {first.ID, "booking", alice, "", ErrNotOwner},
		"unknown":         {99, "stock", alice, "", ErrLost},
	} {
		lease, value, err := table.Acquire(start, test.id, test.service, test.owner)
		if !errors.Is(err, test.want) || value != test.value {
			t.Errorf("%s: %q, %v", name, value, err)
		}
		table.Release(start, lease)
	}
}

// TestUseIsExclusive guards against concurrent requests on one transaction, whose statements and replies would be mixed up.
func TestUseIsExclusive(t *testing.T) {
	table := newTable(t, 4, 4)
	beginLease := begin(t, table, alice, "c")
	if _, _, err := table.Acquire(start, beginLease.ID, "stock", alice); !errors.Is(err, ErrBusy) {
		t.Errorf("during begin: %v", err)
	}
	table.Release(start, beginLease)
	lease, _, err := table.Acquire(start, beginLease.ID, "stock", alice)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := table.Acquire(start, beginLease.ID, "stock", bob); !errors.Is(err, ErrNotOwner) {
		t.Errorf("a caller that is not the owner is told that the transaction is busy: %v", err)
	}
	if table.Release(start, beginLease) || table.End(beginLease) || table.End(Lease{ID: beginLease.ID}) {
		t.Error("a released lease ends the use of a later request")
	}
	if _, _, err := table.Acquire(start, beginLease.ID, "stock", alice); !errors.Is(err, ErrBusy) {
		t.Errorf("after a late release: %v", err)
	}
	if !table.End(lease) || table.End(lease) || table.Len() != 0 {
		t.Error("the transaction is not ended exactly once by its lease")
	}
}

// TestIdleTimeout guards against transactions that hold a connection and locks forever, and against one that expires while
// it is in use.
func TestIdleTimeout(t *testing.T) {
	table := newTable(t, 4, 4)
	busy, idle := begin(t, table, alice, "busy"), begin(t, table, alice, "idle")
	table.Release(start, idle)
	if at, found := table.NextExpiry(); !found || at != start.Add(DefaultIdleTimeout) {
		t.Errorf("next expiry %s, %t", at, found)
	}
	if ended := table.Expire(start.Add(DefaultIdleTimeout - 1)); ended != nil {
		t.Errorf("expired too early: %+v", ended)
	}
	end := start.Add(DefaultIdleTimeout)
	if _, _, err := table.Acquire(end, idle.ID, "stock", alice); !errors.Is(err, ErrLost) {
		t.Errorf("acquire of an expired transaction: %v", err)
	}
	want := []EndedTransaction[string]{{ID: idle.ID, Value: "idle", Cause: EndIdle}}
	if diff := gocmp.Diff(want, table.Expire(end)); diff != "" {
		t.Error(diff)
	}
	if !table.Release(end, busy) {
		t.Error("the transaction in use has ended")
	}
}

// TestDrain guards against transactions that stay open after a drain, and against transactions that are ended before the
// drain deadline.
func TestDrain(t *testing.T) {
	table := newTable(t, 4, 4)
	busy, idle := begin(t, table, alice, "busy"), begin(t, table, bob, "idle")
	table.Release(start, idle)
	deadline := start.Add(5 * time.Second)
	table.Drain(deadline)
	if _, err := table.Begin("stock", alice, "new"); !errors.Is(err, ErrDraining) {
		t.Errorf("begin while draining: %v", err)
	}
	lease, _, err := table.Acquire(deadline.Add(-1), idle.ID, "stock", bob)
	if err != nil {
		t.Errorf("acquire before the deadline: %v", err)
	}
	table.Release(deadline.Add(-1), lease)
	if _, _, err := table.Acquire(deadline, idle.ID, "stock", bob); !errors.Is(err, ErrLost) {
		t.Errorf("acquire at the deadline: %v", err)
	}
	if at, found := table.NextExpiry(); !found || at != deadline {
		t.Errorf("next expiry %s, %t", at, found)
	}
	want := []EndedTransaction[string]{
		{ID: busy.ID, Value: "busy", Cause: EndDrain, InUse: true},
		{ID: idle.ID, Value: "idle", Cause: EndDrain},
	}
	if diff := gocmp.Diff(want, table.Expire(deadline)); diff != "" {
		t.Error(diff)
	}
	if table.Release(deadline, busy) || table.Len() != 0 {
		t.Error("a transaction is open after the drain")
	}
}

// TestPins guards against a workspace that pins all connections, and against pins that are not released.
func TestPins(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := newTable(t, 2, 3)
		now := start
		held := make(map[Lease]Owner)
		count := func(owner Owner) int {
			n := 0
			for _, holder := range held {
				if holder == owner {
					n++
				}
			}
			return n
		}
		for range 60 {
			owner := rapid.SampledFrom([]Owner{alice, bob}).Draw(rt, "owner")
			if rapid.Bool().Draw(rt, "begin") {
				lease, err := table.Begin("stock", owner, "")
				if full := count(owner) == 2 || len(held) == 3; full != errors.Is(err, ErrPinLimit) {
					rt.Fatalf("begin with %d of %d pins: %v", count(owner), len(held), err)
				}
				if err == nil {
					held[lease] = owner
				}
			} else {
				for lease, holder := range held {
					if holder == owner {
						table.End(lease)
						delete(held, lease)
						break
					}
				}
			}
			if got := table.PinCount("stock", owner.Workspace); got != count(owner) || table.Len() != len(held) {
				rt.Fatalf("%d pins, want %d", got, count(owner))
			}
		}
		for lease := range held {
			table.Release(now, lease)
		}
		table.Expire(now.Add(time.Minute))
		if len(table.workspacePins) != 0 || len(table.servicePins) != 0 {
			rt.Fatal("pins are held after all transactions expired")
		}
	})
}

func newCodec(t testing.TB, secrets ...[]byte) *Codec {
	t.Helper()
	codec, err := NewCodec(secrets...)
	if err != nil {
		t.Fatal(err)
	}
	return codec
}

func exampleHandle() Handle {
	return Handle{Home: "h1", Incarnation: 1 << 63, LocalID: 3, Service: "stock", Workspace: "alice", Key: "k1"}
}

// TestHandleRoundTrip guards against handles that are changed by encoding, are not URL-safe, or exceed the maximum length.
func TestHandleRoundTrip(t *testing.T) {
	codec := newCodec(t, secret)
	rapid.Check(t, func(rt *rapid.T) {
		name := func(label string) string {
			return string(rapid.SliceOfN(rapid.Byte(), 1, maxNameBytes).Draw(rt, label))
		}
		want := Handle{
			Home: model.HostID(name("home")), Incarnation: model.Incarnation(rapid.Uint64().Draw(rt, "incarnation")),
			LocalID: ID(rapid.Uint64Min(1).Draw(rt, "local")), Service: model.Service(name("service")),
			Workspace: model.Workspace(name("workspace")), Key: model.KeyID(name("key")),
		}
		text, err := codec.Encode(want)
		if err != nil {
			rt.Fatal(err)
		}
		if len(text) > MaxHandleBytes || url.PathEscape(text) != text {
			rt.Fatalf("%d bytes: %s", len(text), text)
		}
		got, err := codec.Decode(text)
		if diff := gocmp.Diff(want, got); err != nil || diff != "" {
			rt.Fatalf("%v %s", err, diff)
		}
	})
}

// TestForgedHandle guards against forged handles: any changed bit, another secret, or the MAC of another kind of token
// must be rejected.
func TestForgedHandle(t *testing.T) {
	codec := newCodec(t, secret)
	text, err := codec.Encode(exampleHandle())
	if err != nil {
		t.Fatal(err)
	}
	decoded, _ := base64.RawURLEncoding.DecodeString(text)
	for bit := range len(decoded) * 8 {
		changed := bytes.Clone(decoded)
		changed[bit/8] ^= 1 << (bit % 8)
		if _, err := codec.Decode(base64.RawURLEncoding.EncodeToString(changed)); !errors.Is(err, ErrInvalidSignature) {
			t.Fatalf("bit %d: %v", bit, err)
		}
	}
	other := newCodec(t, bytes.Repeat([]byte{8}, 32))
	if _, err := other.Decode(text); !errors.Is(err, ErrInvalidSignature) {
		t.Errorf("another secret: %v", err)
	}
	if _, err := newCodec(t, bytes.Repeat([]byte{8}, 32), secret).Decode(text); err != nil {
		t.Errorf("the previous secret: %v", err)
	}
	mac := hmac.New(sha256.New, secret)
	mac.Write(decoded[sha256.Size:])
	withoutDomain := base64.RawURLEncoding.EncodeToString(append(mac.Sum(nil), decoded[sha256.Size:]...))
	if _, err := codec.Decode(withoutDomain); !errors.Is(err, ErrInvalidSignature) {
		t.Errorf("a MAC without the domain prefix: %v", err)
	}
}

// TestMalformedHandle guards against panics on texts that are not handles and against accepting them, also if their MAC
// is valid.
func TestMalformedHandle(t *testing.T) {
	codec := newCodec(t, secret)
	encode := func(content any) string {
		body, err := msgpack.Marshal(content)
		if err != nil {
			t.Fatal(err)
		}
		return base64.RawURLEncoding.EncodeToString(append(sign(secret, body), body...))
	}
	for name, text := range map[string]string{
		"empty": "", "short": "AAAA", "not base64url": "a+b/", "long": strings.Repeat("A", MaxHandleBytes+1),
		"other content": encode("text"), "no names": encode(Handle{}),
	} {
		if _, err := codec.Decode(text); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
	long := exampleHandle()
	long.Service = model.Service(strings.Repeat("s", maxNameBytes+1))
	if _, err := codec.Encode(long); err == nil {
		t.Error("a name that is too long is encoded")
	}
	if _, err := NewCodec(secret[:31]); err == nil {
		t.Error("a short secret is accepted")
	}
}

// TestHandleChecks guards against a valid handle that is accepted from another owner, and against a handle of an earlier
// incarnation of the home.
func TestHandleChecks(t *testing.T) {
	h := exampleHandle()
	for name, test := range map[string]struct{ got, want error }{
		"own":               {h.CheckOwner("stock", alice), nil},
		"foreign key":       {h.CheckOwner("stock", Owner{"alice", "k2"}), ErrNotOwner},
		"foreign workspace": {h.CheckOwner("stock", Owner{"bob", "k1"}), ErrNotOwner},
		"other service":     {h.CheckOwner("booking", alice), ErrNotOwner},
		"this home":         {h.CheckHome("h1", 1<<63), nil},
		"other home":        {h.CheckHome("h2", 1<<63), ErrLost},
		"other incarnation": {h.CheckHome("h1", 1<<63+1), ErrLost},
	} {
		if !errors.Is(test.got, test.want) {
			t.Errorf("%s: got %v, want %v", name, test.got, test.want)
		}
	}
}

// TestReasons guards against errors that are reported to the caller with a wrong reason.
func TestReasons(t *testing.T) {
	want := map[Error]model.Reason{
		ErrMalformed: model.ReasonBadRequest, ErrInvalidSignature: model.ReasonBadRequest,
		ErrNotOwner: model.ReasonTransactionForeign, ErrLost: model.ReasonTransactionLost,
		ErrBusy: model.ReasonTransactionBusy, ErrPinLimit: model.ReasonOverload, ErrDraining: model.ReasonDraining,
	}
	for err, reason := range want {
		if got := err.Result(); got.Reason != reason || got.Outcome != model.OutcomeNotRun {
			t.Errorf("%s: %+v", err, got)
		}
	}
}
