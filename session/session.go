// Package session implements session tokens. A token carries, for each service that a session has used, the position in
// the service's log up to which the session has seen data. Hosts keep nothing about sessions, so the caller returns its
// token with each request and any host can give the session read-your-writes.
//
// A token is bound to one workspace and authenticated by HMAC-SHA256. Its content is readable by the caller, but a
// caller cannot produce a token of its own.
package session

import (
	"slices"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// MaxServices is the number of services that a token covers.
const MaxServices = 16

// Mark is the position up to which a session has seen the data of a service.
type HighWaterMark struct {
	Service  model.Service
	Position model.Position
}

// Token is the state of a session. The zero value belongs to no workspace; New creates an empty token. A Token is a
// value: its methods leave the receiver as it is.
type Token struct {
	workspace model.Workspace
	marks     []HighWaterMark // from the least to the most recently advanced
	dropped   bool
}

// New returns a token without marks.
func NewToken(workspace model.Workspace) Token {
	return Token{workspace: workspace}
}

// Workspace returns the workspace that the token is bound to.
func (t Token) Workspace() model.Workspace { return t.workspace }

// Marks returns the marks of the token, from the least to the most recently advanced.
func (t Token) Marks() []HighWaterMark { return slices.Clone(t.marks) }

// Mark returns the mark of service. When known is false the token once had more marks than it can hold, and the mark
// of this service may have been dropped; a read must then go to the primary. A service that the session never used has
// the zero position, which every replica covers.
func (t Token) Mark(service model.Service) (position model.Position, known bool) {
	if i := t.index(service); i >= 0 {
		return t.marks[i].Position, true
	}
	return model.Position{}, !t.dropped
}

// Advance returns the token with the mark of service raised to position. A lower position changes nothing. When the
// token would cover more than MaxServices services, the least recently advanced mark is dropped, because the replicas
// of that service have had the most time to reach it.
func (t Token) Advance(service model.Service, position model.Position) Token {
	i := t.index(service)
	if i < 0 {
		return t.push(HighWaterMark{Service: service, Position: position})
	}
	old := t.marks[i].Position
	if old.Later(position) == old {
		return t
	}
	t.marks = slices.Delete(slices.Clone(t.marks), i, i+1)
	return t.push(HighWaterMark{Service: service, Position: position})
}

// Merge returns a token that covers what t and u cover. Marks that only u has or that u advances count as advanced
// most recently. The result is bound to the workspace of t. Tokens of different workspaces are never merged, because
// Codec.Decode accepts only tokens of the request's workspace; Merge panics when it is called with them.
func (t Token) Merge(u Token) Token {
	if t.workspace != u.workspace {
		panic("session: merge of tokens of different workspaces")
	}
	for _, mark := range u.marks {
		t = t.Advance(mark.Service, mark.Position)
	}
	t.dropped = t.dropped || u.dropped
	return t
}

func (t Token) index(service model.Service) int {
	return slices.IndexFunc(t.marks, func(m HighWaterMark) bool { return m.Service == service })
}

func (t Token) push(mark HighWaterMark) Token {
	t.marks = append(slices.Clone(t.marks), mark)
	if len(t.marks) > MaxServices {
		t.marks = t.marks[1:]
		t.dropped = true
	}
	return t
}
