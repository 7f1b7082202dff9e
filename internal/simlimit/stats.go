package simlimit

import (
	"encoding/gob"
	"math"
	"time"

	"github.com/waxwingspindle/waxwingspindle/limit"
)

// Stats holds the request counts of one workspace, or the totals of all workspaces.
type Stats struct {
	Offered         int
	Admitted        int
	CentralAdmitted int     // requests admitted by a single central bucket
	FalseRefusals   int     // refused requests that the central bucket admitted
	OverAdmission   float64 // maximum of count − rate × length − burst over all windows, at least 0

	TailOffered, TailAdmitted, TailCentralAdmitted int
}

func (s *Stats) countOffered(r *request) {
	s.Offered++
	if r.central {
		s.CentralAdmitted++
	}
}

func (s *Stats) add(other Stats) {
	s.Offered += other.Offered
	s.Admitted += other.Admitted
	s.CentralAdmitted += other.CentralAdmitted
	s.FalseRefusals += other.FalseRefusals
	s.OverAdmission = math.Max(s.OverAdmission, other.OverAdmission)
	s.TailOffered += other.TailOffered
	s.TailAdmitted += other.TailAdmitted
	s.TailCentralAdmitted += other.TailCentralAdmitted
}

// FalseRefusalsPerMille returns the refused requests that the central bucket admitted, per thousand requests.
func (s Stats) FalseRefusalsPerMille() float64 { return perMille(s.FalseRefusals, s.Offered) }

// ShortfallPerMille returns how many fewer requests were admitted than by the central bucket, per thousand requests. Under
// overload it differs from FalseRefusalsPerMille, because the two may admit equally many but different requests.
func (s Stats) ShortfallPerMille() float64 {
	return perMille(max(0, s.CentralAdmitted-s.Admitted), s.Offered)
}

// perMille returns n per thousand of the total, or 0 if the total is 0.
func perMille(n, total int) float64 {
	if total == 0 {
		return 0
	}
	return 1000 * float64(n) / float64(total)
}

// Traffic is the rate of messages between hosts. Requests and replies are counted at both the sender and the receiver.
type Traffic struct {
	MessagesMean, MessagesMax float64 // per second and host
	BytesMean, BytesMax       float64 // per second and host
}

// Result is the result of a simulation.
type Result struct {
	Hosts      int
	Total      Stats
	Workspaces []Stats
	Messages   Traffic
}

// trafficMeter counts the messages of each host and their encoded size.
type trafficMeter struct {
	messages []int
	bytes    []int
	written  int
	encoders map[string]*gob.Encoder
}

func newTrafficMeter(hosts int) *trafficMeter {
	return &trafficMeter{messages: make([]int, hosts), bytes: make([]int, hosts), encoders: map[string]*gob.Encoder{}}
}

// Write counts the bytes written by the encoders.
func (m *trafficMeter) Write(b []byte) (int, error) {
	m.written += len(b)
	return len(b), nil
}

// size returns the encoded size of a message on a connection that has already transmitted the type definition.
func (m *trafficMeter) size(message any) int {
	name := "token"
	switch message.(type) {
	case limit.LoanBatch:
		name = "loan"
	case limit.LoanReply:
		name = "loan-reply"
	case limit.TokenReply:
		name = "token-reply"
	case ownerMessage:
		name = "owner"
	}
	e := m.encoders[name]
	if e == nil {
		e = gob.NewEncoder(m)
		m.encoders[name] = e
		m.encode(e, message)
	}
	m.written = 0
	m.encode(e, message)
	return m.written
}

func (m *trafficMeter) encode(e *gob.Encoder, message any) {
	if err := e.Encode(message); err != nil {
		panic(err) // all message types are encodable
	}
}

func (m *trafficMeter) count(from, to *host, size int) {
	for _, h := range []*host{from, to} {
		m.messages[h.index]++
		m.bytes[h.index] += size
	}
}

func (m *trafficMeter) rates(d time.Duration) Traffic {
	var t Traffic
	hosts := float64(len(m.messages))
	for i := range m.messages {
		n, b := float64(m.messages[i])/d.Seconds(), float64(m.bytes[i])/d.Seconds()
		t.MessagesMean += n / hosts
		t.BytesMean += b / hosts
		t.MessagesMax = math.Max(t.MessagesMax, n)
		t.BytesMax = math.Max(t.BytesMax, b)
	}
	return t
}
