// Package operator is the HTTP service for operators: configuration, keys, workspaces, state and drain.
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

// MaxBodyBytes is the greatest size of a request body in bytes: a declaration must fit into the platform's store.
const MaxBodyBytes = 2 * config.MaxDocumentBytes

// ChangeFunc computes the next document from the newest one. It may be called again when another change comes first.
type ChangeFunc func(*config.Document) (*config.Document, error)

// Change is an accepted change.
type Change struct {
	Before, After *config.Document
	Confirmed     []model.HostID // hosts that have the change in force
	Unconfirmed   []model.HostID // hosts that have not confirmed it yet
}

// NotAcceptedError reports a change that is proven not to have been accepted.
type NotAcceptedError struct{ Reason string }

// Error returns the reason.
func (e *NotAcceptedError) Error() string { return "the change was not accepted: " + e.Reason }

// UnresolvedError reports a change that may have been accepted. Repeating it with the same change id resolves it.
type UnknownOutcomeError struct{ Reason string }

// Error returns the reason.
func (e *UnknownOutcomeError) Error() string {
	return "it is not known whether the change was accepted; repeat it with the same change id: " + e.Reason
}

// Backend does what operators ask for.
type Backend interface {
	// Document returns the newest document in the store, or the one in force when the store cannot be read.
	Document(ctx context.Context) *config.Document
	// Change stores the next document by compare-and-swap and waits until the hosts have it in force.
	ApplyChange(ctx context.Context, changeID string, f ChangeFunc) (Change, error)
	// NewKey returns a new key with the record that the store holds.
	NewKey(w model.Workspace) (key.Key, key.Record)
	// NewSecret returns a new secret for session tokens.
	NewSecret() []byte
	// Status returns the state of the host.
	Status() *genoperator.StatusResult
	// Drain starts a planned stop.
	Drain()
}

// NewHandler returns the HTTP handler of the operators' service. The token returns the operator token in force; an
// empty one refuses everybody.
func NewHandler(b Backend, token func() string) http.Handler {
	mux := goahttp.NewMuxer()
	s := server.New(genoperator.NewEndpoints(&service{backend: b, token: token}), mux, goahttp.RequestDecoder,
		goahttp.ResponseEncoder, nil, format)
	s.Mount(mux)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		mux.ServeHTTP(w, r)
	})
}

// errorBody is the JSON body of a failure.
type errorBody struct {
	Name     string   `json:"name"`
	Reason   string   `json:"reason"`
	Detail   string   `json:"detail"`
	Problems []string `json:"problems"`
	Version  uint64   `json:"version"`
}

// StatusCode implements goahttp.Statuser. It is used for requests that the HTTP layer could not read.
func (*errorBody) StatusCode() int { return http.StatusBadRequest }

// format returns the body for failures and for requests that the HTTP layer could not read.
func format(_ context.Context, err error) goahttp.Statuser {
	var f *genoperator.OperatorFailure
	if errors.As(err, &f) {
		return &errorBody{Name: f.Name, Reason: f.Reason, Detail: f.Detail, Problems: f.Problems, Version: f.Version}
	}
	return &errorBody{Name: "invalid", Reason: "bad_request", Detail: err.Error(), Problems: []string{}}
}

// service implements the goa service.
type service struct {
	backend Backend
	token   func() string
}

func (s *service) authorize(header *string) error {
	want := s.token()
	given := ""
	if header != nil {
		given, _ = strings.CutPrefix(*header, "Bearer ")
	}
	if want == "" || subtle.ConstantTimeCompare([]byte(given), []byte(want)) != 1 {
		return &genoperator.OperatorFailure{Name: "unauthorized", Reason: "operator_token_invalid",
			Detail: "the Authorization header must be Bearer and the operator token", Problems: []string{}}
	}
	return nil
}

// contentBytes is the length of the hash of a change's content that is part of its id.
const contentBytes = 8

// changeID returns the given change id or a new one, followed by a hash of what the change is. So a repetition is told
// from another change that uses the same id by mistake.
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
	return fmt.Sprintf("%s.%x", id, sum[:contentBytes]), nil
}

// ConfigShow implements the goa service.
func (s *service) ConfigShow(ctx context.Context, p *genoperator.ConfigShowPayload) (*genoperator.ConfigShowResult, error) {
	if err := s.authorize(p.Authorization); err != nil {
		return nil, err
	}
	d := s.backend.Document(ctx)
	return &genoperator.ConfigShowResult{Version: d.Version, Base: d.Base, Overlays: overlayTexts(d.Overlays),
		Document: shownDocument(d)}, nil
}

// shownKey is a key without its hash.
type shownKey struct {
	ID        model.KeyID     `json:"id"`
	Workspace model.Workspace `json:"workspace"`
	Withdrawn bool            `json:"withdrawn"`
}

// shown is a document without secrets.
type shown struct {
	Version uint64     `json:"version"`
	Changes []string   `json:"changes"`
	Keys    []shownKey `json:"keys"`
}

func shownDocument(d *config.Document) shown {
	out := shown{Version: d.Version, Changes: d.Changes, Keys: []shownKey{}}
	for _, id := range d.KeyIDs() {
		k := d.Keys[id]
		out.Keys = append(out.Keys, shownKey{ID: id, Workspace: k.Workspace, Withdrawn: k.Withdrawn})
	}
	return out
}

// ConfigDiff implements the goa service.
func (s *service) ConfigDiff(ctx context.Context, p *genoperator.ConfigDiffPayload) (*genoperator.ConfigDiffResult, error) {
	if err := s.authorize(p.Authorization); err != nil {
		return nil, err
	}
	c := declaration(p.Base, p.Overlays)
	if err := c.Validate(); err != nil {
		return nil, failure(err, 0)
	}
	d := s.backend.Document(ctx)
	return &genoperator.ConfigDiffResult{Version: d.Version, Differences: config.Differences(d.Declaration(), c)}, nil
}

// ConfigApply implements the goa service.
func (s *service) ConfigApply(ctx context.Context, p *genoperator.ConfigApplyPayload) (*genoperator.Change, error) {
	if err := s.authorize(p.Authorization); err != nil {
		return nil, err
	}
	id, err := changeID(p.ChangeID, "apply", p.Base, p.Overlays)
	if err != nil {
		return nil, err
	}
	c, secret := declaration(p.Base, p.Overlays), s.backend.NewSecret()
	return s.change(ctx, id, func(d *config.Document) (*config.Document, error) {
		return d.Apply(c, p.ExpectedVersion, id, secret)
	})
}

// KeyCreate implements the goa service.
func (s *service) KeyCreate(ctx context.Context, p *genoperator.KeyCreatePayload) (*genoperator.KeyCreateResult, error) {
	if err := s.authorize(p.Authorization); err != nil {
		return nil, err
	}
	id, err := changeID(p.ChangeID, "key create", p.Workspace)
	if err != nil {
		return nil, err
	}
	if s.backend.Document(ctx).HasChange(id) {
		return nil, errKeyCreated()
	}
	k, record := s.backend.NewKey(model.Workspace(p.Workspace))
	stored := false
	change, err := s.change(ctx, id, func(d *config.Document) (*config.Document, error) {
		stored = true
		return d.CreateKey(record, id)
	})
	if err != nil {
		return nil, err
	}
	if !stored {
		return nil, errKeyCreated()
	}
	return &genoperator.KeyCreateResult{Key: k.Reveal(), KeyID: string(k.ID()), Change: change}, nil
}

// errKeyCreated reports that an earlier call with the same change id has created a key.
func errKeyCreated() error {
	return &genoperator.OperatorFailure{Name: "conflict", Reason: "key_already_created", Problems: []string{},
		Detail: "a key was created with this change id; it cannot be shown again, so withdraw it and create another"}
}

// KeyWithdraw implements the goa service.
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

// WorkspaceSet implements the goa service.
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

// Status implements the goa service.
func (s *service) Status(_ context.Context, p *genoperator.StatusPayload) (*genoperator.StatusResult, error) {
	if err := s.authorize(p.Authorization); err != nil {
		return nil, err
	}
	return s.backend.Status(), nil
}

// Drain implements the goa service.
func (s *service) Drain(_ context.Context, p *genoperator.DrainPayload) error {
	if err := s.authorize(p.Authorization); err != nil {
		return err
	}
	s.backend.Drain()
	return nil
}

func (s *service) change(ctx context.Context, id string, f ChangeFunc) (*genoperator.Change, error) {
	if d := s.backend.Document(ctx); d.ReusesChangeID(id) {
		return nil, &genoperator.OperatorFailure{Name: "conflict", Reason: "change_id_reused", Problems: []string{},
			Detail: "the change id was used for another change; nothing was changed", Version: d.Version}
	}
	c, err := s.backend.ApplyChange(ctx, id, f)
	if err != nil {
		return nil, failure(err, s.backend.Document(ctx).Version)
	}
	return &genoperator.Change{Version: c.After.Version, Changed: c.After.Version != c.Before.Version,
		Differences: config.Differences(c.Before.Declaration(), c.After.Declaration()), Confirmed: names(c.Confirmed),
		Unconfirmed: names(c.Unconfirmed)}, nil
}

// failure maps an error to the answer that operators get.
func failure(err error, version uint64) error {
	f := &genoperator.OperatorFailure{Name: "unavailable", Reason: "unavailable", Detail: err.Error(),
		Problems: []string{}, Version: version}
	var (
		invalid     *config.InvalidError
		conflict    *config.ConflictError
		missing     *config.NotFoundError
		tooLarge    *config.TooLargeError
		notAccepted *NotAcceptedError
		unresolved  *UnknownOutcomeError
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
	case errors.As(err, &unresolved):
		f.Reason = "unresolved"
	case trace.IsBadParameter(err):
		f.Name, f.Reason = "invalid", "bad_parameter"
	}
	if f.Problems == nil {
		f.Problems = []string{}
	}
	return f
}

func declaration(base string, overlays map[string]string) config.Declaration {
	c := config.Declaration{Base: base, Overlays: map[model.DataCentre]string{}}
	for dc, text := range overlays {
		c.Overlays[model.DataCentre(dc)] = text
	}
	return c
}

func overlayTexts(overlays map[model.DataCentre]string) map[string]string {
	out := map[string]string{}
	for dc, text := range overlays {
		out[string(dc)] = text
	}
	return out
}

func names(hosts []model.HostID) []string {
	out := make([]string, len(hosts))
	for i, h := range hosts {
		out[i] = string(h)
	}
	return out
}
