package target_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
	standin "github.com/waxwingspindle/waxwingspindle/standin/target"
	"github.com/waxwingspindle/waxwingspindle/target"
)

const (
	historySeeds   = 12
	historyClients = 4
	historyWrites  = 12
	historyRounds  = 10
	historyTimeout = time.Second
)

// history runs clients that append tokens to a value while faults and failovers are injected.
type history struct {
	*fixture
	random  *rand.Rand // used only by the goroutine that injects faults
	pools   []*target.Pool
	members []*target.MemberClient
	primary atomic.Int32

	mu    sync.Mutex
	acked []string
}

// TestHistoryUnderFaults guards against lost acknowledged writes, writes that run twice, and replicas that return data
// older than a session has read, while members are killed, partitioned, frozen or stop answering on open connections.
func TestHistoryUnderFaults(t *testing.T) {
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			withFixture(t, standin.GroupOptions{}, target.Options{}, func(f *fixture) {
				h := &history{fixture: f, random: rand.New(rand.NewPCG(seed, 0))}
				h.run()
			})
		})
	}
}

func (h *history) run() {
	for _, m := range h.group.Members {
		pool := h.newPool(m, target.Options{MaxConnections: 4, MaintenanceInterval: 200 * time.Millisecond})
		defer pool.Close()
		h.pools = append(h.pools, pool)
		h.members = append(h.members, h.member(m))
	}
	h.writeUntilDurable(request("first"), upsert("log", ""))
	var clients sync.WaitGroup
	for c := range historyClients {
		clients.Go(func() { h.runClient(c) })
	}
	term := uint64(1)
	for range historyRounds {
		m := h.group.Members[h.random.IntN(len(h.group.Members))]
		end := h.injectFault(m)
		time.Sleep(time.Second)
		term = h.failOver(term)
		time.Sleep(time.Second)
		end()
	}
	for !h.allFollowPrimary(term) {
		term = h.failOver(term)
	}
	clients.Wait()
	h.checkLog()
}

// injectFault starts a random fault of a member and returns the function that ends it. The function does nothing for lost
// connections, lost replies and a changed replication lag.
func (h *history) injectFault(m *standin.Member) func() {
	switch h.random.IntN(7) {
	case 0:
		m.Kill()
		return func() {
			if err := m.Restart(); err != nil {
				h.Error(err)
			}
		}
	case 1:
		m.Partition(standin.AllPeers, standin.Both)
		return m.Heal
	case 2:
		m.Partition(standin.AllPeers, standin.Outbound)
		return m.Heal
	case 3:
		m.SetFrozen(true)
		return func() { m.SetFrozen(false) }
	case 4:
		m.SilenceConnections()
	case 5:
		m.DropResponses(3)
	case 6:
		m.SetReplicationLag(time.Duration(h.random.IntN(500)) * time.Millisecond)
	}
	return func() {}
}

// failOver makes the members adopt a new term and, if a majority did, promotes the one with the latest position among
// them. It returns the new term.
func (h *history) failOver(term uint64) uint64 {
	term++
	best, adopted := -1, 0
	var position model.Position
	for i, m := range h.members {
		status, err := m.Adopt(h.timeoutContext(historyTimeout), term, "home")
		if err != nil {
			continue
		}
		adopted++
		if best < 0 || position.Max(status.Position) != position {
			best, position = i, status.Position
		}
	}
	if adopted <= len(h.members)/2 {
		return term
	}
	if _, err := h.members[best].Promote(h.timeoutContext(historyTimeout), term, "home"); err != nil {
		return term
	}
	h.primary.Store(int32(best))
	for i, m := range h.members {
		if i != best {
			// A member that this command does not reach follows in the next term.
			_, _ = m.Follow(h.timeoutContext(historyTimeout), term, h.group.Members[best].Address())
		}
	}
	return term
}

// allFollowPrimary reports whether all members adopted the term and only the primary reports itself as the primary.
func (h *history) allFollowPrimary(term uint64) bool {
	for i, m := range h.members {
		status, err := m.Status(h.timeoutContext(historyTimeout))
		if err != nil || status.AdoptedTerm != term || status.IsPrimary() != (i == int(h.primary.Load())) {
			return false
		}
	}
	return true
}

// runClient appends its tokens one after another and reads each one from every member that covers it.
func (h *history) runClient(c int) {
	for i := range historyWrites {
		token := fmt.Sprintf("%d.%d;", c, i)
		position := h.writeUntilDurable(request(token), appendTo("log", token))
		h.mu.Lock()
		h.acked = append(h.acked, token)
		h.mu.Unlock()
		for m, pool := range h.pools {
			response := pool.Read(h.timeoutContext(historyTimeout), selectKey("log"), position)
			if response.Result.Outcome == model.OutcomeDone && !containsToken(response.Rows, token) {
				h.Errorf("member %d at %v does not have %q, which was acknowledged at %v", m, response.Position, token, position)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func containsToken(rows target.Rows, token string) bool {
	return len(rows.Values) == 1 && strings.Contains(*rows.Values[0][0], token)
}

// writeUntilDurable retries a write with the same request ID until it is durable.
func (h *history) writeUntilDurable(r target.Request, s target.Statement) model.Position {
	for {
		pool := h.pools[h.primary.Load()]
		response := pool.Write(h.timeoutContext(historyTimeout), r, s)
		if response.Result.Outcome == model.OutcomeDone && h.isDurable(response.Position) {
			return response.Position
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// isDurable reports whether a replica that adopted the position's term has reached the position.
func (h *history) isDurable(p model.Position) bool {
	confirmed := make(chan bool)
	for _, m := range h.members {
		go func() {
			status, err := m.WaitPosition(h.timeoutContext(historyTimeout), p)
			confirmed <- err == nil && status.AdoptedTerm == p.Term && status.Role == target.RoleReplica
		}()
	}
	durable := false
	for range h.members {
		durable = <-confirmed || durable
	}
	return durable
}

// checkLog checks that the log contains every acknowledged token exactly once.
func (h *history) checkLog() {
	log := h.readValue(h.group.Members[h.primary.Load()], "log")
	counts := map[string]int{}
	for _, token := range strings.SplitAfter(log, ";") {
		counts[token]++
	}
	for _, token := range h.acked {
		if counts[token] != 1 {
			h.Errorf("the acknowledged token %q occurs %d times in the log, want 1", token, counts[token])
		}
	}
	if len(h.acked) != historyClients*historyWrites {
		h.Errorf("%d tokens were acknowledged, want %d", len(h.acked), historyClients*historyWrites)
	}
}
