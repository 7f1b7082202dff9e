package server

import (
	"context"
	"sync"
	"time"

	"github.com/waxwingspindle/waxwingspindle/limit"
	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// limitCallTimeout bounds a message of the limits. A lost message costs nothing but time, so it is short.
	limitCallTimeout = 300 * time.Millisecond
	// limitIdle is the longest sleep of the limiter when nothing is due.
	limitIdle = time.Second
)

// limitTransport carries the messages of the limits to other hosts.
type limitTransport interface {
	lend(ctx context.Context, to model.HostID, batch limit.LoanBatch) (limit.LoanReply, error)
	tokens(ctx context.Context, to model.HostID, request limit.TokenRequest) (limit.TokenReply, error)
}

// limiter drives the holder, the broker and the spender of a host. Token buckets are traffic state, so they have a lock
// of their own.
type limiter struct {
	host      model.HostID
	transport limitTransport
	fresh     func(now time.Time) bool // the host has a proof that its roster is fresh
	wake      chan struct{}
	calls     sync.WaitGroup

	mu      sync.Mutex
	holder  *limit.Holder
	broker  *limit.Broker
	spender *limit.Spender
	waiting map[uint64]chan limit.Decision
	ticket  uint64

	released bool // the slots were given back for good
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

// admit takes a token for a request of the workspace, and waits for one for at most limit.Wait. Freshness is checked at
// the moment of the admission, because the process may have been paused since the request was checked.
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
	l.ticket++
	ticket := l.ticket
	d := l.spender.Admit(now, w, ticket)
	if d.Status != limit.Pending {
		l.pollLocked(now)
		l.mu.Unlock()
		return d
	}
	answer := make(chan limit.Decision, 1)
	l.waiting[ticket] = answer
	l.pollLocked(now)
	l.mu.Unlock()
	l.wakeUp()
	return l.wait(ctx, w, ticket, answer)
}

// wait returns the decision about a waiting request. A request whose caller has gone gives its place up.
func (l *limiter) wait(ctx context.Context, w model.Workspace, ticket uint64, answer chan limit.Decision) limit.Decision {
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

// setBrokers follows a change of the membership.
func (l *limiter) setBrokers(of limit.BrokerLookup) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.SetBrokers(of)
	l.spender.SetBrokers(of)
	l.wakeUp()
}

// setLimits follows a change of the configuration.
func (l *limiter) setLimits(limits map[model.Workspace]limit.Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.SetLimits(time.Now(), limits)
	l.wakeUp()
}

// setSlots follows a change of the roster.
func (l *limiter) setSlots(slots []limit.Slot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released {
		return
	}
	l.holder.SetSlots(time.Now(), slots)
	l.wakeUp()
}

// handleLoans answers a holder.
func (l *limiter) handleLoans(batch limit.LoanBatch) limit.LoanReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.broker.HandleLoans(time.Now(), batch)
}

// handleTokens answers a spender.
func (l *limiter) handleTokens(request limit.TokenRequest) limit.TokenReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.broker.HandleTokens(time.Now(), request)
}

// run sends the messages that are due until the context ends.
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
		timer.Reset(l.poll())
	}
}

func (l *limiter) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// poll does what is due and returns the time until something is due again.
func (l *limiter) poll() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.pollLocked(now)
	next := now.Add(limitIdle)
	for _, at := range []time.Time{l.holder.NextDue(now), l.spender.NextDue()} {
		if !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	return max(next.Sub(now), time.Millisecond)
}

// pollLocked does what is due. A host without a proof of freshness lends nothing, because its slots may be another
// host's.
func (l *limiter) pollLocked(now time.Time) {
	if !l.fresh(now) {
		return
	}
	for _, m := range l.holder.Messages(now) {
		l.calls.Go(func() { l.lend(m) })
	}
	messages, decisions := l.spender.Poll(now)
	for _, m := range messages {
		l.calls.Go(func() { l.ask(m) })
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

func (l *limiter) lend(m limit.LoanMessage) {
	ctx, cancel := context.WithTimeout(context.Background(), limitCallTimeout)
	defer cancel()
	var reply limit.LoanReply
	if m.To == l.host {
		reply = l.handleLoans(m.Batch)
	} else {
		var err error
		if reply, err = l.transport.lend(ctx, m.To, m.Batch); err != nil {
			return
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.HandleReply(time.Now(), m.To, reply)
	l.wakeUp()
}

func (l *limiter) ask(m limit.TokenMessage) {
	ctx, cancel := context.WithTimeout(context.Background(), limitCallTimeout)
	defer cancel()
	var reply limit.TokenReply
	if m.To == l.host {
		reply = l.handleTokens(m.Request)
	} else {
		var err error
		if reply, err = l.transport.tokens(ctx, m.To, m.Request); err != nil {
			return
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliver(l.spender.HandleReply(time.Now(), m.To, reply))
	l.pollLocked(time.Now())
	l.wakeUp()
}

// drain hands back grants and loans, and returns when nothing is left or the context ends.
func (l *limiter) drain(ctx context.Context) {
	l.mu.Lock()
	l.spender.Drain()
	l.holder.Drain()
	l.mu.Unlock()
	for !l.drained() && ctx.Err() == nil {
		l.poll()
		time.Sleep(10 * time.Millisecond)
	}
}

// releaseSlots stops the use of this host's slots for good. It reports false while some of them are lent.
func (l *limiter) releaseSlots() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.holder.HasLoans(time.Now()) {
		return false
	}
	l.holder.SetSlots(time.Now(), nil)
	l.released = true
	return true
}

func (l *limiter) drained() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	return l.spender.Drained(now) && !l.holder.HasLoans(now) && l.broker.Idle(now)
}
