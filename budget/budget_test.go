package budget

import (
	"testing"
	"time"
)

// Guards against closing ordinary callers before the client that holds most and reads least, and against closing an open
// transaction of an ordinary caller before an unknown client.
func TestShed(t *testing.T) {
	ordinary := Client{Phase: Waiting, Held: ConnectionBytes}
	running := Client{Phase: Running, Held: ConnectionBytes}
	txn := Client{Phase: Waiting, InTxn: true, Held: ConnectionBytes, Since: time.Hour}
	unknown := Client{Phase: Unknown, Held: ConnectionBytes}
	reading := Client{Phase: Reading, Held: 1 << 20}
	unread := Client{Phase: Writing, Held: 1 << 20, Unread: 1 << 19}
	largeTxn := Client{Phase: Reading, InTxn: true, Held: 2 << 20}
	for _, test := range []struct {
		name    string
		clients []Client
		want    int
	}{
		{"nobody", nil, -1},
		{"the largest", []Client{ordinary, txn, unknown, {Phase: Reading, Held: 1 << 19}, reading}, 4},
		{"who reads least", []Client{reading, unread, ordinary}, 1},
		{"unknown before a transaction", []Client{txn, largeTxn, unknown, ordinary}, 2},
		{"large transactions before ordinary sessions", []Client{ordinary, txn, largeTxn}, 2},
		{"idle before running", []Client{running, ordinary, txn}, 1},
		{"transactions last", []Client{txn, running}, 1},
		{"the longest among equals", []Client{unknown, {Phase: Unknown, Held: ConnectionBytes, Since: time.Second}}, 1},
	} {
		if got := Shed(test.clients); got != test.want {
			t.Errorf("%s: client %d is closed, want %d", test.name, got, test.want)
		}
	}
}

// Guards against new clients that push out sessions in use, and against connections without a session that keep others out.
func TestReplace(t *testing.T) {
	busy := []Client{{Phase: Running, Since: time.Hour}, {Phase: Waiting, InTxn: true, Since: time.Hour},
		{Phase: Waiting, Since: idleAfter - 1}, {Phase: Reading, Since: stalledAfter - 1}, {Phase: Writing}}
	if got := Replace(busy); got != -1 {
		t.Errorf("client %d makes room although all are in use", got)
	}
	idle := append(busy, Client{Phase: Waiting, Since: idleAfter}, Client{Phase: Waiting, Since: time.Hour})
	if got := Replace(idle); got != 6 {
		t.Errorf("client %d makes room, want the session that is idle for longest", got)
	}
	stalled := append(idle, Client{Phase: Writing, Since: stalledAfter})
	if got := Replace(stalled); got != 7 {
		t.Errorf("client %d makes room, want the stalled one", got)
	}
	if got := Replace(append(stalled, Client{Phase: Unknown})); got != 8 {
		t.Errorf("client %d makes room, want the one without a session", got)
	}
}

// Guards against time limits that end idle sessions or statements that run.
func TestExpired(t *testing.T) {
	limits := Times{Start: time.Second, Message: 2 * time.Second, Response: 3 * time.Second}
	for phase, limit := range map[Phase]time.Duration{Unknown: time.Second, Reading: 2 * time.Second, Writing: 3 * time.Second,
		Waiting: 1000 * time.Hour, Running: 1000 * time.Hour} {
		if limits.Expired(Client{Phase: phase, Since: limit}) {
			t.Errorf("phase %d has expired at its limit", phase)
		}
		if expired := limits.Expired(Client{Phase: phase, Since: limit + 1}); expired != (limit < time.Hour) {
			t.Errorf("phase %d beyond its limit: expired %t", phase, expired)
		}
	}
	if (Times{}).Expired(Client{Phase: Reading, Since: time.Hour}) {
		t.Error("a client has expired without a limit")
	}
}

// Guards against places that leave no descriptors for targets and hosts on the smallest host, or none for callers.
func TestPlaces(t *testing.T) {
	for _, test := range []struct{ files, reserve, links, callers, maxLinks int }{
		{0, 0, 100, 0, 0}, {4300, 0, 0, 4000, 1075}, {4300, 0, 50, 4000, 1075}, {4300, 0, 150, 3800, 1075},
		{4300, 0, 600, 2900, 1075}, {4300, 800, 0, 3500, 1075}, {200, 0, 0, 136, 50}, {10, 0, 0, 1, 2},
	} {
		callers, links := Places(test.files, test.reserve, test.links)
		if callers != test.callers || links != test.maxLinks {
			t.Errorf("%d files, reserve %d, %d links: %d callers and %d links, want %d and %d", test.files, test.reserve, test.links,
				callers, links, test.callers, test.maxLinks)
		}
	}
}
