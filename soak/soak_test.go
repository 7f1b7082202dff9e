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
		seed   uint64
		length time.Duration
	}{
		{1, 12 * time.Second},
	} {
		t.Run(fmt.Sprint(c.seed), func(t *testing.T) {
			r, err := Run(Options{Program: program, Dir: t.TempDir(), Seed: c.seed, Hosts: 3, Callers: 15, FaultDuration: c.length,
				SyncReplicas: int(c.seed % 2), Output: t.Output()})
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
