package soak

import (
	"os/exec"
	"testing"
	"time"
)

// Guards against a kill that is recorded after the process exits. Callers may lose connections before the recorded start,
// so the loss was attributed to a planned stop (seed 321).
func TestKillIsRecordedBeforeExit(t *testing.T) {
	h := &host{cmd: exec.Command("sleep", "60"), done: make(chan struct{})}
	if err := h.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	var ended time.Time
	go func() {
		_ = h.cmd.Wait() // the process is killed, so the error is expected
		ended = time.Now()
		close(h.done)
	}()
	sys := &system{hosts: []*host{h}, history: &History{}}
	started, active := sys.startFault(1, Fault{Kind: HostKilled})
	<-h.done
	if !active || started.window.From.After(ended) {
		t.Errorf("the kill was recorded at %s, after the process exited at %s", started.window.From, ended)
	}
}
