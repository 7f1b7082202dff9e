package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// fakeBackend records the last request and returns a fixed result.
type fakeBackend struct {
	request   Request
	statement Statement
	calls     int
	response  Response
	result    model.Result
	status    Status
}

func (b *fakeBackend) Execute(_ context.Context, r Request, s Statement) (Response, model.Result) {
	b.request, b.statement = r, s
	b.calls++
	return b.response, b.result
}

func (b *fakeBackend) Begin(_ context.Context, r Request) (Response, model.Result) {
	b.request = r
	return b.response, b.result
}

func (b *fakeBackend) End(_ context.Context, r Request, _ string, _ bool) (Response, model.Result) {
	b.request = r
	return b.response, b.result
}

func (b *fakeBackend) Status() Status { return b.status }

func post(t *testing.T, b Backend, path, body string, headers ...string) (int, http.Header, map[string]any) {
	t.Helper()
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	NewHandler(b).ServeHTTP(w, r)
	text, _ := io.ReadAll(w.Body)
	var decoded map[string]any
	if err := json.Unmarshal(text, &decoded); err != nil {
		t.Fatalf("status %d, body %q: %v", w.Code, text, err)
	}
	return w.Code, w.Header(), decoded
}

const statementsPath = "/v1/services/stock/statements"

// TestExecuteForwardsAllFields guards against headers or fields that are not forwarded, and against large numbers that lose
// digits.
func TestExecuteForwardsAllFields(t *testing.T) {
	b := &fakeBackend{result: model.Done(), response: Response{Columns: []string{"value"}, Rows: [][]any{{"x"}, {nil}},
		SessionToken: "next", Target: "db1"}}
	status, header, body := post(t, b, statementsPath,
		`{"sql":"SELECT $1","args":["a",9007199254740993,null,true],"max_staleness_ms":0,"read_only":true}`,
		"Authorization", "Bearer k", "X-Session-Token", "before", "X-Request-Id", "r1", "X-Timeout-Ms", "250",
		"Content-Type", "application/x-www-form-urlencoded")
	if status != http.StatusOK || header.Get("X-Session-Token") != "next" || body["outcome"] != "done" {
		t.Fatalf("status %d, body %v", status, body)
	}
	wantRequest := Request{Authorization: "Bearer k", SessionToken: "before", RequestID: "r1",
		Timeout: 250 * time.Millisecond, Service: "stock"}
	wantStatement := Statement{SQL: "SELECT $1", ReadOnly: true, HasStaleness: true, Args: []Argument{
		{Text: "a"}, {Text: "9007199254740993"}, {Null: true}, {Text: "true"}}}
	if diff := cmp.Diff(wantRequest, b.request); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(wantStatement, b.statement); diff != "" {
		t.Error(diff)
	}
}

// TestMalformedRequestsDoNotRun guards against a request that runs although it could not be decoded, and against an error
// response without an outcome.
func TestMalformedRequestsDoNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		body   string
		header string
		status int
	}{
		"empty":              {"", "", http.StatusBadRequest},
		"not JSON":           {"{", "", http.StatusBadRequest},
		"two values":         {`{"sql":"SELECT 1"}{"sql":"SELECT 2"}`, "", http.StatusBadRequest},
		"no SQL":             {`{}`, "", http.StatusBadRequest},
		"empty SQL":          {`{"sql":""}`, "", http.StatusBadRequest},
		"number as SQL":      {`{"sql":7}`, "", http.StatusBadRequest},
		"negative staleness": {`{"sql":"SELECT 1","max_staleness_ms":-1}`, "", http.StatusBadRequest},
		"bad timeout":        {`{"sql":"SELECT 1"}`, "soon", http.StatusBadRequest},
		"oversized":          {`{"sql":"` + strings.Repeat("x", MaxBodyBytes) + `"}`, "", http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			b := &fakeBackend{result: model.Done()}
			headers := []string{}
			if c.header != "" {
				headers = append(headers, "X-Timeout-Ms", c.header)
			}
			status, _, body := post(t, b, statementsPath, c.body, headers...)
			if status != c.status || body["outcome"] != "not_run" || b.calls != 0 {
				t.Errorf("status %d, %d calls, body %v", status, b.calls, body)
			}
		})
	}
}

// TestOutcomesMapToHTTPStatuses guards against an unknown outcome that is reported as a request that did not run.
func TestOutcomesMapToHTTPStatuses(t *testing.T) {
	for _, c := range []struct {
		result model.Result
		status int
	}{
		{model.NotRun(model.ReasonKeyInvalid, ""), http.StatusUnauthorized},
		{model.NotRun(model.ReasonServiceForbidden, ""), http.StatusForbidden},
		{model.NotRun(model.ReasonServiceUnknown, ""), http.StatusNotFound},
		{model.NotRun(model.ReasonTransactionLost, ""), http.StatusConflict},
		{model.NotRun(model.ReasonStatementRefused, ""), http.StatusUnprocessableEntity},
		{model.NotRun(model.ReasonNoPrimary, ""), http.StatusServiceUnavailable},
		{model.Unknown(model.ReasonConnectionLost, ""), http.StatusGatewayTimeout},
		{model.Unknown(model.ReasonStatementRefused, ""), http.StatusGatewayTimeout},
	} {
		status, _, body := post(t, &fakeBackend{result: c.result}, statementsPath, `{"sql":"SELECT 1"}`)
		if status != c.status || body["outcome"] != c.result.Outcome.String() || body["request_id"] == "" {
			t.Errorf("%+v: status %d, body %v", c.result, status, body)
		}
	}
}

// TestRateRefusalSetsRetryAfter guards against a rate refusal that does not tell the caller when to retry. The header is in
// whole seconds, rounded up.
func TestRateRefusalSetsRetryAfter(t *testing.T) {
	r := model.NotRun(model.ReasonRateExceeded, "")
	r.RetryAfter = 1200 * time.Millisecond
	status, header, body := post(t, &fakeBackend{result: r}, statementsPath, `{"sql":"SELECT 1"}`)
	if status != http.StatusTooManyRequests || header.Get("Retry-After") != "2" || body["retry_after_ms"] != 1200.0 {
		t.Errorf("status %d, header %v, body %v", status, header, body)
	}
}

// TestHealthzFollowsAccepting guards against a load balancer that sends requests to a host that accepts none.
func TestHealthzFollowsAccepting(t *testing.T) {
	for _, accepting := range []bool{true, false} {
		b := &fakeBackend{status: Status{State: "draining", Accepting: accepting}}
		w := httptest.NewRecorder()
		NewHandler(b).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/healthz", nil))
		want := map[bool]int{true: http.StatusNoContent, false: http.StatusServiceUnavailable}[accepting]
		if w.Code != want {
			t.Errorf("accepting %v: status %d", accepting, w.Code)
		}
	}
}
