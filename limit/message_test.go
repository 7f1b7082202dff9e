package limit_test

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/waxwingspindle/waxwingspindle/limit"
)

// Guards against a field that is lost in gob encoding.
func TestMessagesSurviveGob(t *testing.T) {
	stamp := limit.Stamp{Incarnation: 7, At: time.Hour}
	batch := limit.LoanBatch{Holder: "h", Incarnation: 3, Sequence: 9, Stamp: stamp, Loans: []limit.Loan{{
		Workspace: workspace, Epoch: 2, Limit: limit.Limit{Rate: 0.5, Burst: 1.0 / 24}, Level: 0.01, Duration: time.Second,
	}, {Workspace: workspace, Epoch: 3, Return: true}}}
	loans := limit.LoanReply{Sequence: 9, Stamp: stamp, Loans: []limit.LoanState{
		{Workspace: workspace, Epoch: 2, Returned: true, Level: 0.01, Idle: true},
	}}
	request := limit.TokenRequest{Spender: "s", Incarnation: 4, Sequence: 5, Asks: []limit.Ask{
		{Workspace: workspace, Need: 1, Prefetch: 2, Reports: []limit.Report{{Grant: 4, Spent: 1, Returned: 2}}},
	}}
	tokens := limit.TokenReply{Sequence: 5, Grants: []limit.Grant{
		{Workspace: workspace, Tokens: 3, Interval: time.Second, Report: time.Minute, Retry: time.Hour},
	}}
	checkGob(t, batch)
	checkGob(t, loans)
	checkGob(t, request)
	checkGob(t, tokens)
}

func checkGob[T any](t *testing.T, message T) {
	t.Helper()
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(message); err != nil {
		t.Fatal(err)
	}
	var decoded T
	if err := gob.NewDecoder(&buffer).Decode(&decoded); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(message, decoded); diff != "" {
		t.Error(diff)
	}
}
