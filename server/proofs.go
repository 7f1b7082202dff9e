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

// documents maps the documents of the proofs to the keys in the store.
var documentKeys = map[freshness.Document]string{
	freshness.Configuration: kvclient.KeyConfiguration,
	freshness.Roster:        kvclient.KeyRoster,
}

// proofs relays documents and the proofs that they are fresh. Only the control goroutine uses it.
type documentRelay struct {
	server           *Server
	host             *freshness.Host
	upstream         freshness.Upstream
	links            map[model.HostID]*freshness.Link
	roots            []model.HostID
	outstandingPolls map[model.HostID]bool // polls that wait for an answer
	longPolls        []*longPoll
	storeRead        map[freshness.Document]bool // documents whose state in the store was read
}

// heldPoll is the poll of a child that waits for something new.
type longPoll struct {
	request  daemon.RelayRequest
	received time.Time
	answer   chan daemon.RelayReply
}

func newDocumentRelay(now time.Time, s *Server) *documentRelay {
	return &documentRelay{server: s, host: freshness.New(now, s.options.Daemon.Host, s.incarnation),
		links: map[model.HostID]*freshness.Link{}, outstandingPolls: map[model.HostID]bool{}, storeRead: map[freshness.Document]bool{}}
}

// storeRead records that a call of the store that was sent at a time returned a version of a document.
func (p *documentRelay) recordStoreRead(now time.Time, d freshness.Document, sent time.Time, version uint64) {
	p.storeRead[d] = true
	p.host.ObserveRead(now, d, sent, version)
}

// known reports whether this host knows a document or that there is none.
func (p *documentRelay) isKnown(d freshness.Document) bool {
	return p.storeRead[d] || p.host.Held()[d] > 0
}

// holdRoster records that a roster is in force.
func (p *documentRelay) setRoster(now time.Time, d roster.Document) {
	p.host.HoldRoster(now, votingHosts(d))
}

// rosterHosts returns the hosts that majorities are counted over.
func votingHosts(d roster.Document) freshness.Hosts {
	out := freshness.Hosts{Version: d.Version}
	for _, h := range d.Hosts {
		out.IDs = append(out.IDs, h.ID)
		out.Since = append(out.Since, h.Incarnation)
	}
	return out
}

// setLive follows a change of the live members.
func (p *documentRelay) setLiveHosts(now time.Time, live []placement.Candidate) {
	tree := placement.NewTree(live)
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

// tick answers the polls that are due and sends new ones.
func (p *documentRelay) tick(now time.Time) {
	p.answerDuePolls(now)
	if p.upstream.Root() {
		for _, peer := range p.upstream.Peers() {
			p.poll(now, peer, true)
		}
		return
	}
	if len(p.outstandingPolls) > 0 {
		return
	}
	if parent, ok := p.upstream.Poll(now); ok {
		p.poll(now, parent, false)
	}
}

// poll asks a host for documents and proofs.
func (p *documentRelay) poll(now time.Time, to model.HostID, peer bool) {
	if p.outstandingPolls[to] {
		return
	}
	link := p.links[to]
	if link == nil || link.Peer != peer {
		link = &freshness.Link{Parent: to, Peer: peer}
		p.links[to] = link
	}
	q := daemon.RelayRequest{From: p.server.options.Daemon.Host, Report: p.host.Report(now, link)}
	p.outstandingPolls[to] = true
	go p.server.sendPoll(to, link, q, now, p.host.PollTimeout(now))
}

// relay sends a poll and takes over the answer.
func (s *Server) sendPoll(to model.HostID, link *freshness.Link, q daemon.RelayRequest, sent time.Time,
	timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reply daemon.RelayReply
	address, err := s.addressOf(to)
	if err == nil {
		reply, err = daemon.Poll[daemon.RelayReply](ctx, s.peers, address, "Relay", q)
	}
	s.controlLoop.post(func(now time.Time) {
		p := s.state.relay
		delete(p.outstandingPolls, to)
		if err != nil {
			if !link.Peer {
				p.upstream.Failed(now)
			}
			return
		}
		useful := p.applyReply(now, sent, link, reply)
		if !link.Peer {
			p.upstream.Answered(now, useful)
		}
		s.state.publishSnapshot(now)
	})
}

// takeAnswer puts documents in force and takes over the proofs that came with them.
func (p *documentRelay) applyReply(now, sent time.Time, link *freshness.Link, reply daemon.RelayReply) bool {
	state := p.server.state
	if _, err := state.applyEncodedConfiguration(now, reply.Configuration); err != nil {
		p.server.log.Error("config: document from another host cannot be used", zap.Error(err))
		return false
	}
	if _, err := state.applyEncodedRoster(now, reply.Roster); err != nil {
		p.server.log.Error("roster: document from another host cannot be used", zap.Error(err))
		return false
	}
	return p.host.HandleAnswer(now, sent, link, reply.Answer)
}

// hold takes a poll of a child. The answer comes when there is something new, or after a while.
func (p *documentRelay) handlePoll(now time.Time, q daemon.RelayRequest) <-chan daemon.RelayReply {
	p.host.HandleReport(now, q.From, q.Report)
	poll := &longPoll{request: q, received: now, answer: make(chan daemon.RelayReply, 1)}
	p.longPolls = append(p.longPolls, poll)
	p.answerDuePolls(now)
	return poll.answer
}

// release answers the polls that are due.
func (p *documentRelay) answerDuePolls(now time.Time) {
	waiting := p.longPolls[:0]
	for _, poll := range p.longPolls {
		if !p.host.Due(now, poll.received, poll.request.Report) {
			waiting = append(waiting, poll)
			continue
		}
		poll.answer <- p.buildReply(now, poll)
	}
	clear(p.longPolls[len(waiting):])
	p.longPolls = waiting
}

// reply returns the answer to a poll with the documents that the child does not have.
func (p *documentRelay) buildReply(now time.Time, poll *longPoll) daemon.RelayReply {
	r := daemon.RelayReply{Answer: p.host.Answer(now, poll.received, poll.request.From)}
	state, held := p.server.state, poll.request.Report.Held
	if state.configuration != nil && state.configuration.Version > held[freshness.Configuration] {
		r.Configuration = mustEncodeConfiguration(state.configuration)
	}
	if state.roster.Version > held[freshness.Roster] {
		r.Roster = mustEncodeRoster(state.roster)
	}
	return r
}

// mustEncode encodes a document that came encoded from the store.
func mustEncodeConfiguration(d *config.Document) []byte {
	data, err := d.Encode()
	if err != nil {
		panic("a document in force cannot be encoded: " + err.Error())
	}
	return data
}

func mustEncodeRoster(d roster.Document) []byte {
	data, err := d.Encode()
	if err != nil {
		panic("a roster in force cannot be encoded: " + err.Error())
	}
	return data
}

// announce takes note that a change is about to be made, and reports whether this host acknowledges it.
func (p *documentRelay) acknowledge(now time.Time, a freshness.Announcement) bool {
	err := p.host.Announce(now, a)
	if err != nil {
		p.server.log.Info("config: announcement not acknowledged", zap.String("document", documentKeys[a.Document]),
			zap.Uint64("version", a.Version), zap.Error(err))
	}
	return err == nil
}

// readStore reports whether this host, which is not a root, should read the store now.
func (p *documentRelay) shouldReadStore(now time.Time, rng *rand.Rand) bool {
	return !p.upstream.Root() && p.upstream.ReadStore(now, rng, p.host.Serving(now))
}

// serving returns the proof that this host may serve by.
func (p *documentRelay) servingProof(now time.Time) freshness.Proof { return p.host.Serving(now) }
