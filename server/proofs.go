package server

import (
	"time"

	"github.com/waxwingspindle/waxwingspindle/daemon"
	"github.com/waxwingspindle/waxwingspindle/platform"
	"github.com/waxwingspindle/waxwingspindle/roster"
)

// proofs keeps the proof that the documents of this host are fresh.
type proofs struct {
	read map[string]time.Time
}

func newProofs(time.Time, *Server) *proofs { return &proofs{read: map[string]time.Time{}} }

// storeRead records that a document was read in the store by a call that was sent at a time.
func (p *proofs) storeRead(document string, sentAt time.Time) {
	if sentAt.After(p.read[document]) {
		p.read[document] = sentAt
	}
}

// serving returns the kind of the proof, the time that it dates from and the time until which it holds.
func (p *proofs) serving(time.Time) (kind string, at, until time.Time) {
	configuration, r := p.read[platform.KeyConfiguration], p.read[platform.KeyRoster]
	if configuration.IsZero() || r.IsZero() {
		return "none", time.Time{}, time.Time{}
	}
	at = configuration
	if r.Before(at) {
		at = r
	}
	return "store", at, at.Add(roster.Freshness)
}

// known reports whether the document, or its absence, was read.
func (p *proofs) known(document string) bool { return !p.read[document].IsZero() }

// announce takes note that a version is about to exist.
func (p *proofs) announce(time.Time, daemon.Announcement) bool { return true }
