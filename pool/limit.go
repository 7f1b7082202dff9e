package pool

import "time"

const (
	// refusedLimitStep is the time after which one more connection is tried on a target that has refused one. The target counts
	// the connections of a host without power for three seconds, and drops them one after the other.
	refusedLimitStep = 100 * time.Millisecond
	// refusedLimitTTL is the time after the last refusal from which on the configured limit applies again.
	refusedLimitTTL = time.Second
)

// refusedLimit is the number of connections that a target has accepted from this host when it refused one more, because all
// hosts together held too many. It answers the return after a loss of all hosts: the target still counts the connections of the
// lost processes. A host that keeps to what the target accepts closes idle connections of other workspaces and goes on, instead of
// waiting for connections that are refused.
type refusedLimit struct {
	limit     int
	refusedAt time.Time
}

// refused records a refusal while the host holds n connections.
func (l *refusedLimit) refused(now time.Time, n int) { *l = refusedLimit{max(1, n), now} }

// opened records that the host holds n connections.
func (l *refusedLimit) opened(n int) { l.limit = max(l.limit, n) }

// current returns the limit at the given time, at most configured.
func (l *refusedLimit) current(now time.Time, configured int) int {
	elapsed := now.Sub(l.refusedAt)
	if l.refusedAt.IsZero() || elapsed > refusedLimitTTL {
		return configured
	}
	return min(configured, l.limit+int(elapsed/refusedLimitStep))
}

// limit returns the number of connections that this host may hold to the target at the moment.
func (t *target) limit(now time.Time) int { return t.refusedLimit.current(now, t.Limit) }

// retained returns the number of connections that stay open while they are idle.
func (t Target) retained() int {
	if t.Retained > 0 {
		return t.Retained
	}
	return max(1, int(retainedFraction*float64(t.Limit)))
}

// OpenRefused reports that the target has refused an Open action because it has too many connections.
func (p *Pool) OpenRefused(now time.Time, id ConnID) []Action {
	c := p.conn(id)
	if c == nil {
		return nil
	}
	t := p.targets[c.target]
	if t == nil || !t.AdaptLimit {
		return p.OpenFinished(now, id, false)
	}
	p.remove(id)
	if t.refusedLimit.refused(now, p.connCount(t.ID)); p.connCount(t.ID) == 0 {
		t.backoffUntil = now.Add(openBackoff) // there is no connection to reuse, so that only another attempt can help
	}
	return p.schedule(now)
}
