package frontend

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
	"github.com/waxwingspindle/waxwingspindle/routing"
)

// localForwarder selects a target of this host for every statement.
type localForwarder struct{ target model.TargetID }

func (f localForwarder) SelectHost(SelectRequest, ExcludedHosts) Selection {
	return Selection{Local: true, Target: f.target}
}

func (localForwarder) SelectsTargets() bool { return true }

func (localForwarder) PrimaryPositions(model.Service, model.TargetID) (uint64, []routing.Sample, error) {
	return 0, nil, ErrPrimaryUnreachable
}

func (localForwarder) Forward(model.HostID, ForwardRequest, time.Duration) (ForwardReply, bool, error) {
	return ForwardReply{}, false, ErrCannotServe
}

// newSelectingSession returns a session of a caller whose statements run on target a of the queue fixture, selected by host.
func newSelectingSession(s *Server) *session {
	route := catalog.Route{Database: "orders", Service: "stock", Consistency: catalog.Primary, StatementTimeout: time.Second,
		LatencyTarget: time.Second, Public: true}
	s.SetCatalog(&catalog.Catalog{Version: 1, Routes: map[string]catalog.Route{"orders": route}}, 1)
	s.SetForwarder(localForwarder{"a"})
	return &session{server: s, log: s.log, database: "orders",
		state: sessionState{variables: map[string]string{}, prepared: map[string]PreparedStatement{}}}
}

// Guards against turns that transactions of the gateway host's own callers keep: each one would take a slot of the target out of
// use for good.
func TestTransactionsOfGatewayHostReturnTheirTurns(t *testing.T) {
	s, _ := newQueueFixture(t, &busyTarget{statementTime: time.Millisecond})
	sess := newSelectingSession(s)
	for i := range 10 {
		for _, kind := range []StatementKind{Begin, Write, Read, Commit} {
			st := Statement{ID: fmt.Sprintf("%d-%d", i, kind), Kind: kind, Args: "x"}
			if a := sess.execute(boottime.Now(), st); a.Code != Success {
				t.Fatalf("statement %s: %v %s", st.ID, a.Code, a.Detail)
			}
		}
	}
	figures, known := s.TargetFigures("stock", "a", 0)
	if !known || figures.Running != 0 {
		t.Errorf("%d statements count as running after all have ended", figures.Running)
	}
}

// Guards against a target that has restarted without its data and is taken for the primary by a host that knows only that the log
// was empty once, because the statements for the primary run on another host (soak seed 2002 with load control).
func TestPrimaryWithEmptyLogConfirmsItsRole(t *testing.T) {
	target := catalog.Target{ID: "a", StartedAt: 100}
	for _, test := range []struct {
		name     string
		position model.Position
		queries  int // for three connections
	}{
		{"empty log", model.Position{Term: 5}, 3},
		{"known position", model.Position{Term: 5, Offset: 7}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := &statusDialer{position: test.position, status: primacy.Status{Primary: true, Term: 5}}
			s := newServiceWithDialer(d)
			s.server.SetForwarder(localForwarder{"a"})
			s.setTargets([]catalog.Target{target}, maxConnections(3))
			s.applyDocument(primacy.Document{Service: "stock", Epoch: 2, Primary: "b"})
			s.applyDocument(primacy.Document{Service: "stock", Epoch: 3, Open: true, Primary: "a", Born: 100, Term: 5})
			for range 3 {
				_, position, err := s.dial(t.Context(), target, "w")
				if err != nil {
					t.Fatal(err)
				}
				s.mu.Lock()
				s.recordReply(boottime.Now(), boottime.Now(), target, position)
				s.mu.Unlock()
			}
			if d.queries != test.queries {
				t.Errorf("%d status commands, want %d", d.queries, test.queries)
			}
			d.status, d.position = primacy.Status{Term: 5}, model.Position{Term: 5}
			if _, _, err := s.dial(t.Context(), target, "w"); err == nil {
				t.Error("a target without its data was accepted")
			}
		})
	}
}
