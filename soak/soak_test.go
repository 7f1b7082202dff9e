package soak

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// Guards against invariants that are violated by real processes under injected faults. CI runs one short plan; longer ones
// are run with waxbench.
func TestSoak(t *testing.T) {
	t.Parallel()
	program := build(t)
	for _, c := range []struct {
		seed    uint64
		length  time.Duration
		planned bool // planned operations only, with long transactions
		load    bool // load control, with statements assigned by target
	}{
		{1, 12 * time.Second, false, false},
		{2, 12 * time.Second, true, false},
		{3, 12 * time.Second, false, true},
	} {
		t.Run(fmt.Sprintf("%d planned=%v load=%v", c.seed, c.planned, c.load), func(t *testing.T) {
			t.Parallel()
			r, err := Run(Options{Program: program, Dir: t.TempDir(), Seed: c.seed, Hosts: 3, Callers: 15, FaultDuration: c.length,
				SyncReplicas: int(c.seed % 2), PlannedOnly: c.planned, LongTransactions: c.planned, LoadControl: c.load, Output: t.Output()})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d operations, answers %v, served after the faults %.2f", r.Operations, r.CodeCounts, r.ServedShare)
			for _, v := range r.Violations {
				t.Error(v)
			}
		})
	}
}

func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "waxwingspindle")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/waxwingspindle").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	return program
}
