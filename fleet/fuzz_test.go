package fleet

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/rpc"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/clientlimit"
	"github.com/waxwingspindle/waxwingspindle/frontend"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
	"github.com/waxwingspindle/waxwingspindle/rpccodec"
)

// silentPeer has the methods of Peer with the same types. It only takes the requests.
type silentPeer struct{}

func (silentPeer) Run(frontend.ForwardRequest, *frontend.ForwardReply) error { return nil }
func (silentPeer) Report(ReportRequest, *SyncReply) error                    { return nil }
func (silentPeer) Fence(FenceRequest, *struct{}) error                       { return nil }
func (silentPeer) FenceInEra(EraFenceRequest, *struct{}) error               { return nil }
func (silentPeer) Kept(KeptRequest, *KeptReply) error                        { return nil }
func (silentPeer) Fetch(map[string]uint64, *[]byte) error                    { return nil }
func (silentPeer) Take(TokenRequest, *TokenReply) error                      { return nil }
func (silentPeer) Succeed(SuccessionRequest, *struct{}) error                { return nil }
func (silentPeer) Ping(struct{}, *struct{}) error                            { return nil }

// peerInput is a connection that another host has written to and closed.
type peerInput struct {
	net.Conn
	input io.Reader
}

func (c peerInput) Read(p []byte) (int, error)  { return c.input.Read(p) }
func (c peerInput) Write(p []byte) (int, error) { return len(p), nil }
func (c peerInput) Close() error                { return nil }

// RemoteAddr implements net.Conn for log lines.
func (c peerInput) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// checkPeerInput fails the test if the input keeps the connection busy after its end, or leaves memory charged.
func checkPeerInput(t *testing.T, input []byte) {
	t.Helper()
	metrics := prometheus.NewRegistry()
	registry := clientlimit.New(clientlimit.Limits{HeldBytes: 64 << 20}, zap.NewNop(), metrics)
	server := rpc.NewServer()
	if err := server.RegisterName("Peer", silentPeer{}); err != nil {
		t.Fatal(err)
	}
	conn := peerInput{input: bytes.NewReader(input)}
	link, _ := registry.Admit(clientlimit.Link, conn)
	done := make(chan struct{})
	go func() {
		defer close(done)
		rpccodec.ServeWithLimits(server, conn, &rpccodec.CallCounter{}, rpccodec.Limits{Client: link})
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("the connection is still served after its end")
	}
	link.Leave()
	families, err := metrics.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == "waxwingspindle_client_held_bytes" && f.GetMetric()[0].GetGauge().GetValue() != 0 {
			t.Errorf("memory is charged after the end: %v", f)
		}
	}
	// The same bytes as a response to a call of this host.
	client := rpccodec.NewClientWithLimits(peerInput{input: bytes.NewReader(input)}, rpccodec.Limits{Registry: registry})
	_ = client.Call("Peer.Run", frontend.ForwardRequest{}, new(frontend.ForwardReply)) // any result is right
	_ = client.Close()                                                                 // may have ended already
}

// peerSeeds returns calls of each method, as other hosts send them.
func peerSeeds(t testing.TB) [][]byte {
	var seeds [][]byte
	for method, body := range map[string]any{
		"Peer.Run": frontend.ForwardRequest{Origin: "host-1", Statement: frontend.Statement{ID: "q", Kind: frontend.Read, Args: "x"},
			SessionVariables: map[string]string{"a": "b"},
			Prepared:         map[string]frontend.PreparedStatement{"s": {Kind: frontend.PrepareRead, Shape: "x"}}},
		"Peer.Report": ReportRequest{Host: "host-1", Observations: map[model.Service]primacy.Observation{"stock": {}},
			Revisions: map[string]uint64{"op/config": 7}, Deposit: map[model.Workspace]float64{"workshop": 1.5}},
		"Peer.Fence": FenceRequest{Incarnation: 4, Document: primacy.Document{Service: "stock", Epoch: 3}},
		"Peer.FenceInEra": EraFenceRequest{Era: 1,
			Fence: FenceRequest{Incarnation: 4, Document: primacy.Document{Service: "stock", Epoch: 3}}},
		"Peer.Kept":    KeptRequest{Era: 1, Version: 7},
		"Peer.Fetch":   map[string]uint64{"op/config": 1, "servers/": 2},
		"Peer.Take":    TokenRequest{Workspace: "workshop", Tokens: 2},
		"Peer.Succeed": SuccessionRequest{Fence: 9},
		"Peer.Ping":    struct{}{},
		"Peer.Nobody":  []any{1, "two", map[string]any{"three": []int{4}}},
	} {
		var text bytes.Buffer
		e := msgpack.NewEncoder(&text)
		e.UseArrayEncodedStructs(true)
		e.UseCompactInts(true)
		if err := e.Encode([]any{method, 1}); err != nil {
			t.Fatal(err)
		}
		if err := e.Encode(body); err != nil {
			t.Fatal(err)
		}
		seeds = append(seeds, text.Bytes())
	}
	slices.SortFunc(seeds, bytes.Compare) // the order of a map differs between runs
	return append(seeds, []byte("\x93\xa8Peer.Run\x01\xa0\x95\x91\xa1x\xa1s\x00\xa0"), []byte("\x92\xaaPeer.Fetch\x01\xdf\x7f\xff\xff\xff"),
		[]byte("\x92\xa8Peer.Run\x01\x81\xa1f\x91\x91\x91"), []byte("\x92\xdb\x7f\xff\xff\xff"), []byte("\xc1"), nil)
}

// FuzzPeerInput guards against messages of other hosts that end the process, keep a connection busy, or leave memory charged.
func FuzzPeerInput(f *testing.F) {
	for _, seed := range peerSeeds(f) {
		f.Add(seed)
	}
	f.Fuzz(checkPeerInput)
}

// TestRandomPeerInput is a short run of FuzzPeerInput with fixed seeds.
func TestRandomPeerInput(t *testing.T) {
	random, seeds := rand.New(rand.NewPCG(5, 6)), peerSeeds(t)
	for range 300 {
		var input []byte
		for range 1 + random.IntN(3) {
			input = append(input, seeds[random.IntN(len(seeds))]...)
		}
		for range random.IntN(5) {
			if len(input) > 0 {
				input[random.IntN(len(input))] = byte(random.IntN(256))
			}
		}
		checkPeerInput(t, input)
	}
}
