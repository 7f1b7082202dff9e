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
func (p *documentRelay) recordStoreRead(now time.Time, d freshness.Document, sent time.Time, version uint64) {
	p.storeRead[d] = true
	p.host.RecordStoreRead(now, d, sent, version)
}

// isKnown reports whether this host holds a document or has read from the store that there is none.
func (p *documentRelay) isKnown(d freshness.Document) bool {
	return p.storeRead[d] || p.host.HeldVersions()[d] > 0
}

// setRoster passes the active roster to the freshness protocol.
func (p *documentRelay) setRoster(now time.Time, d roster.Document) {
	p.host.SetRoster(now, votingHosts(d))
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
func (p *documentRelay) setLiveHosts(now time.Time, live []placement.Candidate) {
	tree := placement.NewRelayTree(live)
	p.roots = tree.Roots()
	self := p.server.options.Daemon.Host
	p.upstream.SetParents(now, tree.IsRoot(self), tree.Parents(self))
	isLive := map[model.HostID]bool{}
	for _, c := range live {
		isLive[c.ID] = true
	}
	for host := range p.links {
		if !isLive[host] {
			delete(p.links, host)
		}
	}
}

// tick answers due polls and sends new ones. A root polls the other roots; other hosts poll one parent at a time.
func (p *documentRelay) tick(now time.Time) {
	p.answerDuePolls(now)
	if p.upstream.IsRoot() {
		for _, peer := range p.upstream.Peers() {
			p.poll(now, peer, true)
		}
		return
	}
	if len(p.outstandingPolls) > 0 {
		return
	}
	if parent, ok := p.upstream.NextPoll(now); ok {
		p.poll(now, parent, false)
	}
}

// poll requests documents and proofs from a host, unless a poll to it is in progress.
func (p *documentRelay) poll(now time.Time, to model.HostID, peer bool) {
	if p.outstandingPolls[to] {
		return
	}
	link := p.links[to]
	if link == nil || link.Peer != peer {
		link = &freshness.RelayLink{Parent: to, Peer: peer}
		p.links[to] = link
	}
	q := daemon.RelayRequest{From: p.server.options.Daemon.Host, Report: p.host.Report(now, link)}
	p.outstandingPolls[to] = true
	go p.server.sendPoll(to, link, q, now, p.host.PollTimeout(now))
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
		p := s.state.relay
		delete(p.outstandingPolls, to)
		if err != nil {
			if !link.Peer {
				p.upstream.RecordFailure(now)
			}
			return
		}
		useful := p.applyReply(now, sent, link, reply)
		if !link.Peer {
			p.upstream.RecordAnswer(now, useful)
		}
		s.state.publishSnapshot(now)
	})
}

// applyReply applies the documents and proofs of a reply. It reports whether the reply carried a proof that is fresh enough
// to serve requests with.
func (p *documentRelay) applyReply(now, sent time.Time, link *freshness.RelayLink, reply daemon.RelayReply) bool {
	state := p.server.state
	if _, err := state.applyEncodedConfiguration(now, reply.Configuration); err != nil {
		p.server.log.Error("config: document from another host is not usable", zap.Error(err))
		return false
	}
	if _, err := state.applyEncodedRoster(now, reply.Roster); err != nil {
		p.server.log.Error("roster: document from another host is not usable", zap.Error(err))
		return false
	}
	return p.host.HandleAnswer(now, sent, link, reply.Answer)
}

// handlePoll accepts a poll from a child. The reply is sent once freshness.Host.ShouldAnswer reports that there is
// something new or that the poll has waited long enough.
func (p *documentRelay) handlePoll(now time.Time, q daemon.RelayRequest) <-chan daemon.RelayReply {
	p.host.HandleReport(now, q.From, q.Report)
	poll := &longPoll{request: q, received: now, answer: make(chan daemon.RelayReply, 1)}
	p.longPolls = append(p.longPolls, poll)
	p.answerDuePolls(now)
	return poll.answer
}

// answerDuePolls replies to the long polls that are due.
func (p *documentRelay) answerDuePolls(now time.Time) {
	waiting := p.longPolls[:0]
	for _, poll := range p.longPolls {
		if !p.host.ShouldAnswer(now, poll.received, poll.request.Report) {
			waiting = append(waiting, poll)
			continue
		}
		poll.answer <- p.buildReply(now, poll)
	}
	clear(p.longPolls[len(waiting):])
	p.longPolls = waiting
}

// buildReply returns the reply to a poll. It includes the documents of which the child holds an older version.
func (p *documentRelay) buildReply(now time.Time, poll *longPoll) daemon.RelayReply {
	reply := daemon.RelayReply{Answer: p.host.Answer(now, poll.received, poll.request.From)}
	state, held := p.server.state, poll.request.Report.Held
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
func (p *documentRelay) acknowledge(now time.Time, a freshness.Announcement) bool {
	err := p.host.HandleAnnouncement(now, a)
	if err != nil {
		p.server.log.Info("config: announcement not acknowledged", zap.String("document", documentKeys[a.Document]),
			zap.Uint64("version", a.Version), zap.Error(err))
	}
	return err == nil
}

// shouldReadStore reports whether this host should read the store now although it is not a root.
func (p *documentRelay) shouldReadStore(now time.Time, rng *rand.Rand) bool {
	return !p.upstream.IsRoot() && p.upstream.ShouldReadStore(now, rng, p.host.ServingProof(now))
}

// servingProof returns the proof of freshness that this host may serve requests with.
func (p *documentRelay) servingProof(now time.Time) freshness.Proof { return p.host.ServingProof(now) }
