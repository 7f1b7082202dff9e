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
var documents = map[freshness.Document]string{
	freshness.Configuration: kvclient.KeyConfiguration,
	freshness.Roster:        kvclient.KeyRoster,
}

// proofs relays documents and the proofs that they are fresh. Only the control goroutine uses it.
type proofs struct {
	server   *Server
	host     *freshness.Host
	upstream freshness.Upstream
	links    map[model.HostID]*freshness.Link
	roots    []model.HostID
	polling  map[model.HostID]bool // polls that wait for an answer
	held     []*heldPoll
	read     map[freshness.Document]bool // documents whose state in the store was read
}

// heldPoll is the poll of a child that waits for something new.
type heldPoll struct {
	request  daemon.RelayRequest
	received time.Time
	answer   chan daemon.RelayReply
}

func newProofs(now time.Time, s *Server) *proofs {
	return &proofs{server: s, host: freshness.New(now, s.options.Daemon.Host, s.incarnation),
		links: map[model.HostID]*freshness.Link{}, polling: map[model.HostID]bool{}, read: map[freshness.Document]bool{}}
}

// storeRead records that a call of the store that was sent at a time returned a version of a document.
func (p *proofs) storeRead(now time.Time, d freshness.Document, sent time.Time, version uint64) {
	p.read[d] = true
	p.host.ObserveRead(now, d, sent, version)
}

// known reports whether this host knows a document or that there is none.
func (p *proofs) known(d freshness.Document) bool { return p.read[d] || p.host.Held()[d] > 0 }

// holdRoster records that a roster is in force.
func (p *proofs) holdRoster(now time.Time, d roster.Document) { p.host.HoldRoster(now, rosterHosts(d)) }

// rosterHosts returns the hosts that majorities are counted over.
func rosterHosts(d roster.Document) freshness.Hosts {
	out := freshness.Hosts{Version: d.Version}
	for _, h := range d.Hosts {
		out.IDs = append(out.IDs, h.ID)
		out.Since = append(out.Since, h.Incarnation)
	}
	return out
}

// setLive follows a change of the live members.
func (p *proofs) setLive(now time.Time, live []placement.Candidate) {
	tree := placement.NewRelayTree(live)
	p.roots = tree.Roots()
	self := p.server.options.Daemon.Host
	p.upstream.SetParents(now, tree.IsRoot(self), tree.Parents(self))
	alive := map[model.HostID]bool{}
	for _, c := range live {
		alive[c.ID] = true
	}
	for host := range p.links {
		if !alive[host] {
			delete(p.links, host)
		}
	}
}

// tick answers the polls that are due and sends new ones.
func (p *proofs) tick(now time.Time) {
	p.release(now)
	if p.upstream.Root() {
		for _, peer := range p.upstream.Peers() {
			p.poll(now, peer, true)
		}
		return
	}
	if len(p.polling) > 0 {
		return
	}
	if parent, ok := p.upstream.Poll(now); ok {
		p.poll(now, parent, false)
	}
}

// poll asks a host for documents and proofs.
func (p *proofs) poll(now time.Time, to model.HostID, peer bool) {
	if p.polling[to] {
		return
	}
	link := p.links[to]
	if link == nil || link.Peer != peer {
		link = &freshness.Link{Parent: to, Peer: peer}
		p.links[to] = link
	}
	q := daemon.RelayRequest{From: p.server.options.Daemon.Host, Report: p.host.Report(now, link)}
	p.polling[to] = true
	go p.server.relay(to, link, q, now, p.host.PollTimeout(now))
}

// relay sends a poll and takes over the answer.
func (s *Server) relay(to model.HostID, link *freshness.Link, q daemon.RelayRequest, sent time.Time,
	timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reply daemon.RelayReply
	address, err := s.addressOf(to)
	if err == nil {
		reply, err = daemon.Poll[daemon.RelayReply](ctx, s.peers, address, "Relay", q)
	}
	s.control.post(func(now time.Time) {
		p := s.state.proofs
		delete(p.polling, to)
		if err != nil {
			if !link.Peer {
				p.upstream.Failed(now)
			}
			return
		}
		useful := p.takeAnswer(now, sent, link, reply)
		if !link.Peer {
			p.upstream.Answered(now, useful)
		}
		s.state.publish(now)
	})
}

// takeAnswer puts documents in force and takes over the proofs that came with them.
func (p *proofs) takeAnswer(now, sent time.Time, link *freshness.Link, reply daemon.RelayReply) bool {
	state := p.server.state
	if _, err := state.takeConfiguration(now, reply.Configuration); err != nil {
		p.server.log.Error("config: document from another host cannot be used", zap.Error(err))
		return false
	}
	if _, err := state.takeRoster(now, reply.Roster); err != nil {
		p.server.log.Error("roster: document from another host cannot be used", zap.Error(err))
		return false
	}
	return p.host.HandleAnswer(now, sent, link, reply.Answer)
}

// hold takes a poll of a child. The answer comes when there is something new, or after a while.
func (p *proofs) hold(now time.Time, q daemon.RelayRequest) <-chan daemon.RelayReply {
	p.host.HandleReport(now, q.From, q.Report)
	h := &heldPoll{request: q, received: now, answer: make(chan daemon.RelayReply, 1)}
	p.held = append(p.held, h)
	p.release(now)
	return h.answer
}

// release answers the polls that are due.
func (p *proofs) release(now time.Time) {
	kept := p.held[:0]
	for _, h := range p.held {
		if !p.host.Due(now, h.received, h.request.Report) {
			kept = append(kept, h)
			continue
		}
		h.answer <- p.reply(now, h)
	}
	clear(p.held[len(kept):])
	p.held = kept
}

// reply returns the answer to a poll with the documents that the child does not have.
func (p *proofs) reply(now time.Time, h *heldPoll) daemon.RelayReply {
	r := daemon.RelayReply{Answer: p.host.Answer(now, h.received, h.request.From)}
	state, has := p.server.state, h.request.Report.Held
	if state.document != nil && state.document.Version > has[freshness.Configuration] {
		r.Configuration = mustEncode(state.document)
	}
	if state.roster.Version > has[freshness.Roster] {
		r.Roster = mustEncodeRoster(state.roster)
	}
	return r
}

// mustEncode encodes a document that came encoded from the store.
func mustEncode(d *config.Document) []byte {
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
func (p *proofs) announce(now time.Time, a freshness.Announcement) bool {
	err := p.host.Announce(now, a)
	if err != nil {
		p.server.log.Info("config: announcement not acknowledged", zap.String("document", documents[a.Document]),
			zap.Uint64("version", a.Version), zap.Error(err))
	}
	return err == nil
}

// readStore reports whether this host, which is not a root, should read the store now.
func (p *proofs) readStore(now time.Time, rng *rand.Rand) bool {
	return !p.upstream.Root() && p.upstream.ReadStore(now, rng, p.host.Serving(now))
}

// serving returns the proof that this host may serve by.
func (p *proofs) serving(now time.Time) freshness.Proof { return p.host.Serving(now) }
