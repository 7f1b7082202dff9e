package soak

import (
	"os/exec"
	"testing"
	"time"
)

// Guards against a planned stop that is blamed for what a kill has cut off: callers saw the end of the process before the kill
// was recorded (seed 321).
func TestKillCountsFromItsBegin(t *testing.T) {
	h := &host{cmd: exec.Command("sleep", "60"), done: make(chan struct{})}
	if err := h.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	var ended time.Time
	go func() {
		_ = h.cmd.Wait() // it is killed
		ended = time.Now()
		close(h.done)
	}()
	w := &world{hosts: []*host{h}, history: &History{}}
	begun, lasts := w.begin(1, Fault{Kind: HostKilled})
	<-h.done
	if !lasts || begun.disturbance.From.After(ended) {
		t.Errorf("the kill counts from %s, the process ended at %s", begun.disturbance.From, ended)
	}
}
