package target

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

// maxAdminBodyBytes is the number of bytes that are read from the body of an admin request.
const maxAdminBodyBytes = 1 << 20

// FaultRequest is the body of POST /members/{id}/faults. Omitted fields leave the corresponding fault unchanged.
type FaultRequest struct {
	Partitions         []PartitionRequest `json:"cut,omitempty"`
	Heal               bool               `json:"heal,omitempty"` // end all partitions before adding new ones
	Frozen             *bool              `json:"frozen,omitempty"`
	RefuseConnections  *bool              `json:"refuse,omitempty"`  // refuse new connections
	SilenceConnections bool               `json:"silence,omitempty"` // silence the open connections permanently
	ReplicationLagMS   *int               `json:"lag_ms,omitempty"`  // replication lag
	StatementTimeMS    *int               `json:"statement_time_ms,omitempty"`
	DropResponses      *int               `json:"lose_answers,omitempty"` // number of commits without a response
}

// PartitionRequest is a network partition between a member and its peers.
type PartitionRequest struct {
	Peer      string `json:"peer"`      // name of a member, "" for clients, "*" for all peers
	Direction string `json:"direction"` // "in", "out", "both" or "none"
}

// MemberInfo describes a member in the response to GET /members.
type MemberInfo struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Status
	ConnectionCount int `json:"connections"`
}

var directions = map[string]Direction{"in": Inbound, "out": Outbound, "both": Both, "none": 0}

// ServeAdmin serves the admin interface of a group on address until ctx ends.
func ServeAdmin(ctx context.Context, address string, g *Group) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return trace.Wrap(err)
	}
	server := &http.Server{Handler: AdminHandler(g), ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

// AdminHandler returns the HTTP/JSON admin interface of a group:
//
//	GET  /members                    status of all members
//	POST /members/{id}/faults        set faults (FaultRequest)
//	POST /members/{id}/kill          kill a member
//	POST /members/{id}/restart       restart a member with its durable state
//	GET  /history?after=N            events after sequence number N
//	GET  /received                   bytes received from clients by connection, in base64
//	POST /received/contains          whether a client connection received the bytes of the body
func AdminHandler(g *Group) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /members", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, g.memberInfos()) })
	mux.HandleFunc("POST /members/{id}/faults", withMember(g, setFaults))
	mux.HandleFunc("POST /members/{id}/kill", withMember(g, func(m *Member, _ *http.Request) error {
		m.Kill()
		return nil
	}))
	mux.HandleFunc("POST /members/{id}/restart", withMember(g, func(m *Member, _ *http.Request) error {
		return trace.Wrap(m.Restart())
	}))
	mux.HandleFunc("GET /history", func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		if err != nil && r.URL.Query().Has("after") {
			writeError(w, trace.BadParameter("after is no number"))
			return
		}
		writeJSON(w, g.History.Events(after))
	})
	mux.HandleFunc("GET /received", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, g.History.ReceivedBytes()) })
	mux.HandleFunc("POST /received/contains", func(w http.ResponseWriter, r *http.Request) {
		body, err := readBody(r)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, map[string]bool{"contains": g.History.HasReceived(body)})
	})
	return mux
}

func (g *Group) memberInfos() []MemberInfo {
	infos := make([]MemberInfo, 0, len(g.Members))
	for _, m := range g.Members {
		infos = append(infos, MemberInfo{
			ID: m.ID(), Address: m.Address(), Status: m.Status(), ConnectionCount: m.ConnectionCount(),
		})
	}
	return infos
}

func withMember(g *Group, handle func(*Member, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		m := g.Member(r.PathValue("id"))
		if m == nil {
			writeError(w, trace.NotFound("there is no member %q", r.PathValue("id")))
			return
		}
		if err := handle(m, r); err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, m.Status())
	}
}

func setFaults(m *Member, r *http.Request) error {
	body, err := readBody(r)
	if err != nil {
		return trace.Wrap(err)
	}
	var request FaultRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return trace.BadParameter("body is no fault request: %v", err)
	}
	for _, partition := range request.Partitions {
		if _, found := directions[partition.Direction]; !found {
			return trace.BadParameter("unknown direction %q", partition.Direction)
		}
	}
	return trace.Wrap(m.applyFaults(request))
}

func (m *Member) applyFaults(request FaultRequest) error {
	if request.Heal {
		m.Heal()
	}
	for _, partition := range request.Partitions {
		m.Partition(partition.Peer, directions[partition.Direction])
	}
	if request.Frozen != nil {
		m.SetFrozen(*request.Frozen)
	}
	if request.SilenceConnections {
		m.SilenceConnections()
	}
	if request.ReplicationLagMS != nil {
		m.SetReplicationLag(time.Duration(*request.ReplicationLagMS) * time.Millisecond)
	}
	if request.StatementTimeMS != nil {
		m.SetStatementTime(time.Duration(*request.StatementTimeMS) * time.Millisecond)
	}
	if request.DropResponses != nil {
		m.DropResponses(*request.DropResponses)
	}
	if request.RefuseConnections != nil {
		return trace.Wrap(m.RefuseConnections(*request.RefuseConnections))
	}
	return nil
}

func readBody(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAdminBodyBytes))
	return body, trace.Wrap(err)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, err error) {
	http.Error(w, trace.UserMessage(err), trace.ErrorToCode(err))
}
