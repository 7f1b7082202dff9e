package share

import (
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// BrokerID names a broker. A host may be the broker of the hosts that reach the leader, as the leader, and that of others.
type BrokerID struct {
	Host   model.HostID
	Deputy bool // the host stands in for a leader that its members do not reach
}

// Member tells which broker counts the part of a host, so that no two hand it out at the same time. A broker counts a host
// for a while after a report, also after one whose answer was lost.
type Membership struct {
	broker BrokerID
	until  time.Time // the broker may count this host until then
}

// Enter records that a report which lets the broker count this host is sent now. It refuses while another one may count it.
func (m *Membership) Join(now time.Time, broker BrokerID) bool {
	if m.broker != broker && now.Before(m.until) {
		return false
	}
	m.broker, m.until = broker, now.Add(heardFor)
	return true
}

// Left records that the broker counts this host no more: it has said so, or its process has ended.
func (m *Membership) Leave(broker BrokerID) {
	if m.broker == broker {
		*m = Membership{}
	}
}
