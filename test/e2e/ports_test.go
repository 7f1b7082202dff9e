package e2e

import (
	"net"
	"os/exec"
	"testing"
)

// Guards against ports that another process occupies for a moment: a process that a test starts holds copies of this
// process's sockets until its exec, also of a listener that was closed meanwhile.
func TestUnusedPortsStayFreeWhileProcessesStart(t *testing.T) {
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
				if err := exec.Command("true").Run(); err != nil {
					t.Error(err)
					return
				}
			}
		}
	}()
	for range 1000 {
		listener, err := net.Listen("tcp", localAddress(unusedPort(t)))
		if err != nil {
			t.Error(err)
			break
		}
		listener.Close()
	}
	close(stop)
	<-stopped
}
