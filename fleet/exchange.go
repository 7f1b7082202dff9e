package fleet

import (
	"context"
	"errors"
	"net/rpc"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/heartbeat"
	"github.com/waxwingspindle/waxwingspindle/relay"
)

// unknownMethodError precedes the name of the method in the reply of net/rpc to a call of a method that the host does not
// have.
const unknownMethodError = "rpc: can't find method "

// ExchangeRequest is a full report of a host to the leader, or to a deputy broker. It replaces the older methods Report
// and Sync.
type ExchangeRequest struct {
	Report ReportRequest
	Deputy bool // addressed to the deputy broker
}

// ExchangeReply is the reply to an ExchangeRequest.
type ExchangeReply struct {
	Session heartbeat.SessionID // for the following heartbeats; zero from a deputy broker
	Changes RelayedChanges
}

// BeatReply is the reply to a heartbeat.
type BeatReply struct {
	Known   bool // false if the session is not known, so that a full report is needed
	Changes RelayedChanges
}

// RelayedChanges holds the store changes that the requesting host has not seen.
type RelayedChanges struct {
	Fresh  bool              // the replying host follows the store and has received a reply from it recently
	Deltas map[string][]byte // encoded relay.Delta by prefix
	Large  []string          // prefixes with changes that are not included; use FetchDelta
}

// FetchDeltaRequest asks for the changes of a prefix since a revision.
type FetchDeltaRequest struct {
	Prefix string
	Since  uint64
}

// processOf identifies the process of a host.
func processOf(h Host) heartbeat.Process {
	return heartbeat.Process{Host: h.ID, Incarnation: h.Incarnation}
}

func heartbeatReport(r ReportRequest) heartbeat.Report {
	return heartbeat.Report{Host: r.Host, Standalone: r.Standalone, Observations: r.Observations, Revisions: r.Revisions}
}

// Exchange processes a full report and replies with the store changes that the host has not seen.
func (p *Peer) Exchange(r ExchangeRequest, reply *ExchangeReply) error {
	a := p.agent
	if r.Deputy {
		a.deputy.report(boottime.Now(), r.Report, a.view.Load())
	} else {
		term := a.leadership()
		if term == nil {
			return errNotLeader
		}
		term.recordReport(r.Report)
		reply.Session = a.exchange.Open(heartbeatReport(r.Report))
	}
	reply.Changes = a.relayedChanges(r.Report.Revisions)
	return nil
}

// Beat processes a heartbeat, which stands for a report.
func (p *Peer) Beat(r heartbeat.Request, reply *BeatReply) error {
	a := p.agent
	term := a.leadership()
	if term == nil {
		return errNotLeader
	}
	var report heartbeat.Report
	if report, reply.Known = a.exchange.Report(r); reply.Known {
		term.recordReport(ReportRequest{Host: report.Host, Standalone: report.Standalone, Observations: report.Observations,
			Revisions: report.Revisions})
		reply.Changes = a.relayedChanges(report.Revisions)
	}
	return nil
}

// syncResult is the reply to a report.
type syncResult struct {
	changes RelayedChanges
	legacy  *SyncReply // set if the replying host has only the older methods
}

// sendReport sends a report, as a heartbeat if possible, and with the older methods to a host that does not have the
// others.
func (a *Agent) sendReport(b brokerHost, request ReportRequest) (syncResult, error) {
	if !b.deputy {
		request.Observations = a.Server.PrimaryObservations()
	}
	if a.exchange.Legacy(processOf(b.Host)) {
		return a.sendLegacyReport(b, request)
	}
	beat, possible := a.exchange.Request(processOf(b.Host), heartbeatReport(request))
	if possible && !b.deputy && len(request.Deposit) == 0 {
		reply := new(BeatReply)
		err := callHost(a, b.Host, "Peer.Beat", (*Peer).Beat, beat, reply, reportTimeout)
		if err != nil && !isUnknownMethod(err) || err == nil && reply.Known {
			return syncResult{changes: reply.Changes}, err
		}
		a.exchange.Ended()
	}
	reply := new(ExchangeReply)
	err := callHost(a, b.Host, "Peer.Exchange", (*Peer).Exchange, ExchangeRequest{request, b.deputy}, reply, reportTimeout)
	if isUnknownMethod(err) {
		a.Log.Info("peer: has only the older methods for reports", zap.String("peer", string(b.ID)))
		a.exchange.SetLegacy(processOf(b.Host))
		return a.sendLegacyReport(b, request)
	}
	if err == nil && !b.deputy {
		a.exchange.Opened(processOf(b.Host), reply.Session, heartbeatReport(request))
	}
	return syncResult{changes: reply.Changes}, err
}

// sendLegacyReport sends a report to a host of an earlier version.
func (a *Agent) sendLegacyReport(b brokerHost, request ReportRequest) (syncResult, error) {
	reply := new(SyncReply)
	method, call := "Peer.Report", (*Peer).Report
	if b.deputy {
		method, call = "Peer.Sync", (*Peer).Sync
	}
	err := callHost(a, b.Host, method, call, request, reply, reportTimeout)
	return syncResult{legacy: reply}, err
}

// isUnknownMethod reports whether a host has refused a call because it does not have the method.
func isUnknownMethod(err error) bool {
	var refused rpc.ServerError
	return errors.As(err, &refused) && strings.HasPrefix(err.Error(), unknownMethodError)
}

// applySyncResult applies the reply to a report sent at the given time. Large changes are fetched separately.
func (a *Agent) applySyncResult(ctx context.Context, from Host, sent time.Time, since map[string]uint64,
	result syncResult) {
	if result.legacy != nil {
		a.applySyncReply(ctx, from, sent, since, *result.legacy)
		return
	}
	changes := result.changes
	if changes.Fresh && len(changes.Large) == 0 {
		a.lastRelay.Store(sent.UnixNano())
	}
	for prefix, encoded := range changes.Deltas {
		a.applyEncodedDelta(ctx, from, prefix, encoded)
	}
	if len(changes.Large) > 0 {
		go a.fetchDeltas(ctx, from, changes.Large, since)
	}
}

func (a *Agent) applyEncodedDelta(ctx context.Context, from Host, prefix string, encoded []byte) {
	d, err := relay.Decode(encoded)
	if err != nil {
		a.Log.Warn("store: relayed changes cannot be decoded", zap.String("from", string(from.ID)),
			zap.String("prefix", prefix), zap.Error(err))
		return
	}
	a.followMu.Lock()
	f := a.followers[prefix]
	a.followMu.Unlock()
	if f == nil {
		return
	}
	applied, err := f.applyDelta(ctx, d)
	if err != nil {
		a.Log.Warn("store: relayed changes do not fit, fetching the complete state", zap.String("from", string(from.ID)),
			zap.String("prefix", prefix), zap.Uint64("since", d.Since), zap.Uint64("revision", d.Revision), zap.Error(err))
		go a.fetchDeltas(ctx, from, []string{prefix}, nil)
		return
	}
	if applied {
		a.Log.Info("store: relayed changes applied", zap.String("from", string(from.ID)), zap.String("prefix", prefix),
			zap.Uint64("revision", d.Revision))
	}
}

// fetchDeltas fetches large changes from a host, unless a fetch is already in progress.
func (a *Agent) fetchDeltas(ctx context.Context, h Host, prefixes []string, since map[string]uint64) {
	if a.bulkTransfer.fetching.Swap(true) {
		return
	}
	defer a.bulkTransfer.fetching.Store(false)
	for _, prefix := range prefixes {
		var encoded []byte
		err := a.bulkTransfer.clients.call(h, "Peer.FetchDelta", FetchDeltaRequest{prefix, since[prefix]}, &encoded, fetchTimeout)
		if err != nil {
			a.Log.Warn("store: fetching changes failed", zap.String("from", string(h.ID)), zap.String("prefix", prefix),
				zap.Error(err))
			return
		}
		a.applyEncodedDelta(ctx, h, prefix, encoded)
	}
}
