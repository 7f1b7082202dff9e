package server

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/config"
	"github.com/waxwingspindle/waxwingspindle/daemon"
	"github.com/waxwingspindle/waxwingspindle/freshness"
	genoperator "github.com/waxwingspindle/waxwingspindle/gen/operator"
	"github.com/waxwingspindle/waxwingspindle/key"
	"github.com/waxwingspindle/waxwingspindle/kvclient"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/operator"
)

const (
	// changeTimeout bounds a configuration change including all attempts.
	changeTimeout = 12 * time.Second
	// changeRetryDelay is the delay between attempts of a change.
	changeRetryDelay = 100 * time.Millisecond
	// announceTimeout bounds announcing a change, or its cancellation, to other hosts.
	announceTimeout = time.Second
	// confirmTimeout bounds the wait for hosts to confirm a change. After this time every host has either applied the
	// change or stopped serving authenticated requests.
	confirmTimeout = 7 * time.Second
	// confirmPollInterval is the interval between checks for confirmations.
	confirmPollInterval = 50 * time.Millisecond
)

// operatorBackend implements operator.Backend.
type operatorBackend struct{ server *Server }

// Document implements operator.Backend. It falls back to the active document if the store cannot be read.
func (o *operatorBackend) Document(ctx context.Context) *config.Document {
	if d, _, err := o.server.readDocument(ctx); err == nil {
		return d
	}
	if d := o.server.activeDocument(); d != nil {
		return d
	}
	return &config.Document{}
}

// readDocument reads the latest configuration document and its revision from the store.
func (s *Server) readDocument(ctx context.Context) (*config.Document, uint64, error) {
	e, err := s.options.Store.Get(ctx, kvclient.ConfigurationKey)
	s.metrics.CountStoreCall("get", err)
	if err != nil {
		return nil, 0, err
	}
	if e.Revision == 0 {
		return &config.Document{}, 0, nil
	}
	d, err := config.Decode(e.Value)
	return d, e.Revision, err
}

// ApplyChange implements operator.Backend. If the answer of the store is lost, the change id in the stored document shows
// whether the change was made.
func (o *operatorBackend) ApplyChange(ctx context.Context, id string, f operator.ChangeFunc) (operator.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	before, after, err := o.server.change(ctx, id, f)
	if err != nil {
		o.server.log.Info("config: change not accepted", zap.String("change", id), zap.Error(err))
		return operator.Change{}, err
	}
	o.server.log.Info("config: change accepted", zap.String("change", id), zap.Uint64("version", after.Version))
	confirmed, unconfirmed := o.server.awaitConfirmed(after.Version)
	return operator.Change{Before: before, After: after, Confirmed: confirmed, Unconfirmed: unconfirmed}, nil
}

// change retries the compare-and-swap of the document until the change is stored, is refused, or the context is done.
func (s *Server) change(ctx context.Context, id string, f operator.ChangeFunc) (before, after *config.Document, err error) {
	sent := false // a swap with an unknown outcome was sent
	for {
		d, revision, err := s.readDocument(ctx)
		switch {
		case err != nil && sent:
			err = &operator.UnknownOutcomeError{Reason: err.Error()}
		case err != nil:
			err = &operator.NotAcceptedError{Reason: "the store cannot be read: " + err.Error()}
		case d.HasChange(id):
			return s.documentBeforeChange(before, d), d, nil
		default:
			var done bool
			if after, done, err = s.attemptSwap(ctx, d, revision, f, &sent); done {
				return d, after, nil
			}
			before = d
		}
		if err != nil && !errors.As(err, new(*operator.UnknownOutcomeError)) {
			return nil, nil, err
		}
		if !sleep(ctx, changeRetryDelay) {
			return nil, nil, s.changeTimeoutError(err, sent)
		}
	}
}

// documentBeforeChange returns the document that preceded a change found in the store. If no earlier version was read, only
// its version number is exact.
func (s *Server) documentBeforeChange(before, d *config.Document) *config.Document {
	if before != nil {
		return before
	}
	return &config.Document{Version: d.Version - 1, Base: d.Base, Overlays: d.Overlays}
}

func (s *Server) changeTimeoutError(err error, sent bool) error {
	if err != nil {
		return err
	}
	if sent {
		return &operator.UnknownOutcomeError{Reason: "the time of the change ended"}
	}
	return &operator.NotAcceptedError{Reason: "the time of the change ended"}
}

// attemptSwap makes one compare-and-swap of the document d. It returns the changed document and whether it is stored; a
// change that returns d itself counts as stored without a call. If the answer is lost, it sets sent and returns an
// *operator.UnknownOutcomeError. If another change was stored first, it returns no error.
func (s *Server) attemptSwap(ctx context.Context, d *config.Document, revision uint64, f operator.ChangeFunc,
	sent *bool) (*config.Document, bool, error) {
	next, err := f(d)
	if err != nil {
		return nil, false, err
	}
	if next == d {
		return d, true, nil
	}
	data, err := next.Encode()
	if err != nil {
		return nil, false, err
	}
	change, err := s.announceChange(ctx, freshness.Configuration, next.Version)
	if err != nil {
		return nil, false, &operator.NotAcceptedError{Reason: err.Error()}
	}
	swapped, err := s.options.Store.CompareAndSwap(ctx, kvclient.ConfigurationKey, revision, data)
	s.metrics.CountStoreCall("swap", err)
	if err != nil {
		*sent = true
		return nil, false, &operator.UnknownOutcomeError{Reason: err.Error()}
	}
	if !swapped {
		s.cancelChange(change)
	}
	return next, swapped, nil
}

// announceChange announces an upcoming version to the hosts in the roster and waits for a majority of them to acknowledge
// it, which is required before the swap may be sent. Without a majority, a partitioned host could take a store outage as
// proof that nothing changes. If the change may not be sent, its announcement is cancelled.
func (s *Server) announceChange(ctx context.Context, d freshness.Document, version uint64) (*freshness.Change, error) {
	hosts := s.snapshot.Load().hosts
	change, err := freshness.NewChange(time.Now(), mathrand.Uint64(), d, version, hosts)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	acknowledged := make(chan model.HostID, len(hosts.IDs))
	for _, h := range hosts.IDs {
		go func() {
			if !s.announceToHost(ctx, h, change.Announcement()) {
				h = ""
			}
			acknowledged <- h
		}()
	}
	for range hosts.IDs {
		if h := <-acknowledged; h != "" {
			change.RecordAcknowledgement(h)
		}
		if change.CheckSwap(time.Now()) == nil {
			break
		}
	}
	if err := change.CheckSwap(time.Now()); err != nil {
		s.cancelChange(change)
		return nil, err
	}
	return change, nil
}

// cancelChange notifies the hosts in the background that an announced change was not made.
func (s *Server) cancelChange(c *freshness.Change) {
	for _, h := range s.snapshot.Load().hosts.IDs {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
			defer cancel()
			if h == s.options.Daemon.Host {
				s.handleCancellation(c.Announcement())
				return
			}
			call[daemon.Empty](ctx, s, h, "Cancel", c.Announcement())
		}()
	}
}

// handleCancellation records that an announced change was not made.
func (s *Server) handleCancellation(a freshness.Announcement) {
	s.controlLoop.post(func(time.Time) { s.state.relay.host.CancelAnnouncement(a) })
}

func (s *Server) announceToHost(ctx context.Context, h model.HostID, a freshness.Announcement) bool {
	if h == s.options.Daemon.Host {
		return s.handleAnnouncement(a)
	}
	reply, err := call[daemon.Acknowledgement](ctx, s, h, "Announce", a)
	return err == nil && reply.Acknowledged
}

// awaitConfirmed waits up to confirmTimeout until all live hosts have applied a version. It returns the hosts that have
// confirmed it and those that have not.
func (s *Server) awaitConfirmed(version uint64) (confirmed, unconfirmed []model.HostID) {
	for deadline := time.Now().Add(confirmTimeout); ; time.Sleep(confirmPollInterval) {
		confirmed, unconfirmed = s.confirmedHosts(version)
		if len(unconfirmed) == 0 || time.Now().After(deadline) {
			return confirmed, unconfirmed
		}
	}
}

// confirmedHosts divides the live hosts by whether they have confirmed a version. Confirmations come from the roots of the
// relay tree, which collect them for all hosts, and from the payloads of membership messages.
func (s *Server) confirmedHosts(version uint64) (confirmed, unconfirmed []model.HostID) {
	snap := s.snapshot.Load()
	relayed := s.relayConfirmations(snap, version)
	for _, m := range snap.members {
		if !m.IsLive() {
			continue
		}
		if relayed[m.ID] || decodeVersionPayload(m.Payload) >= version {
			confirmed = append(confirmed, m.ID)
		} else {
			unconfirmed = append(unconfirmed, m.ID)
		}
	}
	slices.Sort(confirmed)
	slices.Sort(unconfirmed)
	return confirmed, unconfirmed
}

// relayConfirmations queries the roots of the relay tree for the hosts that have confirmed a version.
func (s *Server) relayConfirmations(snap *snapshot, version uint64) map[model.HostID]bool {
	out := map[model.HostID]bool{}
	add := func(c daemon.Confirmation) {
		for _, h := range c.Hosts {
			out[h] = out[h] || c.Version >= version
		}
	}
	self := []model.HostID{s.options.Daemon.Host}
	add(daemon.Confirmation{Version: snap.version, Hosts: slices.Concat(snap.confirmed, self)})
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	for _, root := range snap.roots {
		if root == s.options.Daemon.Host {
			continue
		}
		if c, err := call[daemon.Confirmation](ctx, s, root, "Confirmed", daemon.Empty{}); err == nil {
			add(c)
		}
	}
	return out
}

// NewKey implements operator.Backend.
func (o *operatorBackend) NewKey(w model.Workspace) (key.Key, key.Record) {
	id := model.KeyID(uuid.NewString())
	k, err := key.New(id, rand.Reader)
	if err != nil {
		panic(fmt.Sprintf("a generated key id is not allowed: %v", err))
	}
	return k, k.Record(w)
}

// secretBytes is the length in bytes of the secret for session tokens and transaction handles.
const secretBytes = 32

// NewSecret implements operator.Backend.
func (o *operatorBackend) NewSecret() []byte {
	secret := make([]byte, secretBytes)
	rand.Read(secret)
	return secret
}

// Drain implements operator.Backend.
func (o *operatorBackend) Drain() { o.server.startDrain() }

// Status implements operator.Backend. The state of targets is queried from the homes of their services.
func (o *operatorBackend) Status() *genoperator.StatusResult {
	s, now := o.server, time.Now()
	snap := s.snapshot.Load()
	out := &genoperator.StatusResult{Host: string(s.options.Daemon.Host), DataCentre: string(s.options.Daemon.DataCentre),
		Incarnation: uint64(s.incarnation), State: snap.state(now, s.draining.Load()),
		ConfigurationVersion: snap.version, RosterVersion: snap.rosterVersion, Proof: snap.proofKind,
		Members: []*genoperator.Member{}, Services: []*genoperator.ServiceStatus{}}
	if !snap.proofTime.IsZero() {
		out.ProofAgeMs = now.Sub(snap.proofTime).Milliseconds()
	}
	for _, m := range snap.members {
		version := decodeVersionPayload(m.Payload)
		if m.ID == s.options.Daemon.Host {
			version = snap.version
		}
		out.Members = append(out.Members, &genoperator.Member{Host: string(m.ID), Address: m.RPCAddress,
			DataCentre: string(m.DataCentre), State: m.State.String(), ConfigurationVersion: version})
	}
	out.Services = s.serviceStatuses(snap)
	return out
}
