package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: objects by kind and name, watches, and writes on the
// condition of a revision. It answers at once and loses nothing.
type store struct {
	listener net.Listener
	server   *http.Server

	mutex    sync.Mutex
	changed  chan struct{}
	revision int64
	kinds    map[string]map[string]storedObject
	history  []storeEvent
}

type storedMetadata struct {
	Name       string
	Revision   int64
	Created    int64
	Finalizers []string
	Deleting   bool
}

type storedObject struct {
	Metadata     storedMetadata
	Spec, Status json.RawMessage
}

type storeEvent struct {
	kind   string
	Gone   bool
	Object storedObject
}

func newStore() *store {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &store{listener: listener, changed: make(chan struct{}), kinds: make(map[string]map[string]storedObject), revision: 1}
	s.server = &http.Server{Handler: s}
	go s.server.Serve(listener)
	return s
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) close() { s.server.Close() }

// put writes the Spec of an object, as the operator or a worker does.
func (s *store) put(kind, name string, spec any) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	written := s.kinds[kind][name]
	written.Metadata.Name, written.Spec = name, encoded
	s.write(kind, written)
}

// putWorker writes the entry of a worker that is ready.
func (s *store) putWorker(id, service, address, zone string, slots int) {
	s.put("servers", id, map[string]any{
		"Service": service, "Address": address, "Zone": zone, "Version": "v1", "Slots": slots, "State": "ready", "ColdLeftMs": 0, "SeqNo": 1,
	})
}

// write keeps an object under the next revision. The mutex must be held.
func (s *store) write(kind string, written storedObject) storedObject {
	s.revision++
	written.Metadata.Revision = s.revision
	if written.Metadata.Created == 0 {
		written.Metadata.Created = s.revision
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]storedObject)
	}
	s.kinds[kind][written.Metadata.Name] = written
	s.happened(storeEvent{kind: kind, Object: written})
	return written
}

// happened tells the watches of an event. The mutex must be held.
func (s *store) happened(event storeEvent) {
	s.history = append(s.history, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	status, answer := http.StatusBadRequest, any(nil)
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Has("Watch"):
		status, answer = s.watch(r, parts[0])
	case r.Method == http.MethodGet:
		status, answer = s.read(parts)
	default:
		status, answer = s.change(r, parts)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(w).Encode(answer)
	}
}

// read answers a list of a kind, or one object.
func (s *store) read(parts []string) (int, any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(parts) > 1 {
		found, exists := s.kinds[parts[0]][parts[1]]
		if !exists {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, found
	}
	items := make([]storedObject, 0, len(s.kinds[parts[0]]))
	for _, each := range s.kinds[parts[0]] {
		items = append(items, each)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	return http.StatusOK, map[string]any{"items": items, "More": false, "At": s.revision}
}

// watch waits for events after a revision.
func (s *store) watch(r *http.Request, kind string) (int, any) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("WaitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mutex.Lock()
		events := []storeEvent{}
		for _, event := range s.history {
			if event.kind == kind && event.Object.Metadata.Revision > from {
				events = append(events, event)
			}
		}
		at, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 || over {
			return http.StatusOK, map[string]any{"events": events, "At": at}
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			over = true
		}
	}
}

// change makes, replaces or removes an object.
func (s *store) change(r *http.Request, parts []string) (int, any) {
	var sent storedObject
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
			return http.StatusBadRequest, nil
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	kind, name := parts[0], sent.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	known, exists := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, known
	case r.Method == http.MethodPost:
		return http.StatusOK, s.write(kind, storedObject{Metadata: storedMetadata{Name: name}, Spec: sent.Spec})
	case !exists:
		return http.StatusNotFound, nil
	case sent.Metadata.Revision != 0 && sent.Metadata.Revision != known.Metadata.Revision:
		return http.StatusConflict, known
	case r.Method == http.MethodDelete:
		delete(s.kinds[kind], name)
		s.revision++
		known.Metadata.Revision = s.revision
		s.happened(storeEvent{kind: kind, Gone: true, Object: known})
		return http.StatusOK, known
	case len(parts) > 2:
		known.Status = sent.Status
	default:
		known.Spec = sent.Spec
	}
	return http.StatusOK, s.write(kind, known)
}
