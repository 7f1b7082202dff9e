package frontend

import (
	"errors"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// Guards against operations inside the rate of their workspace that are refused while their host changes to another broker,
// and against operations that wait although the broker has said that there is no token, or although no broker is in sight.
func TestAdmissionWaitsForNextBroker(t *testing.T) {
	const brokerChange = 80 * time.Millisecond
	for _, test := range []struct {
		name         string
		changing     bool
		granted      float64 // by the broker, once it answers
		answersAt    time.Duration
		wantAdmitted bool
		wantWithin   time.Duration
	}{
		{"the next broker answers in time", true, 1, brokerChange, true, 2 * brokerChange},
		{"no broker is in sight", false, 1, time.Hour, false, brokerChange},
		{"the broker has no token", false, 0, 0, false, brokerChange},
		{"the change takes too long", true, 1, time.Hour, false, 4 * brokerChange},
	} {
		s := New("z", nil, zap.NewNop(), NewMetrics(prometheus.NewRegistry()))
		limits := map[model.Workspace]catalog.Limit{"w": {PerSecond: 1, Burst: 1}}
		s.SetCatalog(&catalog.Catalog{Version: 1, Limits: limits}, 100) // without a token of the host's own
		s.JoinBroker(boottime.Now())
		started := time.Now()
		s.SetTokenSource(func(model.Workspace, float64) (float64, time.Duration, error) {
			if time.Since(started) < test.answersAt {
				return 0, 0, errors.New("no broker")
			}
			return test.granted, time.Second, nil
		}, func(bool) bool { return test.changing })
		_, admitted, _ := s.admit("w", 20*time.Millisecond, 3*brokerChange)
		if took := time.Since(started); admitted != test.wantAdmitted || took > test.wantWithin {
			t.Errorf("%s: admitted %t after %v, want %t within %v", test.name, admitted, took, test.wantAdmitted,
				test.wantWithin)
		}
	}
}
