package server

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/config"
	"github.com/waxwingspindle/waxwingspindle/daemon"
	"github.com/waxwingspindle/waxwingspindle/freshness"
	"github.com/waxwingspindle/waxwingspindle/kvclient"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/placement"
	"github.com/waxwingspindle/waxwingspindle/roster"
)

// documentKeys maps the relayed documents to their keys in the store.
var documentKeys = map[freshness.Document]string{
	freshness.Configuration: kvclient.ConfigurationKey,
	freshness.Roster:        kvclient.RosterKey,
}

// documentRelay receives documents with their proofs of freshness from parents in the relay tree and forwards them to
// children. It is accessed by the control loop only.
type documentRelay struct {
	server           *Server
	host             *freshness.Host
	upstream         freshness.Upstream
	links            map[model.HostID]*freshness.RelayLink
	roots            []model.HostID
	outstandingPolls map[model.HostID]bool // hosts with a poll in progress
	longPolls        []*longPoll
	storeRead        map[freshness.Document]bool // documents that this host has read from the store
}

// longPoll is a child's poll that is answered once there is something new.
type longPoll struct {
	request  daemon.RelayRequest
	received time.Time
	answer   chan daemon.RelayReply
}

func newDocumentRelay(now time.Time, s *Server) *documentRelay {
	return &documentRelay{server: s, host: freshness.New(now, s.options.Daemon.Host, s.incarnation),
		links: map[model.HostID]*freshness.RelayLink{}, outstandingPolls: map[model.HostID]bool{},
		storeRead: map[freshness.Document]bool{}}
}

// recordStoreRead records the document version that was returned by a store call made at the time sent.
func (r *documentRelay) recordStoreRead(now time.Time, d freshness.Document, sent time.Time, version uint64) {
	r.storeRead[d] = true
	r.host.RecordStoreRead(now, d, sent, version)
}

// isKnown reports whether this host holds a document or has read from the store that there is none.
func (r *documentRelay) isKnown(d freshness.Document) bool {
	return r.storeRead[d] || r.host.HeldVersions()[d] > 0
}

// setRoster passes the active roster to the freshness protocol.
func (r *documentRelay) setRoster(now time.Time, d roster.Document) {
	r.host.SetRoster(now, votingHosts(d))
}

// votingHosts returns the hosts of the roster, over which majorities are counted.
func votingHosts(d roster.Document) freshness.VotingHosts {
	out := freshness.VotingHosts{Version: d.Version}
	for _, h := range d.Hosts {
		out.IDs = append(out.IDs, h.ID)
		out.Incarnations = append(out.Incarnations, h.Incarnation)
	}
	return out
}

// setLiveHosts computes the relay tree from the live hosts and drops the links to hosts that are no longer live.
func (r *documentRelay) setLiveHosts(now time.Time, live []placement.Candidate) {
	tree := placement.NewRelayTree(live)
	r.roots = tree.Roots()
	self := r.server.options.Daemon.Host
	r.upstream.SetParents(now, tree.IsRoot(self), tree.Parents(self))
	isLive := map[model.HostID]bool{}
	for _, c := range live {
		isLive[c.ID] = true
	}
	for host := range r.links {
		if !isLive[host] {
			delete(r.links, host)
		}
	}
}

// tick answers due polls and sends new ones. A root polls the other roots; other hosts poll one parent at a time.
func (r *documentRelay) tick(now time.Time) {
	r.answerDuePolls(now)
	if r.upstream.IsRoot() {
		for _, peer := range r.upstream.Peers() {
			r.poll(now, peer, true)
		}
		return
	}
	if len(r.outstandingPolls) > 0 {
		return
	}
	if parent, ok := r.upstream.NextPoll(now); ok {
		r.poll(now, parent, false)
	}
}

// poll requests documents and proofs from a host, unless a poll to it is in progress. peer
// reports whether this host polls it as a fellow root instead of as its parent.
func (r *documentRelay) poll(now time.Time, to model.HostID, peer bool) {
	if r.outstandingPolls[to] {
		return
	}
	link := r.links[to]
	if link == nil || link.Peer != peer {
		link = &freshness.RelayLink{Parent: to, Peer: peer}
		r.links[to] = link
	}
	q := daemon.RelayRequest{From: r.server.options.Daemon.Host, Report: r.host.Report(now, link)}
	r.outstandingPolls[to] = true
	go r.server.sendPoll(to, link, q, now, r.host.PollTimeout(now))
}

// sendPoll sends a poll and applies the reply.
func (s *Server) sendPoll(to model.HostID, link *freshness.RelayLink, q daemon.RelayRequest, sent time.Time,
	timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reply daemon.RelayReply
	address, err := s.addressOf(to)
	if err == nil {
		reply, err = daemon.LongPoll[daemon.RelayReply](ctx, s.peers, address, "Relay", q)
	}
	s.controlLoop.post(func(now time.Time) {
		relay := s.state.relay
		delete(relay.outstandingPolls, to)
		if err != nil {
			if !link.Peer {
				relay.upstream.RecordFailure(now)
			}
			return
		}
		useful := relay.applyReply(now, sent, link, reply)
		if !link.Peer {
			relay.upstream.RecordAnswer(now, useful)
		}
		s.state.publishSnapshot(now)
	})
}

// applyReply applies the documents and proofs of a reply. It reports whether the reply carried a proof that is fresh enough
// to serve requests with.
func (r *documentRelay) applyReply(now, sent time.Time, link *freshness.RelayLink, reply daemon.RelayReply) bool {
	state := r.server.state
	if _, err := state.applyEncodedConfiguration(now, reply.Configuration); err != nil {
		r.server.log.Error("config: document from another host is not usable", zap.Error(err))
		return false
	}
	if _, err := state.applyEncodedRoster(now, reply.Roster); err != nil {
		r.server.log.Error("roster: document from another host is not usable", zap.Error(err))
		return false
	}
	return r.host.HandleAnswer(now, sent, link, reply.Answer)
}

// handlePoll accepts a poll from a child. The reply is sent once freshness.Host.ShouldAnswer reports that there is
// something new or that the poll has waited long enough.
func (r *documentRelay) handlePoll(now time.Time, q daemon.RelayRequest) <-chan daemon.RelayReply {
	r.host.HandleReport(now, q.From, q.Report)
	poll := &longPoll{request: q, received: now, answer: make(chan daemon.RelayReply, 1)}
	r.longPolls = append(r.longPolls, poll)
	r.answerDuePolls(now)
	return poll.answer
}

// answerDuePolls replies to the long polls that are due.
func (r *documentRelay) answerDuePolls(now time.Time) {
	waiting := r.longPolls[:0]
	for _, poll := range r.longPolls {
		if !r.host.ShouldAnswer(now, poll.received, poll.request.Report) {
			waiting = append(waiting, poll)
			continue
		}
		poll.answer <- r.buildReply(now, poll)
	}
	clear(r.longPolls[len(waiting):])
	r.longPolls = waiting
}

// buildReply returns the reply to a poll. It includes the documents of which the child holds an older version.
func (r *documentRelay) buildReply(now time.Time, poll *longPoll) daemon.RelayReply {
	reply := daemon.RelayReply{Answer: r.host.Answer(now, poll.received, poll.request.From)}
	state, held := r.server.state, poll.request.Report.Held
	if state.configuration != nil && state.configuration.Version > held[freshness.Configuration] {
		reply.Configuration = mustEncodeConfiguration(state.configuration)
	}
	if state.roster.Version > held[freshness.Roster] {
		reply.Roster = mustEncodeRoster(state.roster)
	}
	return reply
}

// mustEncodeConfiguration encodes a document that was decoded from its stored form, so encoding cannot fail.
func mustEncodeConfiguration(d *config.Document) []byte {
	data, err := d.Encode()
	if err != nil {
		panic("the active configuration cannot be encoded: " + err.Error())
	}
	return data
}

func mustEncodeRoster(d roster.Document) []byte {
	data, err := d.Encode()
	if err != nil {
		panic("the active roster cannot be encoded: " + err.Error())
	}
	return data
}

// acknowledge records the announcement of an upcoming change and reports whether this host acknowledges it.
func (r *documentRelay) acknowledge(now time.Time, a freshness.Announcement) bool {
	err := r.host.HandleAnnouncement(now, a)
	if err != nil {
		r.server.log.Info("config: announcement not acknowledged", zap.String("document", documentKeys[a.Document]),
			zap.Uint64("version", a.Version), zap.Error(err))
	}
	return err == nil
}

// shouldReadStore reports whether this host should read the store now although it is not a root.
func (r *documentRelay) shouldReadStore(now time.Time, rng *rand.Rand) bool {
	return !r.upstream.IsRoot() && r.upstream.ShouldReadStore(now, rng, r.host.ServingProof(now))
}

// servingProof returns the proof of freshness that this host may serve requests with.
func (r *documentRelay) servingProof(now time.Time) freshness.Proof { return r.host.ServingProof(now) }
