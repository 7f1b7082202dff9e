package coldstart

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against more requests to a cold target than 1.5 times the rate plus 5 in any second, over all hosts and with the
// leader's probes, and against a target that gets none although the rate allows some.
func TestHostsKeepToBound(t *testing.T) {
	for _, perSecond := range []float64{0.5, 1, 5, 10, 25, 100} {
		for _, hosts := range []int{1, 3, 16, 75} {
			random := rand.New(rand.NewPCG(uint64(perSecond*10), uint64(hosts)))
			weights := make([]float64, hosts)
			for i := range weights {
				weights[i] = float64(random.IntN(20))
			}
			weights[hosts/2] = 20
			buckets, shares := make([]Bucket, hosts), make([]Rate, hosts)
			for i := range shares {
				shares[i] = Share(perSecond, weights, i)
			}
			var sent []time.Duration
			start, probed := time.Unix(1000, 0), -ProbeInterval
			for now := time.Duration(0); now < 10*time.Second; now += 5 * time.Millisecond {
				if now-probed >= ProbeInterval {
					sent, probed = append(sent, now), now
				}
				if phase := now % (3 * time.Second); phase < time.Second {
					continue // the hosts save tokens
				}
				for i := range buckets {
					for buckets[i].Allows(start.Add(now), shares[i]) {
						buckets[i].Take(start.Add(now), shares[i], 1)
						sent = append(sent, now)
					}
				}
			}
			for first, last := 0, 0; last < len(sent); last++ {
				for sent[last]-sent[first] >= time.Second {
					first++
				}
				if count := float64(last - first + 1); count > 1.5*perSecond+5 {
					t.Fatalf("%g a second, %d hosts: %g requests in a second", perSecond, hosts, count)
				}
			}
			if probes := 25.0; float64(len(sent))-probes < 0.4*perSecond*10 {
				t.Errorf("%g a second, %d hosts: only %d requests in 10 s", perSecond, hosts, len(sent))
			}
		}
	}
}

// Guards against a host that gets a share although it may not connect to the target, or although there are more hosts
// than tokens.
func TestShareOfFewHosts(t *testing.T) {
	weights := make([]float64, 40)
	for i := range weights {
		weights[i] = 2
	}
	weights[30], weights[7] = 20, 0
	with := 0
	for i := range weights {
		if share := Share(10, weights, i); share.Burst > 0 {
			with++
			if share.Burst < 1 {
				t.Errorf("host %d never has a token: %+v", i, share)
			}
		}
	}
	if with != 6 || Share(10, weights, 30).Burst == 0 || Share(10, weights, 7) != (Rate{}) {
		t.Errorf("%d hosts have a share", with)
	}
}

// Guards against requests of open transactions that do not count.
func TestDebtIsPaid(t *testing.T) {
	var b Bucket
	rate, now := Rate{PerSecond: 2, Burst: 1}, time.Unix(1000, 0)
	b.Take(now, rate, 3)
	if b.Allows(now.Add(time.Second), rate) || !b.Allows(now.Add(1500*time.Millisecond), rate) {
		t.Error("a debt of two requests has to be paid in a second and a half")
	}
}
