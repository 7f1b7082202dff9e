package frontend

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
)

// statusDialer opens connections to a target with a position and a status, and counts the status commands.
type statusDialer struct {
	position model.Position
	status   primacy.Status
	queries  int
}

func (d *statusDialer) Dial(context.Context, catalog.Target, model.Workspace) (Conn, model.Position, error) {
	return &statusConn{dialer: d}, d.position, nil
}

type statusConn struct {
	Conn
	dialer *statusDialer
}

func (c *statusConn) Status(time.Time) (primacy.Status, error) {
	c.dialer.queries++
	return c.dialer.status, nil
}

func (c *statusConn) Close() {}

func newServiceWithDialer(d Dialer) *service {
	s := New("z", d, zap.NewNop(), NewMetrics(prometheus.NewRegistry()))
	s.AllowPrimariesUntil(boottime.Now().Add(time.Hour))
	return s.service("stock")
}

// Guards against statements on a target that has started again without its data under the same id, in the time until another
// target is the primary.
func TestRestartedPrimaryIsNotUsed(t *testing.T) {
	s := newServiceWithDialer(failingDialer{})
	s.applyDocument(primacy.Document{Service: "stock", Epoch: 2, Open: true, Primary: "a", Born: 100})
	for _, test := range []struct {
		name    string
		targets []catalog.Target
		usable  bool
	}{
		{"not known yet", nil, true},
		{"as decided", []catalog.Target{{ID: "a", StartedAt: 100}}, true},
		{"restarted", []catalog.Target{{ID: "a", StartedAt: 200}}, false},
	} {
		s.setTargets(test.targets, maxConnections(1))
		if _, _, usable := s.currentPrimary(); usable != test.usable {
			t.Errorf("%s: usable is %t, want %t", test.name, usable, test.usable)
		}
		c := &targetConn{id: 1, target: catalog.Target{ID: "a", StartedAt: 200}, conn: &statusConn{}}
		s.conns[1] = c
		if _, sent, err := s.run(c, &sessionState{}, Command{Statement: Statement{Kind: Commit}}, 2, time.Now()); sent || err == nil {
			t.Errorf("%s: a command was sent to the restarted target, error %v", test.name, err)
		}
	}
	s.applyDocument(primacy.Document{Service: "stock", Epoch: 4, Open: true, Primary: "a", Born: 200})
	if _, _, usable := s.currentPrimary(); !usable {
		t.Error("the restarted target is not used after a decision for it")
	}
}

// Guards against a host that starts and takes a target without its data for the primary: it knows no position that the target must
// have reached, and its list of targets may be older than the restart.
func TestStartingHostVerifiesPrimary(t *testing.T) {
	target := catalog.Target{ID: "a", StartedAt: 100}
	open := primacy.Document{Service: "stock", Epoch: 3, Open: true, Primary: "a", Born: 100, Term: 5,
		Received: model.Position{Term: 4, Offset: 40}}
	closed := primacy.Document{Service: "stock", Epoch: 2, Primary: "b"}
	later := model.Position{Term: 5, Offset: 50}
	for _, test := range []struct {
		name      string
		documents []primacy.Document
		position  model.Position
		status    primacy.Status
		accepted  bool
		queries   int
	}{
		{"the primary", []primacy.Document{open}, later, primacy.Status{Primary: true, Term: 5}, true, 1},
		{"a replica", []primacy.Document{open}, later, primacy.Status{Term: 5}, false, 2},
		{"a primary of an earlier term", []primacy.Document{open}, later, primacy.Status{Primary: true, Term: 4}, false, 2},
		{"without its data", []primacy.Document{open}, model.Position{}, primacy.Status{Primary: true, Term: 5}, false, 0},
		{"promoted a moment ago", []primacy.Document{closed, open}, model.Position{Term: 4, Offset: 30},
			primacy.Status{Primary: true, Term: 5}, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := &statusDialer{position: test.position, status: test.status}
			s := newServiceWithDialer(d)
			s.setTargets([]catalog.Target{target}, maxConnections(1))
			for _, doc := range test.documents {
				s.applyDocument(doc)
			}
			for range 2 {
				sentAt := boottime.Now()
				_, position, err := s.dial(t.Context(), target, "w")
				if (err == nil) != test.accepted {
					t.Errorf("error %v, accepted is %t", err, test.accepted)
				}
				if err == nil { // as open does
					s.mu.Lock()
					s.recordReply(sentAt, boottime.Now(), target, position)
					s.mu.Unlock()
				}
			}
			if d.queries != test.queries {
				t.Errorf("%d status commands, want %d", d.queries, test.queries)
			}
		})
	}
}

// Guards against reads on a primary that has started again without its data, at a host that has confirmed it while its log was empty
// and has not used it since: the commits of other hosts are missing there (review/8).
func TestPrimaryIsVerifiedAgain(t *testing.T) {
	target := catalog.Target{ID: "a", StartedAt: 100}
	used := model.Position{Term: 1, Offset: 50}
	for _, test := range []struct {
		name     string
		position model.Position // known to the host, and that of the target after its restart
		idle     time.Duration  // since the last reply of the primary
		accepted bool
	}{
		{"empty log", model.Position{Term: 1}, 0, false},
		{"other hosts may have committed since", used, verifyPrimaryAfter + time.Second, false},
		{"in use", used, 0, true}, // its connections would have ended
	} {
		d := &statusDialer{position: test.position, status: primacy.Status{Primary: true, Term: 1}}
		s := newServiceWithDialer(d)
		s.setTargets([]catalog.Target{target}, maxConnections(1))
		s.applyDocument(primacy.Document{Service: "stock", Epoch: 2, Open: true, Primary: "a", Born: 100, Term: 1})
		if _, _, err := s.dial(t.Context(), target, "w"); err != nil {
			t.Fatal(err)
		}
		s.mu.Lock()
		now := boottime.Now()
		s.recordReply(now, now, target, test.position)
		s.primaryReachedAt = now.Add(-test.idle)
		s.mu.Unlock()
		d.status = primacy.Status{Term: 1} // a replica
		if _, _, err := s.dial(t.Context(), target, "w"); (err == nil) != test.accepted {
			t.Errorf("%s: error %v, accepted is %t", test.name, err, test.accepted)
		}
	}
}

// lapsingConn is a connection to a target that commits everything. The permission of the host ends before its reply to the given
// kind of statement.
type lapsingConn struct {
	server *Server
	lapses StatementKind
	state  TxnState
}

func (c *lapsingConn) Run(_ time.Time, commands []Command) (replies []Reply, sent bool, err error) {
	for _, command := range commands {
		switch command.Kind {
		case Begin:
			c.state = InTxn
		case Commit, Rollback:
			c.state = Idle
		}
		if command.Kind == c.lapses {
			c.server.AllowPrimariesUntil(time.Time{})
		}
		replies = append(replies, Reply{State: c.state})
	}
	return replies, true, nil
}

func (*lapsingConn) Status(time.Time) (primacy.Status, error) {
	return primacy.Status{Primary: true, Term: 1}, nil
}

func (*lapsingConn) Close() {}

type lapsingDialer struct{ conn *lapsingConn }

func (d lapsingDialer) Dial(context.Context, catalog.Target, model.Workspace) (Conn, model.Position, error) {
	return d.conn, model.Position{Term: 1}, nil
}

// Guards against an acknowledgement of a write that was held up on its way to the target, or there, until the lease of the host had
// ended: another target may have been promoted before the commit.
func TestCommitAfterEndOfLeaseIsNotAcknowledged(t *testing.T) {
	for _, test := range []struct {
		name       string
		lapses     StatementKind
		statements []StatementKind
		want       Code // of the answer to the last statement
	}{
		{"write", Write, []StatementKind{Write}, InDoubt},
		{"commit", Commit, []StatementKind{Begin, Write, Commit}, InDoubt},
		{"commit that wrote nothing", Commit, []StatementKind{Begin, Read, Commit}, Success},
		{"read", Read, []StatementKind{Read}, Success},
		{"no end", Invalid, []StatementKind{Begin, Write, Commit}, Success},
	} {
		conn := &lapsingConn{lapses: test.lapses}
		s := New("z", lapsingDialer{conn}, zap.NewNop(), NewMetrics(prometheus.NewRegistry()))
		conn.server = s
		s.AllowPrimariesUntil(boottime.Now().Add(time.Hour))
		s.SetTargets("stock", []catalog.Target{{ID: "a", Service: "stock", DataCentre: "z", StartedAt: 1}}, maxConnections(4))
		s.ApplyPrimaryDocument(primacy.Document{Service: "stock", Epoch: 1, Open: true, Primary: "a", Term: 1, Born: 1})
		sess := newSelectingSession(s)
		var last Answer
		for i, kind := range test.statements {
			last = sess.execute(boottime.Now(), Statement{ID: strconv.Itoa(i), Kind: kind, Args: "x"})
		}
		if last.Code != test.want {
			t.Errorf("%s: answered with %s (%s), want %s", test.name, last.Code, last.Detail, test.want)
		}
	}
}

// Guards against a decision that arrives after a later one, from a leader or a relay whose message was held up: the host would use a
// primary that has been replaced.
func TestLateDecisionIsIgnored(t *testing.T) {
	s := newServiceWithDialer(failingDialer{})
	for _, doc := range []primacy.Document{
		{Service: "stock", Epoch: 2, Open: true, Primary: "a", Born: 100},
		{Service: "stock", Epoch: 4, Open: true, Primary: "b", Born: 100},
		{Service: "stock", Epoch: 3, Primary: "a", Born: 100},
		{Service: "stock", Epoch: 2, Open: true, Primary: "a", Born: 100},
	} {
		s.applyDocument(doc)
	}
	if epoch, primary, usable := s.currentPrimary(); epoch != 4 || primary != "b" || !usable {
		t.Errorf("primary %s of epoch %d, usable %t; want b of epoch 4", primary, epoch, usable)
	}
}
