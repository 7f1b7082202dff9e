// Package session implements session tokens, which provide read-your-writes consistency. For each service that a session
// has used, the token contains the position in the service's log up to which the session has seen data. Hosts store no
// session state: the caller sends its token with each request, so any host can serve the session.
//
// A token is bound to one workspace and authenticated by HMAC-SHA256. Callers can read its content but cannot forge a
// token.
package session

import (
	"slices"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// MaxServices is the maximum number of services in a token.
const MaxServices = 16

// HighWaterMark is the log position up to which a session has seen the data of a service.
type HighWaterMark struct {
	Service  model.Service
	Position model.Position
}

// Token holds the marks of a session. NewToken creates an empty one; the zero value is bound to no workspace. Tokens are
// immutable: methods return a changed copy.
type Token struct {
	workspace    model.Workspace
	marks        []HighWaterMark // ordered by last advance, oldest first
	marksDropped bool
}

// NewToken returns a token without marks for the workspace.
func NewToken(workspace model.Workspace) Token {
	return Token{workspace: workspace}
}

// Workspace returns the workspace that the token is bound to.
func (t Token) Workspace() model.Workspace { return t.workspace }

// Marks returns the marks of the token, least recently advanced first.
func (t Token) Marks() []HighWaterMark { return slices.Clone(t.marks) }

// Mark returns the mark of service. A service that the session has never used has the zero position, which every replica
// covers. known is false if the mark may have been dropped because the token exceeded MaxServices; a read must then go to
// the primary.
func (t Token) Mark(service model.Service) (position model.Position, known bool) {
	if i := t.index(service); i >= 0 {
		return t.marks[i].Position, true
	}
	return model.Position{}, !t.marksDropped
}

// Advance returns the token with the mark of service raised to position. A position that is not higher changes nothing. If
// the token would exceed MaxServices, the least recently advanced mark is dropped, because the replicas of that service
// have had the most time to reach it.
func (t Token) Advance(service model.Service, position model.Position) Token {
	i := t.index(service)
	if i < 0 {
		return t.appendMark(HighWaterMark{Service: service, Position: position})
	}
	old := t.marks[i].Position
	if old.Max(position) == old {
		return t
	}
	t.marks = slices.Delete(slices.Clone(t.marks), i, i+1)
	return t.appendMark(HighWaterMark{Service: service, Position: position})
}

// Merge returns a token with the maximum of the marks of t and u. Marks that only u has or that are higher in u count as
// most recently advanced. Merge panics if the tokens are bound to different workspaces, which is a programming error:
// Codec.Decode accepts only tokens of the request's workspace.
func (t Token) Merge(u Token) Token {
	if t.workspace != u.workspace {
		panic("session: merge of tokens of different workspaces")
	}
	for _, mark := range u.marks {
		t = t.Advance(mark.Service, mark.Position)
	}
	t.marksDropped = t.marksDropped || u.marksDropped
	return t
}

// index returns the index of the mark of service, or -1.
func (t Token) index(service model.Service) int {
	return slices.IndexFunc(t.marks, func(m HighWaterMark) bool { return m.Service == service })
}

// appendMark returns the token with the mark added, without the oldest mark if the token exceeds MaxServices.
func (t Token) appendMark(mark HighWaterMark) Token {
	t.marks = append(slices.Clone(t.marks), mark)
	if len(t.marks) > MaxServices {
		t.marks = t.marks[1:]
		t.marksDropped = true
	}
	return t
}
