package server

import (
	"context"

	"github.com/waxwingspindle/waxwingspindle/daemon"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// transactions runs explicit transactions of services that this host is home of.
type transactions struct{ server *Server }

func newTransactions(s *Server) *transactions { return &transactions{server: s} }

func (t *transactions) run(context.Context)    {}
func (t *transactions) finish(context.Context) {}

func (t *transactions) open(model.Service) int { return 0 }

func (t *transactions) begin(context.Context, *home, daemon.BeginRequest) daemon.BeginReply {
	return daemon.BeginReply{Result: model.NotRun(model.ReasonBadRequest, "transactions are not served yet")}
}

func (t *transactions) execute(context.Context, daemon.ExecuteRequest) daemon.ExecuteReply {
	return daemon.ExecuteReply{Result: model.NotRun(model.ReasonTransactionLost, "transactions are not served yet")}
}

func (t *transactions) end(context.Context, daemon.EndRequest) daemon.EndReply {
	return daemon.EndReply{Result: model.NotRun(model.ReasonTransactionLost, "transactions are not served yet")}
}
