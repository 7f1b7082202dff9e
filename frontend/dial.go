package frontend

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
)

// dial opens a connection to a target. If the target is the primary it checks that it has not lost its data: it must have
// reached the position that it is known to have had, and if this host has not seen its promotion, it must confirm its role. A
// target that has started again without its data is a replica.
func (s *service) dial(ctx context.Context, t catalog.Target, workspace model.Workspace) (Conn, model.Position, error) {
	s.mu.Lock()
	doc, minPosition := s.doc, s.minPrimaryPosition(boottime.Now())
	verify := t.ID == doc.Primary && doc.Open && !s.promotionSeen && s.verifiedEpoch != doc.Epoch
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
	if s.doc.Epoch != doc.Epoch {
		return conn, position, nil // the target is not known to be the primary any more
	}
	if err != nil {
		go conn.Close()
		return nil, position, err
	}
	if verify {
		s.pool.CountRequests(boottime.Now(), t.ID, 1)
		s.verifiedEpoch = doc.Epoch
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
