package e2e

import (
	"fmt"
	"testing"
	"time"
)

// TestOnlyHostRestartsAfterCrash guards against a fleet that never serves again after all of its hosts crashed. The
// restarted host waits, because it may have lost the record of an acknowledgement, and then uses its share slots again.
func TestOnlyHostRestartsAfterCrash(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 1)
	old := s.daemons[0]
	written := s.mustDo(s.statementRequest(old, "", insertSQL, "kit-7", "reserved"))
	old.kill()
	crashed := time.Now()
	s.daemons = nil
	restarted := s.startDaemon(old.id)
	s.daemons = []*daemonProcess{restarted}
	s.eventually("the restarted host serves", func() error {
		a, err := s.statementRequest(restarted, written.Session, selectSQL, "kit-7").send()
		if err != nil {
			return err
		}
		if a.Outcome != "done" || len(a.Rows) != 1 {
			return fmt.Errorf("%+v", a)
		}
		return nil
	})
	t.Logf("statements were done again after %v", time.Since(crashed))
}
