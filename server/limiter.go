package server

import (
	"context"
	"sync"
	"time"

	"github.com/waxwingspindle/waxwingspindle/limit"
	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// limitCallTimeout bounds a call to another host's limiter. It is short because a lost message only causes a delay.
	limitCallTimeout = 300 * time.Millisecond
	// limiterMaxSleep is the longest interval between runs of the limiter.
	limiterMaxSleep = time.Second
)

// limitTransport sends rate limit messages to other hosts.
type limitTransport interface {
	sendLoans(ctx context.Context, to model.HostID, batch limit.LoanBatch) (limit.LoanReply, error)
	requestTokens(ctx context.Context, to model.HostID, request limit.TokenRequest) (limit.TokenReply, error)
}

// limiter runs the holder, the broker and the spender of a host. Token buckets are used by request goroutines, so they are
// guarded by a mutex instead of the control loop.
type limiter struct {
	host      model.HostID
	transport limitTransport
	fresh     func(now time.Time) bool // reports whether the host has a proof that its roster is fresh
	wake      chan struct{}
	inFlight  sync.WaitGroup

	mu         sync.Mutex
	holder     *limit.Holder
	broker     *limit.Broker
	spender    *limit.Spender
	waiting    map[uint64]chan limit.Decision
	lastTicket uint64

	slotsReleased bool // the slots were released during shutdown; later rosters are ignored
}

func newLimiter(host model.HostID, incarnation model.Incarnation, shareSlots int, t limitTransport,
	fresh func(time.Time) bool) *limiter {
	return &limiter{
		host:      host,
		transport: t,
		fresh:     fresh,
		wake:      make(chan struct{}, 1),
		holder:    limit.NewHolder(host, incarnation, shareSlots),
		broker:    limit.NewBroker(incarnation, time.Now()),
		spender:   limit.NewSpender(host, incarnation),
		waiting:   map[uint64]chan limit.Decision{},
	}
}

// admit takes a token for a request of the workspace, waiting at most limit.MaxWait for one. It checks freshness again,
// because the process may have been paused since the request was checked.
func (l *limiter) admit(ctx context.Context, w model.Workspace) limit.Decision {
	l.mu.Lock()
	now := time.Now()
	if !l.fresh(now) {
		l.mu.Unlock()
		return limit.Decision{Workspace: w, Status: limit.Refused}
	}
	if l.holder.Admit(now, w) {
		l.mu.Unlock()
		return limit.Decision{Workspace: w, Status: limit.Admitted}
	}
	l.lastTicket++
	ticket := l.lastTicket
	d := l.spender.Admit(now, w, ticket)
	if d.Status != limit.Pending {
		l.runDueLocked(now)
		l.mu.Unlock()
		return d
	}
	answer := make(chan limit.Decision, 1)
	l.waiting[ticket] = answer
	l.runDueLocked(now)
	l.mu.Unlock()
	l.wakeUp()
	return l.awaitDecision(ctx, w, ticket, answer)
}

// awaitDecision waits for the decision about a queued request. If the context is done first, it removes the request from
// the queue.
func (l *limiter) awaitDecision(ctx context.Context, w model.Workspace, ticket uint64,
	answer chan limit.Decision) limit.Decision {
	select {
	case d := <-answer:
		return d
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, ticket)
	l.spender.Cancel(w, ticket)
	return limit.Decision{Ticket: ticket, Workspace: w, Status: limit.Refused}
}

// setBrokers replaces the assignment of brokers after a change of the membership.
func (l *limiter) setBrokers(brokerOf limit.BrokerLookup) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.SetBrokers(brokerOf)
	l.spender.SetBrokers(brokerOf)
	l.wakeUp()
}

// setLimits replaces the limits of the workspaces after a change of the configuration.
func (l *limiter) setLimits(limits map[model.Workspace]limit.Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.SetLimits(time.Now(), limits)
	l.wakeUp()
}

// setSlots replaces the share slots of this host after a change of the roster.
func (l *limiter) setSlots(slots []limit.Slot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.slotsReleased {
		return
	}
	l.holder.SetSlots(time.Now(), slots)
	l.wakeUp()
}

// handleLoans processes the loans of a holder at this host's broker.
func (l *limiter) handleLoans(batch limit.LoanBatch) limit.LoanReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.broker.HandleLoans(time.Now(), batch)
}

// handleTokens processes the token request of a spender at this host's broker.
func (l *limiter) handleTokens(request limit.TokenRequest) limit.TokenReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.broker.HandleTokens(time.Now(), request)
}

// run sends due messages until the context is cancelled.
func (l *limiter) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-l.wake:
		}
		timer.Reset(l.runDue())
	}
}

func (l *limiter) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// runDue sends due messages, delivers decisions, and returns the time until the next run.
func (l *limiter) runDue() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.runDueLocked(now)
	next := now.Add(limiterMaxSleep)
	for _, due := range []time.Time{l.holder.NextDue(now), l.spender.NextDue()} {
		if !due.IsZero() && due.Before(next) {
			next = due
		}
	}
	return max(next.Sub(now), time.Millisecond)
}

// runDueLocked sends due messages and delivers decisions. l.mu must be held. A host without a proof of freshness lends
// nothing, because its slots may have been assigned to another host.
func (l *limiter) runDueLocked(now time.Time) {
	if !l.fresh(now) {
		return
	}
	for _, m := range l.holder.Messages(now) {
		l.inFlight.Go(func() { l.sendLoanBatch(m) })
	}
	messages, decisions := l.spender.Poll(now)
	for _, m := range messages {
		l.inFlight.Go(func() { l.sendTokenRequest(m) })
	}
	l.deliver(decisions)
}

func (l *limiter) deliver(decisions []limit.Decision) {
	for _, d := range decisions {
		if answer, ok := l.waiting[d.Ticket]; ok {
			delete(l.waiting, d.Ticket)
			answer <- d
		}
	}
}

func (l *limiter) sendLoanBatch(m limit.LoanMessage) {
	ctx, cancel := context.WithTimeout(context.Background(), limitCallTimeout)
	defer cancel()
	var reply limit.LoanReply
	if m.To == l.host {
		reply = l.handleLoans(m.Batch)
	} else {
		var err error
		if reply, err = l.transport.sendLoans(ctx, m.To, m.Batch); err != nil {
			return
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.HandleReply(time.Now(), m.To, reply)
	l.wakeUp()
}

func (l *limiter) sendTokenRequest(m limit.TokenMessage) {
	ctx, cancel := context.WithTimeout(context.Background(), limitCallTimeout)
	defer cancel()
	var reply limit.TokenReply
	if m.To == l.host {
		reply = l.handleTokens(m.Request)
	} else {
		var err error
		if reply, err = l.transport.requestTokens(ctx, m.To, m.Request); err != nil {
			return
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliver(l.spender.HandleReply(time.Now(), m.To, reply))
	l.runDueLocked(time.Now())
	l.wakeUp()
}

// drain returns grants and loans. It waits until all are settled or the context is done.
func (l *limiter) drain(ctx context.Context) {
	l.mu.Lock()
	l.spender.Drain()
	l.holder.Drain()
	l.mu.Unlock()
	for !l.drained() && ctx.Err() == nil {
		l.runDue()
		time.Sleep(10 * time.Millisecond)
	}
}

// releaseSlots permanently stops the use of this host's slots. It returns false if tokens of them are still lent.
func (l *limiter) releaseSlots() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.holder.HasLoans(time.Now()) {
		return false
	}
	l.holder.SetSlots(time.Now(), nil)
	l.slotsReleased = true
	return true
}

func (l *limiter) drained() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	return l.spender.Drained(now) && !l.holder.HasLoans(now) && l.broker.Idle(now)
}
