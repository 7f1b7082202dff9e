package fleet

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
	"github.com/waxwingspindle/waxwingspindle/share"
)

// Guards against a host with a narrow link that leads a large fleet because it noticed the end of the last lease a little
// earlier than the large hosts: its link fills, its probes time out, and it replaces primaries that serve (grown Nairobi site,
// trouble-3). Guards as well against a host that campaigns with a view in which larger hosts are missing.
func TestWeakHostsCampaignLast(t *testing.T) {
	v := newClusterView()
	add := func(name string, count int, linkMbps float64) {
		for i := range count {
			id := model.HostID(fmt.Sprintf("%s-%d", name, i))
			v.hosts[id] = Host{ID: id, Incarnation: 1, LinkMbps: linkMbps}
		}
	}
	add("wide", 6, 200)
	add("narrow", 75, 10)
	const noticedApart = 500 * time.Millisecond // two checks of the control goroutine
	lastWide, wideEligible := v.campaignDelay(v.hosts["wide-5"])
	firstNarrow, narrowEligible := v.campaignDelay(v.hosts["narrow-0"])
	if !wideEligible || !narrowEligible || firstNarrow < lastWide+noticedApart {
		t.Errorf("the last wide host waits for %v, the first narrow one for %v", lastWide, firstNarrow)
	}
	if _, eligible := v.campaignDelay(Host{ID: "narrow-0", Incarnation: 2}); eligible {
		t.Error("a host campaigns with a view that is older than its registration")
	}
	same := newClusterView()
	same.hosts["a"], same.hosts["b"] = Host{ID: "a", LinkMbps: 10}, Host{ID: "b", LinkMbps: 10}
	if delay, eligible := same.campaignDelay(same.hosts["b"]); !eligible || delay > replacePollInterval {
		t.Errorf("in a fleet of equal hosts the second one waits for %v", delay)
	}
}

// Guards against a planned replacement that does not wait for a host which has stopped reporting, or has just registered:
// the leader does not look at all reports for each service.
func TestAllHostsReport(t *testing.T) {
	now := time.Unix(1000, 0)
	v := newClusterView()
	v.hosts["a"], v.hosts["b"] = Host{ID: "a"}, Host{ID: "b"}
	term := &leadership{reports: map[model.HostID]hostReport{"a": {at: now}, "b": {at: now.Add(-300 * time.Millisecond)}}}
	expect := func(when string, v *clusterView, at time.Time, want bool) {
		t.Helper()
		if got := term.allHostsReport(v, at); got != want {
			t.Errorf("%s: %t, want %t", when, got, want)
		}
	}
	expect("both have reported", v, now, true)
	expect("both have reported, again", v, now.Add(700*time.Millisecond), true)
	expect("one is late", v, now.Add(701*time.Millisecond), false)
	term.reports["b"] = hostReport{at: now.Add(701 * time.Millisecond)}
	expect("it has reported", v, now.Add(701*time.Millisecond), true)
	expect("the other one is late", v, now.Add(1001*time.Millisecond), false)
	term.reports["a"] = hostReport{at: now.Add(1001 * time.Millisecond)}
	expect("both have reported later", v, now.Add(1001*time.Millisecond), true)
	joined := newClusterView()
	joined.hosts["a"], joined.hosts["b"], joined.hosts["c"] = Host{}, Host{}, Host{}
	expect("a host has joined", joined, now.Add(1001*time.Millisecond), false)
}

// slowPromoter is a platform that answers an order when it is told to, whether the sender still waits or not.
type slowPromoter struct {
	received chan struct{}
	answer   chan struct{}
	answered atomic.Bool
}

func (p *slowPromoter) Promote(context.Context, model.Service, model.TargetID, uint64) error {
	p.received <- struct{}{}
	<-p.answer
	p.answered.Store(true)
	return nil
}

// Guards against a promotion that the platform carries out after one of the successor, because the leader offered its place while
// an order was on its way.
func TestHandOverWaitsForOrder(t *testing.T) {
	s := newTestSupervisor(t, newMemoryStore())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s.stopSupervision, s.broker = cancel, share.NewBroker(boottime.Now())
	platform := &slowPromoter{received: make(chan struct{}, 1), answer: make(chan struct{})}
	s.agent.Promoter = platform
	go s.orderPromotion(ctx, primacy.Candidate{ID: "b"})
	<-platform.received
	done := make(chan bool)
	go func() {
		s.handOver()
		done <- platform.answered.Load()
	}()
	time.AfterFunc(100*time.Millisecond, func() { close(platform.answer) })
	if answered := <-done; !answered {
		t.Error("the leadership was offered while an order was on its way")
	}
	if s.orderPromotion(ctx, primacy.Candidate{ID: "c"}) {
		t.Error("a leader that has handed over ordered a promotion")
	}
}

// Guards against a leader's key that is written late, after the host has given up on it: no host would lead until the lease ends.
func TestLateLeadershipEndsWithItsLease(t *testing.T) {
	store := newMemoryStore()
	a := newRegisteringAgent(store, 1)
	store.setDelay(true)
	if term, _ := a.acquireLeadership(t.Context(), 0); term != nil {
		t.Fatal("the host leads without a reply of the store")
	}
	revoked := func() bool {
		store.mu.Lock()
		defer store.mu.Unlock()
		return len(store.delayedRevocations) > 0
	}
	for deadline := time.Now().Add(10 * time.Second); !revoked(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the lease of the key was not ended")
		}
	}
	late := store.delayed[0]
	store.applyDelayed()
	if item, exists := store.items[leaderKey]; exists {
		t.Errorf("the key names %s, which does not lead", item.Value)
	}
	if _, err := store.apply(late); !errors.Is(err, metastore.ErrLeaseEnded) {
		t.Errorf("the write after the end of the lease ended with %v", err)
	}
}
