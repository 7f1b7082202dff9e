package frontend

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
)

// needsVerification reports whether the primary of the current decision has to confirm its role when a connection to it is opened,
// because the position that this host knows does not tell it from a target that has lost its data: other hosts may have committed
// since, and a target without its data has the position of an empty log. The caller holds s.mu.
func (s *service) needsVerification(now time.Time) bool {
	if s.promotionSeen && now.Sub(s.docAppliedAt) < promotionSettleTime && !s.server.selectsTargets() {
		return false
	}
	return s.verifiedTenure != s.tenureSince || now.Sub(s.primaryReachedAt) > verifyPrimaryAfter || s.highestPosition.Offset == 0
}

// dial opens a connection to a target. If the target is the primary it checks that it has not lost its data: it must have
// reached the position that it is known to have had, and it must confirm its role if that position says too little. A target that
// has started again without its data is a replica.
func (s *service) dial(ctx context.Context, t catalog.Target, workspace model.Workspace) (Conn, model.Position, error) {
	s.mu.Lock()
	doc, tenure, minPosition := s.doc, s.tenureSince, s.minPrimaryPosition(boottime.Now())
	verify := t.ID == doc.Primary && doc.Open && s.needsVerification(boottime.Now())
	s.mu.Unlock()
	conn, position, err := s.server.dialer.Dial(ctx, t, workspace)
	s.server.metrics.observeOpen(s.name, err)
	if err != nil || t.ID != doc.Primary {
		return conn, position, err
	}
	if position.Max(minPosition) != position {
		err = trace.Errorf("the primary has lost data: it is at %v, expected at least %v", position, minPosition)
	} else if verify {
		err = s.verifyPrimary(ctx, conn, doc)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tenureSince != tenure {
		return conn, position, nil // the target is not known to be the primary any more
	}
	if err != nil {
		go conn.Close()
		return nil, position, err
	}
	if verify {
		s.pool.CountRequests(boottime.Now(), t.ID, 1)
		s.verifiedTenure = tenure
	}
	return conn, position, nil
}

// verifyPrimary returns an error unless the target answers that it is the primary of the document's term or a later one.
func (s *service) verifyPrimary(ctx context.Context, conn Conn, doc primacy.Document) error {
	deadline, _ := ctx.Deadline()
	status, err := conn.Status(deadline)
	if err != nil {
		return err
	}
	if !status.Primary || status.Term < doc.Term {
		return trace.Errorf("the target is not the primary: it answers primary=%t in term %d, expected term %d", status.Primary,
			status.Term, doc.Term)
	}
	return nil
}
