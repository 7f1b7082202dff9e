package frontend

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
)

// newForwardTarget returns a server that can run statements of other hosts on the primary a.
func newForwardTarget() *Server {
	conn := &lapsingConn{}
	s := New("z", lapsingDialer{conn}, zap.NewNop(), NewMetrics(prometheus.NewRegistry()))
	conn.server = s
	s.AllowPrimariesUntil(boottime.Now().Add(time.Hour))
	s.SetTargets("stock", []catalog.Target{{ID: "a", Service: "stock", DataCentre: "z", StartedAt: 1}}, maxConnections(4))
	s.ApplyPrimaryDocument(primacy.Document{Service: "stock", Epoch: 1, Open: true, Primary: "a", Term: 1, Born: 1})
	return s
}

// Guards against a transaction whose first statement arrives after its rollback, because the origin has given up on it and rolled it
// back over a new connection: nobody would end it.
func TestTransactionThatArrivesAfterItsEnd(t *testing.T) {
	s := newForwardTarget()
	first := ForwardRequest{Origin: "b", TxnID: 7, BeginTxn: true, IsWrite: true, Workspace: "w", Remaining: time.Second,
		Route:     catalog.Route{Service: "stock", Consistency: catalog.Primary, LatencyTarget: time.Second, StatementTimeout: time.Second},
		Statement: Statement{ID: "q", Kind: Write, Args: "x"}}
	rollback := ForwardRequest{Origin: "b", TxnID: 7, Statement: Statement{ID: "-", Kind: Rollback}}
	if _, err := s.RunForwarded(rollback); err != nil {
		t.Fatal(err)
	}
	reply, err := s.RunForwarded(first)
	if err != nil || reply.Answer.Code != Aborted || len(s.forwardedTxns) != 0 {
		t.Errorf("the late statement was answered with %s, error %v; %d transactions are open", reply.Answer.Code, err,
			len(s.forwardedTxns))
	}
	first.TxnID = 8
	if reply, err := s.RunForwarded(first); err != nil || reply.Answer.Code != Success {
		t.Errorf("another transaction was answered with %s (%s), error %v", reply.Answer.Code, reply.Answer.Detail, err)
	}
}

// Guards against memory that grows with each rollback of an unknown transaction, and against a transaction that is forgotten too early.
func TestEndedTransactionsAreForgotten(t *testing.T) {
	var ended endedTxns
	start := boottime.Now()
	key := func(n int) txnKey { return txnKey{origin: model.HostID("b"), txn: uint64(n)} }
	const perSecond = 100
	for n := range 10 * perSecond * int(endedTxnMemory/time.Second) {
		ended.add(start.Add(time.Duration(n)*time.Second/perSecond), key(n))
		if last := n - perSecond*int(endedTxnMemory/time.Second); last >= 0 && !ended.contains(key(last)) {
			t.Fatalf("transaction %d was forgotten too early", last)
		}
	}
	if limit := 1 + perSecond*int(endedTxnMemory/time.Second); len(ended.keys) > limit || len(ended.order) > limit {
		t.Errorf("%d transactions are remembered, want at most %d", len(ended.keys), limit)
	}
}
