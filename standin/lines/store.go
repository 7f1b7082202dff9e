package lines

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is an in-memory stand-in for the platform's metadata store, with fault injection.
type Store struct {
	mu                sync.Mutex
	revision          uint64
	items             map[string]item
	history           []event // events after compactedRevision
	compactedRevision uint64  // watches that start before it get status 410
	leases            map[int64]*lease
	foreign           map[string][]byte // last values of the keys of the operator and of the databases
	era               uint64            // number of returns from a copy; sent with each answer once it is above 0
	changed           chan struct{}     // closed and replaced at each change

	refuseRequest func(r *http.Request) bool          // requests to answer with status 503
	dropResponse  func(r *http.Request) bool          // requests to execute without a response
	lateExecution func(r *http.Request) time.Duration // delay of requests to execute late, without a response
	responseDelay time.Duration                       // delay before each response
	callCounts    map[string]int                      // by the first path element
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Rev       uint64 `json:"rev"`
	CreateRev uint64 `json:"createRev"`
	Lease     int64  `json:"lease"`
}

type event struct {
	item
	Tombstone bool `json:"tombstone,omitempty"`
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, items: map[string]item{}, foreign: map[string][]byte{}, leases: map[int64]*lease{}, changed: make(chan struct{}),
		callCounts: map[string]int{}}
}

// RefuseRequests makes the store answer matching requests with status 503. A nil match disables the fault.
func (s *Store) RefuseRequests(match func(r *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuseRequest = match
}

// DropResponses makes the store execute matching requests and then abort the connection without a response.
func (s *Store) DropResponses(match func(r *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropResponse = match
}

// ExecuteLate makes the store abort the connection of a request without a response and execute the request after the delay that
// the function returns. Requests with a delay of zero are executed as usual. A nil function disables the fault.
func (s *Store) ExecuteLate(delay func(r *http.Request) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateExecution = delay
}

// ChangesItems reports whether a request commits a transaction or ends a lease.
func ChangesItems(r *http.Request) bool {
	path := strings.TrimPrefix(r.URL.Path, "/-/")
	return path == "kv-txn" || strings.HasPrefix(path, "kv-lease-end/")
}

// ReadsConfiguration reports whether a request lists or watches the configuration.
func ReadsConfiguration(r *http.Request) bool { return r.URL.Query().Get("prefix") == configurationKey }

// SetResponseDelay sets the delay before each response.
func (s *Store) SetResponseDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responseDelay = delay
}

// Compact discards the event history. Watches from an earlier revision get status 410 and have to list again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notifyWatchers()
}

// Copy is an earlier state of a store.
type Copy struct {
	revision uint64
	items    map[string]item
	leases   map[int64]time.Duration // times to live
}

// Copy returns a copy of the current state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{revision: s.revision, items: maps.Clone(s.items), leases: map[int64]time.Duration{}}
	for id, l := range s.leases {
		c.leases[id] = l.ttl
	}
	return c
}

// Restore brings the store back from an earlier copy: what was written since is gone, and revisions are given out again. Leases of the
// copy run from now on. The operator and the databases write, or remove, their keys again after the delay of the key, which may be nil
// for none.
func (s *Store) Restore(c Copy, delay func(key string) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.era++
	s.revision, s.items, s.history, s.compactedRevision = c.revision, maps.Clone(c.items), nil, c.revision
	s.leases = map[int64]*lease{}
	for id, ttl := range c.leases {
		s.leases[id] = &lease{ttl, time.AfterFunc(ttl, func() { s.endLease(id) })}
	}
	keys := maps.Clone(s.foreign)
	for key, i := range c.items {
		if !strings.HasPrefix(key, systemPrefix) {
			keys[key] = i.Value
		}
	}
	for key := range keys {
		if pause := time.Duration(0); delay != nil {
			if pause = delay(key); pause > 0 {
				time.AfterFunc(pause, func() {
					s.mu.Lock()
					defer s.mu.Unlock()
					s.writeAgain(key)
					s.notifyWatchers()
				})
				continue
			}
		}
		s.writeAgain(key)
	}
	s.notifyWatchers()
}

// writeAgain writes or removes a key that is not the hosts' as its owner did last. The caller holds s.mu.
func (s *Store) writeAgain(key string) {
	value, exists := s.foreign[key]
	switch stored, found := s.items[key]; {
	case exists && (!found || !bytes.Equal(stored.Value, value)):
		s.revision++
		s.put(key, value, 0)
	case !exists && found:
		s.revision++
		s.remove(key)
	}
}

// systemPrefix precedes the keys that the hosts write.
const systemPrefix = "waxwingspindle/"

// Put stores the JSON encoding of value under key.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.PutRaw(key, data)
}

// PutRaw stores value under key without encoding it.
func (s *Store) PutRaw(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, value, 0)
	if !strings.HasPrefix(key, systemPrefix) {
		s.foreign[key] = value
	}
	s.notifyWatchers()
}

// targetPrefix precedes the id of a target in the key of its entry.
const targetPrefix = "servers/"

// TargetEntry is the entry that a target writes about itself.
type TargetEntry struct {
	Service         string `json:"service"`
	Address         string `json:"address"`
	DataCentre      string `json:"zone"`
	Slots           int    `json:"slots"`
	State           string `json:"state"`  // ready or draining
	Role            string `json:"dbRole"` // primary or replica
	Sequence        int    `json:"sequence"`
	Born            int64  `json:"born"`
	ColdRemainingMs int64  `json:"coldRemainingMs"`
}

// PutTarget stores the entry of a target.
func (s *Store) PutTarget(id string, entry TargetEntry) { s.Put(targetPrefix+id, entry) }

// Remove deletes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	delete(s.foreign, key)
	s.notifyWatchers()
}

// evacuationPrefix precedes the name of a data centre in the key that requests its evacuation.
const evacuationPrefix = "op/evacuate/"

// RequestEvacuation stores the request to evacuate a data centre.
func (s *Store) RequestEvacuation(dataCentre string) {
	s.PutRaw(evacuationPrefix+dataCentre, []byte("{}"))
}

// WithdrawEvacuation removes the request to evacuate a data centre.
func (s *Store) WithdrawEvacuation(dataCentre string) { s.Remove(evacuationPrefix + dataCentre) }

// Get returns the value of a key.
func (s *Store) Get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i.Value, ok
}

// CallCount returns the number of requests whose first path element is path.
func (s *Store) CallCount(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCounts[path]
}

func (s *Store) put(key string, value []byte, id int64) {
	created := s.items[key].CreateRev
	if created == 0 {
		created = s.revision
	}
	i := item{key, value, s.revision, created, id}
	s.items[key] = i
	s.history = append(s.history, event{item: i})
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, event{item: item{Key: key, Rev: s.revision}, Tombstone: true})
	}
}

// notifyWatchers wakes the pending watches.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.TrimPrefix(r.URL.Path, "/-/")
	s.mu.Lock()
	s.callCounts[strings.Split(path, "/")[0]]++
	var late time.Duration
	if s.lateExecution != nil {
		late = s.lateExecution(r)
	}
	refused, dropped, delay := s.refuseRequest != nil && s.refuseRequest(r),
		s.dropResponse != nil && s.dropResponse(r), s.responseDelay
	s.mu.Unlock()
	time.Sleep(delay)
	if refused {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if late > 0 {
		s.executeAfter(late, r, path)
		panic(http.ErrAbortHandler)
	}
	status, response := s.serve(r, path)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	if dropped {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if era > 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	}
	w.WriteHeader(status)
	if response != nil {
		_ = json.NewEncoder(w).Encode(response) // fails only if the client has disconnected
	}
}

// executeAfter executes a request after a delay.
func (s *Store) executeAfter(delay time.Duration, r *http.Request, path string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the client has disconnected before it sent the request
	}
	late := r.Clone(context.WithoutCancel(r.Context()))
	late.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(delay, func() { s.serve(late, path) })
}

func (s *Store) serve(r *http.Request, path string) (int, any) {
	switch {
	case path == "kv-range":
		return s.list(r.URL.Query().Get("prefix"))
	case path == "kv-watch":
		return s.watch(r)
	case path == "kv-txn":
		return s.txn(r)
	case path == "kv-lease":
		return s.grantLease(r)
	case strings.HasPrefix(path, "kv-keep/"):
		return s.renewOrEndLease(strings.TrimPrefix(path, "kv-keep/"), false)
	case strings.HasPrefix(path, "kv-lease-end/"):
		return s.renewOrEndLease(strings.TrimPrefix(path, "kv-lease-end/"), true)
	}
	return http.StatusNotFound, nil
}

func (s *Store) list(prefix string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	return http.StatusOK, map[string]any{"items": items, "truncated": false, "asOf": s.revision}
}

func (s *Store) watch(r *http.Request) (int, any) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, revision, changed, compacted := []event{}, s.revision, s.changed,
			after < s.compactedRevision || after > s.revision
		for _, e := range s.history {
			if e.Rev > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if compacted {
			return http.StatusGone, nil
		}
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "asOf": revision}
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, map[string]any{"events": events, "asOf": revision}
		case <-r.Context().Done():
			return http.StatusOK, nil
		}
	}
}

// txn applies puts and removals if all expected revisions match and all leases exist.
func (s *Store) txn(r *http.Request) (int, any) {
	var request struct {
		ExpectedRev []struct {
			Key string `json:"key"`
			Rev uint64 `json:"rev"`
		} `json:"expectedRev"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, condition := range request.ExpectedRev {
		if s.items[condition.Key].Rev != condition.Rev {
			return http.StatusPreconditionFailed, map[string]any{"items": []item{}}
		}
	}
	for _, p := range request.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	s.revision++
	for _, p := range request.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range request.Remove {
		s.remove(key)
	}
	s.notifyWatchers()
	return http.StatusOK, map[string]any{"rev": s.revision}
}

func (s *Store) grantLease(r *http.Request) (int, any) {
	var request struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := int64(s.revision)
	ttl := time.Duration(request.TTLMs) * time.Millisecond
	s.leases[id] = &lease{ttl, time.AfterFunc(ttl, func() { s.endLease(id) })}
	return http.StatusOK, map[string]any{"lease": id, "ttlMs": request.TTLMs}
}

// renewOrEndLease renews or ends the lease with the given ID.
func (s *Store) renewOrEndLease(idText string, end bool) (int, any) {
	id, _ := strconv.ParseInt(idText, 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil && !end {
		l.timer.Reset(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		return http.StatusNotFound, nil
	}
	if end {
		s.endLease(id)
	}
	return http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()}
}

// endLease removes a lease and the keys attached to it.
func (s *Store) endLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leases[id]; l != nil {
		l.timer.Stop()
	}
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
	s.notifyWatchers()
}
