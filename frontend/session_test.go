package frontend

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
	"github.com/waxwingspindle/waxwingspindle/routing"
)

// Sessions that share a connection must not use one name for prepared statements of different shapes, and names must not
// contain separators of the line protocol.
func TestPreparedStatementNamesOnTarget(t *testing.T) {
	names := map[string]PreparedStatement{}
	for _, shape := range []string{"q2c", "q2d", "two words", "two  words", strings.Repeat("x", 300),
		strings.Repeat("x", 301)} {
		for _, kind := range []StatementKind{PrepareRead, PrepareWrite} {
			p := PreparedStatement{Kind: kind, Shape: shape}
			name := p.nameOnTarget()
			if other, taken := names[name]; taken {
				t.Errorf("name %q is used for %+v and for %+v", name, other, p)
			}
			names[name] = p
			if strings.ContainsAny(name, " \t\r\n") || len(name) > 64 {
				t.Errorf("name %q of %+v cannot be sent on the wire", name, p)
			}
		}
	}
}

// commandsOf returns the commands as "kind name".
func commandsOf(commands []Command) []string {
	kinds := map[StatementKind]string{Reset: "reset", Set: "set", PrepareRead: "prepare", Execute: "execute", Read: "read",
		Commit: "commit"}
	var list []string
	for _, c := range commands {
		list = append(list, strings.TrimSpace(kinds[c.Kind]+" "+c.Name))
	}
	return list
}

// Variables of another session must not remain on a connection, and setup commands must not be sent twice.
func TestConnectionSetupCommands(t *testing.T) {
	c := &targetConn{variables: map[string]string{}, prepared: map[string]bool{}}
	first := &sessionState{variables: map[string]string{"owner": "a"},
		prepared: map[string]PreparedStatement{"s1": {Kind: PrepareRead, Shape: "q"}}}
	second := &sessionState{variables: map[string]string{},
		prepared: map[string]PreparedStatement{"other": {Kind: PrepareRead, Shape: "q"}}}
	steps := []struct {
		state *sessionState
		st    Statement
		want  []string
	}{
		{first, Statement{Kind: Execute, Name: "s1"}, []string{"set owner", "prepare r_q", "execute r_q"}},
		{first, Statement{Kind: Execute, Name: "s1"}, []string{"execute r_q"}},
		{first, Statement{Kind: Commit}, []string{"commit"}},
		{second, Statement{Kind: Execute, Name: "other"}, []string{"reset", "prepare r_q", "execute r_q"}},
		{second, Statement{Kind: Read}, []string{"read"}},
	}
	for i, step := range steps {
		command := Command{Statement: step.st}
		if diff := cmp.Diff(step.want, commandsOf(c.commandsFor(step.state, &command))); diff != "" {
			t.Errorf("step %d (-want +got):\n%s", i, diff)
		}
	}
}

// A replica must not run a read if it lacks a commit that the route guarantees. The required position must have been
// observed within the maximum staleness, cover the session's last commit, and belong to the current primary.
func TestReadRequirement(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &service{samples: &routing.PositionSamples{}, samplesTenure: 4, samplesTerm: 2}
	s.doc.Epoch = 5 // the primary of epoch 4 is being replaced
	addSample := func(ago time.Duration, offset uint64) {
		s.samples.Add(now.Add(-ago), model.Position{Term: 2, Offset: offset})
	}
	addSample(3*time.Second, 10)
	addSample(time.Second, 20)
	addSample(100*time.Millisecond, 30)
	tests := []struct {
		name  string
		age   time.Duration
		mark  HighWaterMark
		want  uint64
		known bool
	}{
		{"the oldest sample inside the age", 1500 * time.Millisecond, HighWaterMark{}, 20, true},
		{"a longer age allows an older one", 5 * time.Second, HighWaterMark{}, 10, true},
		{"no sample is young enough", 50 * time.Millisecond, HighWaterMark{}, 0, false},
		{"the session's commit is later", time.Second,
			HighWaterMark{Epoch: 4, Position: model.Position{Term: 2, Offset: 25}}, 25, true},
		{"the session's commit is earlier", time.Second,
			HighWaterMark{Epoch: 4, Position: model.Position{Term: 2, Offset: 15}}, 20, true},
		{"the commit was made under another primary", time.Second,
			HighWaterMark{Epoch: 2, Position: model.Position{Term: 1, Offset: 90}}, 20, true},
		{"the commit was made under a primary that this host does not know yet", time.Second,
			HighWaterMark{Epoch: 6, Position: model.Position{Term: 3, Offset: 5}}, 5, true},
	}
	for _, test := range tests {
		position, _, known := s.readRequirement(now.Add(-test.age), test.mark)
		if known != test.known || position.Offset != test.want {
			t.Errorf("%s: offset %d, known %v; want %d, %v", test.name, position.Offset, known, test.want, test.known)
		}
	}
}

// A host that has just started must reject forwarded statements with ErrCannotServe, so that another host runs them,
// instead of answering the callers with a refusal.
func TestHostThatCannotServeTakesNoForwards(t *testing.T) {
	s := New("z", nil, zap.NewNop(), NewMetrics(prometheus.NewRegistry()))
	f := ForwardRequest{Route: catalog.Route{Service: "stock"}, Workspace: "w", Statement: Statement{Kind: Read},
		Remaining: time.Second}
	for _, step := range []struct {
		name string
		do   func()
	}{
		{"without targets and permission", func() {}},
		{"without targets", func() { s.AllowPrimariesUntil(boottime.Now().Add(time.Hour)) }},
		{"without connections", func() { s.SetTargets("stock", []catalog.Target{{ID: "a", Service: "stock"}}, maxConnections(0)) }},
	} {
		step.do()
		if _, err := s.RunForwarded(f); !errors.Is(err, ErrCannotServe) {
			t.Errorf("%s: error %v, want ErrCannotServe", step.name, err)
		}
	}
}

// maxConnections returns the same limit for every target.
func maxConnections(n int) func(model.TargetID) ConnectionLimits {
	return func(model.TargetID) ConnectionLimits { return ConnectionLimits{Max: n} }
}

// failingDialer fails every connection attempt.
type failingDialer struct{ Dialer }

func (failingDialer) Dial(context.Context, catalog.Target, model.Workspace) (Conn, model.Position, error) {
	return nil, model.Position{}, errors.New("no answer")
}

// recordingForwarder rejects every statement and records the excluded hosts of each selection.
type recordingForwarder struct{ exclusions []ExcludedHosts }

func (o *recordingForwarder) SelectHost(_ SelectRequest, excluded ExcludedHosts) Selection {
	o.exclusions = append(o.exclusions, excluded)
	return Selection{Host: "other", Local: !excluded.Local || len(excluded.Remote) > 0}
}

func (*recordingForwarder) SelectsTargets() bool { return false }

func (*recordingForwarder) PrimaryPositions(model.Service, model.TargetID) (uint64, []routing.Sample, error) {
	return 0, nil, ErrPrimaryUnreachable
}

func (o *recordingForwarder) Forward(model.HostID, ForwardRequest, time.Duration) (ForwardReply, bool, error) {
	return ForwardReply{}, false, ErrPrimaryUnreachable
}

// A write must not wait for a primary that this host does not reach while another host can run it, and hosts that do not
// reach the primary must not forward such writes to each other.
func TestWriteGoesToHostThatReachesThePrimary(t *testing.T) {
	s, forwarder := New("z", failingDialer{}, zap.NewNop(), NewMetrics(prometheus.NewRegistry())), &recordingForwarder{}
	s.SetForwarder(forwarder)
	route := catalog.Route{Service: "stock", Consistency: catalog.Primary, StatementTimeout: time.Second, Public: true}
	s.SetCatalog(&catalog.Catalog{Version: 1, Routes: map[string]catalog.Route{"orders": route}}, 1)
	s.AllowPrimariesUntil(boottime.Now().Add(time.Hour))
	s.SetTargets("stock", []catalog.Target{{ID: "a", Service: "stock"}}, maxConnections(1))
	s.ApplyPrimaryDocument(primacy.Document{Service: "stock", Epoch: 1, Open: true, Primary: "a"})
	svc := s.service("stock")
	svc.mu.Lock()
	svc.primaryFailingSince = boottime.Now().Add(-primaryUnreachableAfter)
	svc.mu.Unlock()
	stop := make(chan struct{})
	defer close(stop)
	go s.Run(stop)

	f := ForwardRequest{Route: route, Statement: Statement{Kind: Read}, Remaining: time.Second}
	if _, err := s.RunForwarded(f); !errors.Is(err, ErrPrimaryUnreachable) {
		t.Errorf("forwarded statement: error %v, want ErrPrimaryUnreachable", err)
	}
	f.Route.Consistency, f.Route.MaxStaleness = catalog.BoundedStaleness, time.Second
	if _, err := s.RunForwarded(f); !errors.Is(err, ErrPrimaryUnreachable) {
		t.Errorf("forwarded read without a known position: error %v, want ErrPrimaryUnreachable", err)
	}
	svc.mu.Lock()
	svc.samples.Add(boottime.Now(), model.Position{Term: 1, Offset: 1})
	svc.mu.Unlock()
	if err := s.checkForward(f, boottime.Now()); err != nil {
		t.Errorf("a forwarded read that replicas can run was rejected: %v", err)
	}
	sess := &session{server: s, log: s.log, database: "orders",
		state: sessionState{prepared: map[string]PreparedStatement{}}}
	sess.runStatement(boottime.Now(), Statement{Kind: Write})
	want := []ExcludedHosts{{Local: true}, {Local: true, Remote: []Selection{{Host: "other"}}}}
	if diff := cmp.Diff(want, forwarder.exclusions); diff != "" {
		t.Errorf("excluded hosts (-want +got):\n%s", diff)
	}
}

// Guards against reports that grow with the number of services, and against hosts that count as reaching a primary to which
// they never connect.
func TestObservesOnlyConnectedServices(t *testing.T) {
	s := New("z", nil, zap.NewNop(), NewMetrics(prometheus.NewRegistry()))
	for service, limit := range map[model.Service]int{"home": 2, "elsewhere": 0} {
		s.SetTargets(service, []catalog.Target{{ID: "a", Service: service}}, maxConnections(limit))
		s.ApplyPrimaryDocument(primacy.Document{Service: service, Epoch: 1, Open: true, Primary: "a"})
	}
	got := slices.Sorted(maps.Keys(s.PrimaryObservations()))
	if diff := cmp.Diff([]model.Service{"home"}, got); diff != "" {
		t.Errorf("observed services (-want +got):\n%s", diff)
	}
}

// Guards against a process that ends because of one message of another host, for example of another version: it has no maps
// for the session's variables and prepared statements.
func TestUnexpectedForwardsAreMalformed(t *testing.T) {
	s := New("z", nil, zap.NewNop(), NewMetrics(prometheus.NewRegistry()))
	s.AllowPrimariesUntil(boottime.Now().Add(time.Hour))
	s.SetTargets("stock", []catalog.Target{{ID: "a", Service: "stock"}}, maxConnections(1))
	route := catalog.Route{Service: "stock", Consistency: catalog.Primary}
	for kind := Invalid; kind <= Demote+1; kind++ {
		if kind.runsOnTarget() {
			continue
		}
		for _, txn := range []uint64{0, uint64(kind) + 1} {
			f := ForwardRequest{TxnID: txn, BeginTxn: txn > 0, Route: route, Statement: Statement{Kind: kind, Name: "n"}}
			if reply, err := s.RunForwarded(f); err != nil || reply.Answer.Code != Malformed {
				t.Errorf("kind %d, transaction %d: %+v, %v", kind, txn, reply.Answer, err)
			}
		}
	}
}

// Guards against operations that wait until their deadline for a replacement whose end is not in sight, and against ones that
// are refused although the next primary is about to open.
func TestWaitsForReplacementInSightOnly(t *testing.T) {
	s := New("z", nil, zap.NewNop(), NewMetrics(prometheus.NewRegistry()))
	svc, sess, now := s.service("stock"), &session{server: s}, boottime.Now()
	op := operation{service: svc, arrived: now, deadline: now.Add(time.Second),
		route: catalog.Route{LatencyTarget: 200 * time.Millisecond}}
	for _, test := range []struct {
		name      string
		open      bool
		closedFor time.Duration
		want      time.Duration
	}{
		{"the primary is open", true, time.Minute, op.route.LatencyTarget},
		{"the replacement has just begun", false, 0, time.Second},
		{"the replacement takes too long", false, 2 * usualReplacementTime, op.route.LatencyTarget},
	} {
		svc.doc.Open, svc.docAppliedAt = test.open, now.Add(-test.closedFor)
		if got := sess.queueDeadline(op).Sub(now); got != test.want {
			t.Errorf("%s: waits for %v, want %v", test.name, got, test.want)
		}
	}
}
