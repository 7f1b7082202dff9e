package target

import (
	"context"
	"encoding/gob"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	replicationRetryInterval = 20 * time.Millisecond
	maxBatchEntries          = 256
)

// followRequest is the first message from a follower to its primary.
type followRequest struct {
	Term uint64
	Ends []model.Position // last position of each term in the follower's log, in order
}

// batch is a message from a primary to a follower. The first batch contains only the length of the common log prefix.
type batch struct {
	Term    uint64
	Common  uint64 // in the first batch: last offset of the common log prefix
	Entries []entry
}

// serveReplication streams the log to a follower while the member is the primary of the follower's term.
func (s *session) serveReplication() error {
	s.sendStartupResponse()
	if err := s.backend.Flush(); err != nil {
		return trace.Wrap(err)
	}
	// The history records bytes from clients only, not from followers.
	s.conn.record = nil
	s.member.history.dropReceived(s.id)
	var request followRequest
	if err := gob.NewDecoder(s.conn).Decode(&request); err != nil {
		return trace.Wrap(err)
	}
	encoder := gob.NewEncoder(s.conn)
	sent, isPrimary := s.member.commonPrefix(request)
	if !isPrimary {
		return trace.CompareFailed("not the primary of term %d", request.Term)
	}
	if err := encoder.Encode(batch{Term: request.Term, Common: sent}); err != nil {
		return trace.Wrap(err)
	}
	for {
		entries, err := s.member.awaitEntries(s.run.ctx, request.Term, sent)
		if err != nil {
			return trace.Wrap(err)
		}
		if err := encoder.Encode(batch{Term: request.Term, Entries: entries}); err != nil {
			return trace.Wrap(err)
		}
		sent += uint64(len(entries))
	}
}

// commonPrefix returns the last offset of the common prefix of the follower's and the member's log, or false if the
// member is not the primary of the follower's term. If both logs contain a term, they are equal up to the smaller of the
// two last offsets of that term.
func (m *Member) commonPrefix(request followRequest) (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.durable.primaryTerm == 0 || m.durable.primaryTerm != request.Term {
		return 0, false
	}
	ownEnds := m.durable.termEnds()
	for i := len(request.Ends) - 1; i >= 0; i-- {
		for _, end := range ownEnds {
			if end.Term == request.Ends[i].Term {
				return min(end.Offset, request.Ends[i].Offset), true
			}
		}
	}
	return 0, true
}

// termEnds returns the last position of each term in the log, in order.
func (d *durableState) termEnds() []model.Position {
	var ends []model.Position
	for _, e := range d.log {
		if len(ends) > 0 && ends[len(ends)-1].Term == e.Term {
			ends[len(ends)-1].Offset = e.Offset
			continue
		}
		ends = append(ends, model.Position{Term: e.Term, Offset: e.Offset})
	}
	return ends
}

// awaitEntries waits for entries after the given offset and returns up to maxBatchEntries of them. It fails when the
// member is no longer the primary of the term.
func (m *Member) awaitEntries(ctx context.Context, term, after uint64) ([]entry, error) {
	for {
		m.mu.Lock()
		isPrimary := m.durable.primaryTerm == term
		var entries []entry
		if log := m.durable.log; uint64(len(log)) > after {
			end := min(len(log), int(after)+maxBatchEntries)
			entries = log[after:end:end]
		}
		changed := m.changed
		m.mu.Unlock()
		if !isPrimary {
			return nil, trace.CompareFailed("no longer the primary of term %d", term)
		}
		if len(entries) > 0 {
			return entries, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, trace.Wrap(ctx.Err())
		}
	}
}

// followLoop replicates from the current primary until the run ends.
func (m *Member) followLoop(r *run) {
	for r.ctx.Err() == nil {
		m.mu.Lock()
		address, term, roleChanged := m.durable.primaryAddress, m.durable.adoptedTerm, m.roleChanged
		m.mu.Unlock()
		if address == "" {
			select {
			case <-roleChanged:
			case <-r.ctx.Done():
			}
			continue
		}
		ctx, cancel := context.WithCancel(r.ctx)
		go func() {
			select {
			case <-roleChanged:
				cancel()
			case <-ctx.Done():
			}
		}()
		err := m.replicate(ctx, address, term)
		m.log.Debug("standin target: replication ended", zap.String("primary", address), zap.Error(err))
		// sleep fails only if ctx has ended: the role has changed, or the run has ended, which the loop checks.
		_ = sleep(ctx, replicationRetryInterval)
		cancel()
	}
}

// replicate streams and applies the log of the primary at address. It always returns an error.
func (m *Member) replicate(ctx context.Context, address string, term uint64) error {
	raw, err := m.group.Dial(ctx, "tcp", address)
	if err != nil {
		return trace.ConnectionProblem(err, "cannot connect to the primary")
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	defer raw.Close()
	conn := newFaultConn(ctx, raw, m.faults, nil)
	conn.peer.Store(unknownMember)
	if err := m.openReplication(conn); err != nil {
		return trace.Wrap(err)
	}
	m.mu.Lock()
	request := followRequest{Term: term, Ends: m.durable.termEnds()}
	m.mu.Unlock()
	if err := gob.NewEncoder(conn).Encode(request); err != nil {
		return trace.Wrap(err)
	}
	return m.applyStream(ctx, gob.NewDecoder(conn), address, term)
}

// openReplication performs the startup of a replication connection and stores the name of the primary as its peer, for
// partitions.
func (m *Member) openReplication(conn *faultConn) error {
	frontend := pgproto3.NewFrontend(conn, conn)
	frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": ControlUser, replicationOption: m.id},
	})
	if err := frontend.Flush(); err != nil {
		return trace.Wrap(err)
	}
	for {
		msg, err := frontend.Receive()
		if err != nil {
			return trace.Wrap(err)
		}
		switch msg := msg.(type) {
		case *pgproto3.ParameterStatus:
			if msg.Name == memberParameter {
				conn.peer.Store(msg.Value)
			}
		case *pgproto3.ReadyForQuery:
			return nil
		}
	}
}

// applyStream truncates the log to the common prefix and then applies the batches of the primary.
func (m *Member) applyStream(ctx context.Context, decoder *gob.Decoder, address string, term uint64) error {
	for first := true; ; first = false {
		var b batch
		if err := decoder.Decode(&b); err != nil {
			return trace.Wrap(err)
		}
		if first {
			if err := m.truncateLog(ctx, address, term, b); err != nil {
				return trace.Wrap(err)
			}
			continue
		}
		for _, e := range b.Entries {
			if err := m.faults.awaitLag(ctx, e.Written); err != nil {
				return trace.Wrap(err)
			}
			if err := m.applyReplicated(ctx, address, b.Term, e); err != nil {
				return trace.Wrap(err)
			}
		}
	}
}

// checkFollowing returns an error unless the member still follows the primary at address in the given term.
func (m *Member) checkFollowing(ctx context.Context, address string, term uint64) error {
	d := &m.durable
	if ctx.Err() != nil || d.primaryTerm != 0 || d.adoptedTerm != term || d.primaryAddress != address {
		return trace.CompareFailed("no longer following %s in term %d", address, term)
	}
	return nil
}

// truncateLog discards the entries after the common prefix with the primary's log.
func (m *Member) truncateLog(ctx context.Context, address string, term uint64, b batch) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkFollowing(ctx, address, b.Term); err != nil {
		return trace.Wrap(err)
	}
	if b.Common >= uint64(len(m.durable.log)) {
		return nil
	}
	m.durable.log = append([]entry(nil), m.durable.log[:b.Common]...)
	m.rebuildTables()
	m.notifyWaiters()
	m.history.add(Event{Member: m.id, Kind: EventTruncate, Position: m.durable.position()})
	m.log.Info("standin target: log truncated", zap.Uint64("term", term), zap.Uint64("offset", b.Common))
	return nil
}

func (m *Member) applyReplicated(ctx context.Context, address string, term uint64, e entry) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkFollowing(ctx, address, term); err != nil {
		return trace.Wrap(err)
	}
	if e.Offset != uint64(len(m.durable.log))+1 {
		return trace.BadParameter("entry %d does not follow offset %d", e.Offset, len(m.durable.log))
	}
	m.append(e)
	return nil
}
