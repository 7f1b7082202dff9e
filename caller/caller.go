// Package caller implements the HTTP API for callers. It decodes requests, limits the size of their bodies, passes them to
// a Backend, and reports the outcome in every response.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	goahttp "goa.design/goa/v3/http"

	gencaller "github.com/waxwingspindle/waxwingspindle/gen/caller"
	"github.com/waxwingspindle/waxwingspindle/gen/http/caller/server"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// MaxBodyBytes is the maximum size of a request body.
const MaxBodyBytes = 1 << 20

// Argument is an argument of a statement in text format.
type Argument struct {
	Text string
	Null bool
}

// Request holds the parameters that all authenticated requests have in common.
type Request struct {
	Authorization string
	SessionToken  string
	RequestID     string
	Timeout       time.Duration // zero if the caller sets none
	Service       model.Service
}

// Statement is an SQL statement and the properties that the caller declares for it.
type Statement struct {
	SQL          string
	Args         []Argument
	ReadOnly     bool
	Idempotent   bool
	HasStaleness bool // whether MaxStaleness is set
	MaxStaleness time.Duration
	Transaction  string
}

// Response is the response to a request whose outcome is done.
type Response struct {
	Columns      []string
	Rows         [][]any
	Affected     int64
	Duplicate    bool
	Target       model.TargetID
	Transaction  string
	SessionToken string
}

// Status is the state of a host that is reported to callers.
type Status struct {
	Host                 model.HostID
	State                string
	ConfigurationVersion uint64
	Accepting            bool // whether a load balancer may send requests to the host
}

// Backend executes decoded requests.
type Backend interface {
	Execute(ctx context.Context, r Request, s Statement) (Response, model.Result)
	Begin(ctx context.Context, r Request) (Response, model.Result)
	End(ctx context.Context, r Request, transaction string, commit bool) (Response, model.Result)
	Status() Status
}

// NewHandler returns the HTTP handler of the API.
func NewHandler(b Backend) http.Handler {
	mux := goahttp.NewMuxer()
	s := server.New(gencaller.NewEndpoints(&service{backend: b}), mux, newDecoder, goahttp.ResponseEncoder, nil, formatError)
	s.Mount(mux)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		mux.ServeHTTP(w, r)
	})
}

// newDecoder returns a JSON decoder regardless of the Content-Type header, because curl sends a different type by default.
// Numbers are decoded as text, so that large integers keep all digits.
func newDecoder(r *http.Request) goahttp.Decoder {
	d := json.NewDecoder(r.Body)
	d.UseNumber()
	return strictDecoder{d}
}

// strictDecoder rejects data after the JSON value.
type strictDecoder struct{ *json.Decoder }

// Decode decodes a body that consists of one JSON value.
func (d strictDecoder) Decode(v any) error {
	if err := d.Decoder.Decode(v); err != nil {
		return err
	}
	if _, err := d.Decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("the body must be one JSON value")
	}
	return nil
}

// service implements the goa service.
type service struct{ backend Backend }

// newRequest returns the common parameters of a request, with a new request ID if the caller sent none.
func newRequest(authorization, session, id *string, timeoutMs *int64, name string) Request {
	r := Request{Service: model.Service(name), RequestID: uuid.NewString()}
	if authorization != nil {
		r.Authorization = *authorization
	}
	if session != nil {
		r.SessionToken = *session
	}
	if id != nil && *id != "" {
		r.RequestID = *id
	}
	if timeoutMs != nil {
		r.Timeout = time.Duration(*timeoutMs) * time.Millisecond
	}
	return r
}

// Execute implements the goa service.
func (s *service) Execute(ctx context.Context, p *gencaller.ExecutePayload) (*gencaller.ExecuteResult, error) {
	r := newRequest(p.Authorization, p.SessionToken, p.RequestID, p.TimeoutMs, p.Service)
	statement := Statement{SQL: p.SQL, Args: textArguments(p.Args),
		ReadOnly: isTrue(p.ReadOnly), Idempotent: isTrue(p.Idempotent)}
	if p.MaxStalenessMs != nil {
		statement.HasStaleness = true
		statement.MaxStaleness = millisecondsToDuration(*p.MaxStalenessMs)
	}
	if p.Transaction != nil {
		statement.Transaction = *p.Transaction
	}
	response, result := s.backend.Execute(ctx, r, statement)
	if result.Outcome != model.OutcomeDone {
		return nil, newRefusal(result, r.RequestID)
	}
	return &gencaller.ExecuteResult{Outcome: result.Outcome.String(), Columns: response.Columns, Rows: response.Rows,
		RowsAffected: response.Affected, Duplicate: response.Duplicate, Target: string(response.Target), RequestID: r.RequestID,
		SessionToken: response.SessionToken}, nil
}

// Begin implements the goa service.
func (s *service) Begin(ctx context.Context, p *gencaller.BeginPayload) (*gencaller.BeginResult, error) {
	r := newRequest(p.Authorization, p.SessionToken, p.RequestID, p.TimeoutMs, p.Service)
	response, result := s.backend.Begin(ctx, r)
	if result.Outcome != model.OutcomeDone {
		return nil, newRefusal(result, r.RequestID)
	}
	return &gencaller.BeginResult{Outcome: result.Outcome.String(), Transaction: response.Transaction, RequestID: r.RequestID,
		SessionToken: response.SessionToken}, nil
}

// Commit implements the goa service.
func (s *service) Commit(ctx context.Context, p *gencaller.CommitPayload) (*gencaller.CommitResult, error) {
	r := newRequest(p.Authorization, p.SessionToken, p.RequestID, p.TimeoutMs, p.Service)
	response, result := s.backend.End(ctx, r, p.Transaction, true)
	if result.Outcome != model.OutcomeDone {
		return nil, newRefusal(result, r.RequestID)
	}
	return &gencaller.CommitResult{Outcome: result.Outcome.String(), RequestID: r.RequestID,
		SessionToken: response.SessionToken}, nil
}

// Rollback implements the goa service.
func (s *service) Rollback(ctx context.Context, p *gencaller.RollbackPayload) (*gencaller.RollbackResult, error) {
	r := newRequest(p.Authorization, p.SessionToken, p.RequestID, p.TimeoutMs, p.Service)
	response, result := s.backend.End(ctx, r, p.Transaction, false)
	if result.Outcome != model.OutcomeDone {
		return nil, newRefusal(result, r.RequestID)
	}
	return &gencaller.RollbackResult{Outcome: result.Outcome.String(), RequestID: r.RequestID,
		SessionToken: response.SessionToken}, nil
}

// Status implements the goa service.
func (s *service) Status(context.Context) (*gencaller.StatusResult, error) {
	status := s.backend.Status()
	return &gencaller.StatusResult{Host: string(status.Host), State: status.State,
		ConfigurationVersion: status.ConfigurationVersion}, nil
}

// Healthz implements the goa service.
func (s *service) Healthz(context.Context) error {
	status := s.backend.Status()
	if status.Accepting {
		return nil
	}
	return &gencaller.Refusal{Name: "unavailable", Outcome: model.OutcomeNotRun.String(), Reason: status.State,
		Detail: fmt.Sprintf("the host is %s", status.State)}
}

func isTrue(b *bool) bool { return b != nil && *b }

func millisecondsToDuration(ms int64) time.Duration {
	return time.Duration(min(ms, math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
}

func textArguments(args []any) []Argument {
	converted := make([]Argument, len(args))
	for i, arg := range args {
		converted[i] = textArgument(arg)
	}
	return converted
}

// textArgument converts a decoded JSON value to an argument. Arrays and objects are passed as JSON text.
func textArgument(value any) Argument {
	switch v := value.(type) {
	case nil:
		return Argument{Null: true}
	case string:
		return Argument{Text: v}
	case json.Number:
		return Argument{Text: v.String()}
	case bool:
		return Argument{Text: strconv.FormatBool(v)}
	}
	text, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("a decoded JSON value cannot be encoded: %v", err))
	}
	return Argument{Text: string(text)}
}
