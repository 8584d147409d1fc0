package bed

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeAnswerTime is the duration of a call.
	storeAnswerTime = 4 * time.Millisecond
	// pageItems is the maximum number of items in one page of a listing.
	pageItems = 500
)

// metadata is the part of an object that the store maintains.
type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedRev uint64   `json:"created-rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// event is a change of an object.
type event struct {
	Object  object `json:"object"`
	Removed bool   `json:"removed"`

	kind string
}

// store is a stand-in for the platform's metadata store. It never forgets its history.
type store struct {
	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]object
	events  []event
	// changed is closed and replaced at each change.
	changed chan struct{}
	// lastConditional is the node whose conditional write was done last.
	lastConditional string
	servers         []*http.Server
}

func newStore() *store {
	return &store{rev: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// serve opens a listener for the calls of one node and returns its address.
func (s *store) serve(node string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(w, r, node) })}
	s.mu.Lock()
	s.servers = append(s.servers, srv)
	s.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), nil
}

func (s *store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, srv := range s.servers {
		_ = srv.Close()
	}
}

// leader returns the node whose conditional write was done last.
func (s *store) leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastConditional
}

// put stores the spec of an object for an operator or an endpoint.
func (s *store) put(kind, name string, spec any) error {
	data, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec = name, data
	s.change(kind, o)
	return nil
}

// change stores an object with a new revision. The caller holds mu.
func (s *store) change(kind string, o object) object {
	s.rev++
	o.Metadata.Revision = s.rev
	if o.Metadata.CreatedRev == 0 {
		o.Metadata.CreatedRev = s.rev
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.emit(event{Object: o, kind: kind})
	return o
}

// emit adds an event. The caller holds mu.
func (s *store) emit(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handle(w http.ResponseWriter, r *http.Request, node string) {
	time.Sleep(storeAnswerTime)
	rest, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok {
		answer(w, http.StatusNotFound, nil)
		return
	}
	kind, name, _ := strings.Cut(rest, "/")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.write(w, r, kind, name, node)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, nil)
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	more := len(items) > pageItems
	answer(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageItems)], "has-more": more, "store-revision": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || waitErr != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for waiting := true; ; {
		found, rev, changed := s.since(kind, since)
		if len(found) > 0 || !waiting {
			answer(w, http.StatusOK, map[string]any{"events": found, "store-revision": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes of a kind after a revision, the store's revision and a
// channel that is closed at the next change.
func (s *store) since(kind string, since uint64) (found []event, rev uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found = []event{}
	for _, e := range s.events {
		if e.kind == kind && e.Object.Metadata.Revision > since {
			found = append(found, e)
		}
	}
	return found, s.rev, s.changed
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name, node string) {
	var body object
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&body) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	condition := body.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseUint(text, 10, 64)
	}
	name, status := strings.CutSuffix(name, "/status")
	if r.Method == http.MethodPost {
		name = body.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && condition != 0 && condition != old.Metadata.Revision:
		answer(w, http.StatusConflict, old)
		return
	case r.Method != http.MethodPost && !exists:
		answer(w, http.StatusNotFound, nil)
		return
	}
	if condition != 0 || r.Method == http.MethodPost {
		s.lastConditional = node
	}
	switch {
	case r.Method == http.MethodDelete:
		delete(s.objects[kind], name)
		s.rev++
		old.Metadata.Revision = s.rev
		s.emit(event{Object: old, Removed: true, kind: kind})
	case status:
		old.Status = body.Status
		old = s.change(kind, old)
	default:
		old.Metadata.Name, old.Spec = name, body.Spec
		old = s.change(kind, old)
	}
	answer(w, http.StatusOK, old)
}
