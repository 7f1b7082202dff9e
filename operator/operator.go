// Package operator implements the HTTP API for operators: configuration, keys, workspaces, status and drain.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	goahttp "goa.design/goa/v3/http"

	"github.com/waxwingspindle/waxwingspindle/config"
	"github.com/waxwingspindle/waxwingspindle/gen/http/operator/server"
	genoperator "github.com/waxwingspindle/waxwingspindle/gen/operator"
	"github.com/waxwingspindle/waxwingspindle/key"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// MaxBodyBytes is the maximum size of a request body. A declaration in it must also fit into the platform's store, see
// config.MaxDocumentBytes.
const MaxBodyBytes = 2 * config.MaxDocumentBytes

// ChangeFunc computes the next document from the latest one. It is called again if another change is stored first.
type ChangeFunc func(*config.Document) (*config.Document, error)

// Change is the result of an accepted change.
type Change struct {
	Before, After *config.Document
	Confirmed     []model.HostID // hosts that have applied the change
	Unconfirmed   []model.HostID // hosts that have not confirmed it yet
}

// NotAcceptedError reports a change that was certainly not accepted.
type NotAcceptedError struct{ Reason string }

// Error returns the message that is sent to the operator.
func (e *NotAcceptedError) Error() string { return "the change was not accepted: " + e.Reason }

// UnknownOutcomeError reports a change that may have been accepted. Repeating the request with the same change id resolves
// the outcome.
type UnknownOutcomeError struct{ Reason string }

// Error returns the message that is sent to the operator.
func (e *UnknownOutcomeError) Error() string {
	return "it is not known whether the change was accepted; repeat it with the same change id: " + e.Reason
}

// Backend provides the operations behind the HTTP API.
type Backend interface {
	// Document returns the latest document in the store, or the active one if the store cannot be read.
	Document(ctx context.Context) *config.Document
	// ApplyChange stores the next document by compare-and-swap and waits for the hosts to apply it. It does not
	// call f if the latest document contains the change already.
	ApplyChange(ctx context.Context, changeID string, f ChangeFunc) (Change, error)
	// NewKey returns a new key of the workspace and the record to store for it.
	NewKey(w model.Workspace) (key.Key, key.Record)
	// NewSecret returns a new secret for session tokens and transaction handles.
	NewSecret() []byte
	// Status returns the status of this host, its fleet and its services.
	Status() *genoperator.StatusResult
	// Drain starts a planned stop.
	Drain()
}

// NewHandler returns the HTTP handler of the operators' API. The token function returns the active operator token; while
// it returns an empty token, all requests are refused.
func NewHandler(b Backend, token func() string) http.Handler {
	mux := goahttp.NewMuxer()
	s := server.New(genoperator.NewEndpoints(&service{backend: b, token: token}), mux, goahttp.RequestDecoder,
		goahttp.ResponseEncoder, nil, formatError)
	s.Mount(mux)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		mux.ServeHTTP(w, r)
	})
}

// errorBody is the JSON body of error responses.
type errorBody struct {
	Name     string   `json:"name"`
	Reason   string   `json:"reason"`
	Detail   string   `json:"detail"`
	Problems []string `json:"problems"`
	Version  uint64   `json:"version"`
}

// StatusCode implements goahttp.Statuser. It applies to requests that the HTTP layer fails to decode.
func (*errorBody) StatusCode() int { return http.StatusBadRequest }

// formatError returns the response body for an OperatorFailure or for a request that the HTTP layer fails to decode.
func formatError(_ context.Context, err error) goahttp.Statuser {
	var f *genoperator.OperatorFailure
	if errors.As(err, &f) {
		return &errorBody{Name: f.Name, Reason: f.Reason, Detail: f.Detail, Problems: f.Problems, Version: f.Version}
	}
	return &errorBody{Name: "invalid", Reason: "bad_request", Detail: err.Error(), Problems: []string{}}
}

// service implements the generated service interface.
type service struct {
	backend Backend
	token   func() string
}

// authorize checks the bearer token of a request against the operator token.
func (s *service) authorize(header *string) error {
	expected := s.token()
	token := ""
	if header != nil {
		token, _ = strings.CutPrefix(*header, "Bearer ")
	}
	if expected == "" || subtle.ConstantTimeCompare([]byte(token), []byte(expected)) != 1 {
		return &genoperator.OperatorFailure{Name: "unauthorized", Reason: "operator_token_invalid",
			Detail: "the Authorization header must be Bearer and the operator token", Problems: []string{}}
	}
	return nil
}

// contentHashBytes is the length of the content hash in a change id.
const contentHashBytes = 8

// changeID returns the given change id or a new one, followed by a hash of the change's content. The hash distinguishes
// the repetition of a change from a different change that reuses the id by mistake.
func changeID(given *string, content ...any) (string, error) {
	id := uuid.NewString()
	if given != nil && *given != "" {
		id = *given
	}
	if len(id) > config.MaxChangeIDBytes {
		return "", &genoperator.OperatorFailure{Name: "invalid", Reason: "change_id_too_long", Problems: []string{},
			Detail: fmt.Sprintf("a change id has at most %d bytes", config.MaxChangeIDBytes)}
	}
	data, err := json.Marshal(content)
	if err != nil {
		return "", trace.Wrap(err)
	}
	sum := sha256.Sum256(data)
	return fmt.Sprintf("%s.%x", id, sum[:contentHashBytes]), nil
}

// ConfigShow implements genoperator.Service.
func (s *service) ConfigShow(ctx context.Context, p *genoperator.ConfigShowPayload) (*genoperator.ConfigShowResult, error) {
	if err := s.authorize(p.Authorization); err != nil {
		return nil, err
	}
	d := s.backend.Document(ctx)
	return &genoperator.ConfigShowResult{Version: d.Version, Base: d.Base, Overlays: overlayTexts(d.Overlays),
		Document: redactDocument(d)}, nil
}

// redactedKey is a key record without its hash.
type redactedKey struct {
	ID        model.KeyID     `json:"id"`
	Workspace model.Workspace `json:"workspace"`
	Withdrawn bool            `json:"withdrawn"`
}

// redactedDocument is a configuration document without secrets.
type redactedDocument struct {
	Version uint64        `json:"version"`
	Changes []string      `json:"changes"`
	Keys    []redactedKey `json:"keys"`
}

func redactDocument(d *config.Document) redactedDocument {
	out := redactedDocument{Version: d.Version, Changes: d.Changes, Keys: []redactedKey{}}
	for _, id := range d.KeyIDs() {
		k := d.Keys[id]
		out.Keys = append(out.Keys, redactedKey{ID: id, Workspace: k.Workspace, Withdrawn: k.Withdrawn})
	}
	return out
}

// ConfigDiff implements genoperator.Service.
func (s *service) ConfigDiff(ctx context.Context, p *genoperator.ConfigDiffPayload) (*genoperator.ConfigDiffResult, error) {
	if err := s.authorize(p.Authorization); err != nil {
		return nil, err
	}
	declared := newDeclaration(p.Base, p.Overlays)
	if err := declared.Validate(); err != nil {
		return nil, toOperatorFailure(err, 0)
	}
	d := s.backend.Document(ctx)
	return &genoperator.ConfigDiffResult{Version: d.Version, Differences: config.Differences(d.Declaration(), declared)}, nil
}

// ConfigApply implements genoperator.Service.
func (s *service) ConfigApply(ctx context.Context, p *genoperator.ConfigApplyPayload) (*genoperator.Change, error) {
	if err := s.authorize(p.Authorization); err != nil {
		return nil, err
	}
	id, err := changeID(p.ChangeID, "apply", p.Base, p.Overlays)
	if err != nil {
		return nil, err
	}
	declared, secret := newDeclaration(p.Base, p.Overlays), s.backend.NewSecret()
	return s.change(ctx, id, func(d *config.Document) (*config.Document, error) {
		return d.Apply(declared, p.ExpectedVersion, id, secret)
	})
}

// KeyCreate implements genoperator.Service.
func (s *service) KeyCreate(ctx context.Context, p *genoperator.KeyCreatePayload) (*genoperator.KeyCreateResult, error) {
	if err := s.authorize(p.Authorization); err != nil {
		return nil, err
	}
	id, err := changeID(p.ChangeID, "key create", p.Workspace)
	if err != nil {
		return nil, err
	}
	if s.backend.Document(ctx).HasChange(id) {
		return nil, errKeyAlreadyCreated()
	}
	k, record := s.backend.NewKey(model.Workspace(p.Workspace))
	attempted := false
	change, err := s.change(ctx, id, func(d *config.Document) (*config.Document, error) {
		attempted = true
		return d.CreateKey(record, id)
	})
	if err != nil {
		return nil, err
	}
	if !attempted {
		return nil, errKeyAlreadyCreated()
	}
	return &genoperator.KeyCreateResult{Key: k.Reveal(), KeyID: string(k.ID()), Change: change}, nil
}

// errKeyAlreadyCreated reports that an earlier request with the same change id created a key.
func errKeyAlreadyCreated() error {
	return &genoperator.OperatorFailure{Name: "conflict", Reason: "key_already_created", Problems: []string{},
		Detail: "a key was created with this change id; it cannot be shown again, so withdraw it and create another"}
}

// KeyWithdraw implements genoperator.Service.
func (s *service) KeyWithdraw(ctx context.Context, p *genoperator.KeyWithdrawPayload) (*genoperator.Change, error) {
	if err := s.authorize(p.Authorization); err != nil {
		return nil, err
	}
	id, err := changeID(p.ChangeID, "key withdraw", p.KeyID)
	if err != nil {
		return nil, err
	}
	return s.change(ctx, id, func(d *config.Document) (*config.Document, error) {
		return d.WithdrawKey(model.KeyID(p.KeyID), id)
	})
}

// WorkspaceSet implements genoperator.Service.
func (s *service) WorkspaceSet(ctx context.Context, p *genoperator.WorkspaceSetPayload) (*genoperator.Change, error) {
	if err := s.authorize(p.Authorization); err != nil {
		return nil, err
	}
	id, err := changeID(p.ChangeID, "workspace set", p.Workspace, p.Rate, p.Burst, p.Services)
	if err != nil {
		return nil, err
	}
	c := config.WorkspaceChange{Workspace: model.Workspace(p.Workspace), Rate: p.Rate, Burst: p.Burst}
	for _, name := range p.Services {
		c.Services = append(c.Services, model.Service(name))
	}
	if p.ExpectedVersion != nil {
		c.ExpectedVersion = *p.ExpectedVersion
	}
	return s.change(ctx, id, func(d *config.Document) (*config.Document, error) { return d.SetWorkspace(c, id) })
}

// Status implements genoperator.Service.
func (s *service) Status(_ context.Context, p *genoperator.StatusPayload) (*genoperator.StatusResult, error) {
	if err := s.authorize(p.Authorization); err != nil {
		return nil, err
	}
	return s.backend.Status(), nil
}

// Drain implements genoperator.Service.
func (s *service) Drain(_ context.Context, p *genoperator.DrainPayload) error {
	if err := s.authorize(p.Authorization); err != nil {
		return err
	}
	s.backend.Drain()
	return nil
}

// change applies a change unless its id was used for another one, and returns the result for the operator.
func (s *service) change(ctx context.Context, id string, f ChangeFunc) (*genoperator.Change, error) {
	if d := s.backend.Document(ctx); d.ReusesChangeID(id) {
		return nil, &genoperator.OperatorFailure{Name: "conflict", Reason: "change_id_reused", Problems: []string{},
			Detail: "the change id was used for another change; nothing was changed", Version: d.Version}
	}
	c, err := s.backend.ApplyChange(ctx, id, f)
	if err != nil {
		return nil, toOperatorFailure(err, s.backend.Document(ctx).Version)
	}
	return &genoperator.Change{Version: c.After.Version, Changed: c.After.Version != c.Before.Version,
		Differences: config.Differences(c.Before.Declaration(), c.After.Declaration()), Confirmed: hostNames(c.Confirmed),
		Unconfirmed: hostNames(c.Unconfirmed)}, nil
}

// toOperatorFailure maps an error to the failure that is sent to the operator.
func toOperatorFailure(err error, version uint64) error {
	f := &genoperator.OperatorFailure{Name: "unavailable", Reason: "unavailable", Detail: err.Error(),
		Problems: []string{}, Version: version}
	var (
		invalid        *config.InvalidError
		conflict       *config.ConflictError
		missing        *config.NotFoundError
		tooLarge       *config.TooLargeError
		notAccepted    *NotAcceptedError
		unknownOutcome *UnknownOutcomeError
	)
	switch {
	case errors.As(err, &invalid):
		f.Name, f.Reason, f.Detail, f.Problems = "invalid", "configuration_invalid", "nothing was changed", invalid.Lines()
	case errors.As(err, &conflict):
		f.Name, f.Reason, f.Problems, f.Version = "conflict", "version_conflict", conflict.Differences, conflict.CurrentVersion
	case errors.As(err, &missing):
		f.Name, f.Reason = "not_found", missing.Kind+"_not_found"
	case errors.As(err, &tooLarge):
		f.Name, f.Reason = "invalid", "configuration_too_large"
	case errors.As(err, &notAccepted):
		f.Reason = "not_accepted"
	case errors.As(err, &unknownOutcome):
		f.Reason = "unresolved"
	case trace.IsBadParameter(err):
		f.Name, f.Reason = "invalid", "bad_parameter"
	}
	if f.Problems == nil {
		f.Problems = []string{}
	}
	return f
}

func newDeclaration(base string, overlays map[string]string) config.Declaration {
	declared := config.Declaration{Base: base, Overlays: map[model.DataCentre]string{}}
	for dc, text := range overlays {
		declared.Overlays[model.DataCentre(dc)] = text
	}
	return declared
}

func overlayTexts(overlays map[model.DataCentre]string) map[string]string {
	out := map[string]string{}
	for dc, text := range overlays {
		out[string(dc)] = text
	}
	return out
}

func hostNames(hosts []model.HostID) []string {
	out := make([]string, len(hosts))
	for i, h := range hosts {
		out[i] = string(h)
	}
	return out
}
