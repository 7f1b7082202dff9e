package share

import (
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// BrokerID identifies a broker. The same host can be a broker as the leader and, separately, as a deputy.
type BrokerID struct {
	Host   model.HostID
	Deputy bool // the host replaces a leader that its members cannot reach
}

// Membership records which broker counts a host as its member, so that no two brokers hand out the share of the host at
// the same time. A broker counts a host for memberTTL after a report, even if its answer was lost.
type Membership struct {
	broker BrokerID
	expiry time.Time // the broker may count this host until this time
}

// Join records that a report which makes this host a member of the broker is sent now. It returns false while another
// broker may still count the host.
func (m *Membership) Join(now time.Time, broker BrokerID) bool {
	if m.broker != broker && now.Before(m.expiry) {
		return false
	}
	m.broker, m.expiry = broker, now.Add(memberTTL)
	return true
}

// Leave records that the broker no longer counts this host, because the broker has confirmed this or its process has
// ended.
func (m *Membership) Leave(broker BrokerID) {
	if m.broker == broker {
		*m = Membership{}
	}
}
