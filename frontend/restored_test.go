package frontend

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
)

// Guards against reads that miss a commit of their session which another host made under the decision before its restoration.
func TestReadCoversCommitUnderUnrestoredDecision(t *testing.T) {
	s := newServiceWithDialer(failingDialer{})
	decision := primacy.Document{Service: "stock", Epoch: 2, Open: true, Primary: "a", Born: 100, Term: 2}
	s.applyDocument(decision)
	decision.Epoch = 1<<32 | 3
	s.applyDocument(decision)
	now := boottime.Now()
	s.addSample(now, model.Position{Term: 2, Offset: 235})
	mark := HighWaterMark{Epoch: 2, Position: model.Position{Term: 2, Offset: 236}, CommittedAt: now}
	if position, _, known := s.readRequirement(now.Add(-time.Second), mark); known && position.Offset < 236 {
		t.Errorf("a replica at %v may run the read of a session with a commit at %v", position, mark.Position)
	}
}

// Guards against transactions that are lost because the leader has restored a decision without changing it.
func TestTransactionSurvivesRestoredDecision(t *testing.T) {
	conn := &lapsingConn{lapses: Invalid}
	s := New("z", lapsingDialer{conn}, zap.NewNop(), NewMetrics(prometheus.NewRegistry()))
	conn.server = s
	s.AllowPrimariesUntil(boottime.Now().Add(time.Hour))
	s.SetTargets("stock", []catalog.Target{{ID: "a", Service: "stock", DataCentre: "z", StartedAt: 1}}, maxConnections(4))
	decision := primacy.Document{Service: "stock", Epoch: 1, Open: true, Primary: "a", Term: 1, Born: 1}
	s.ApplyPrimaryDocument(decision)
	sess := newSelectingSession(s)
	for i, kind := range []StatementKind{Begin, Write, Commit} {
		answer := sess.execute(boottime.Now(), Statement{ID: fmt.Sprint(i), Kind: kind, Args: "x"})
		if answer.Code != Success {
			t.Errorf("%v: answered with %s (%s)", kind, answer.Code, answer.Detail)
		}
		decision.Epoch += 1 << 32
		s.ApplyPrimaryDocument(decision)
	}
}

// Guards against connections of a transaction that outlive the replacement of their primary: the same target may be opened again in a
// later term.
func TestTransactionEndsWithTenure(t *testing.T) {
	open := primacy.Document{Service: "stock", Epoch: 1, Open: true, Primary: "a", Term: 1, Born: 1}
	closed := primacy.Document{Service: "stock", Epoch: 2, Primary: "a", Term: 1, Born: 1}
	reopened, promoted, restarted := open, open, open
	reopened.Epoch, promoted.Epoch, promoted.Term, restarted.Epoch, restarted.Born = 3, 3, 2, 3, 2
	for name, documents := range map[string][]primacy.Document{
		"closed and opened again": {open, closed, reopened},
		"promoted again":          {open, promoted},
		"started again":           {open, restarted},
		"closed":                  {open, closed},
	} {
		s := newServiceWithDialer(failingDialer{})
		for _, doc := range documents {
			s.applyDocument(doc)
		}
		c := &targetConn{id: 1, target: catalog.Target{ID: "a", StartedAt: s.doc.Born}, conn: &statusConn{}}
		s.conns[1] = c
		command := Command{Statement: Statement{Kind: Commit}}
		if _, sent, err := s.run(c, &sessionState{}, command, 1, time.Now()); sent || !errors.Is(err, errPrimaryNotAllowed) {
			t.Errorf("%s: sent %t, error %v", name, sent, err)
		}
	}
}
