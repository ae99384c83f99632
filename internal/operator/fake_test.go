package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/plan"
	"github.com/barleyshelf/barleyshelf/internal/platform"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// fault is what befalls one request to the platform.
type fault int

const (
	noFault fault = iota
	// lostRequest has no effect and gets no answer.
	lostRequest
	// lostAnswer has its effect but gets no answer.
	lostAnswer
	// lateEffect gets no answer; its effect comes at a later time.
	lateEffect
	faultKinds
)

// objectStore is the platform's object API in memory, with the truth about
// every root object that it ever accepted.
type objectStore struct {
	objects  map[string]platform.Object
	revision uint64
	roots    []*structs.Configuration
	late     []lateWrite
}

// lateWrite is a request that is still on its way.
type lateWrite struct {
	key      string
	expected uint64
	value    []byte
}

func newObjectStore() *objectStore { return &objectStore{objects: map[string]platform.Object{}} }

func (s *objectStore) get(key string) (platform.Object, error) {
	object, found := s.objects[key]
	if !found {
		return platform.Object{}, &failure.ObjectNotFound{Key: key}
	}
	return object, nil
}

func (s *objectStore) put(key string, expected uint64, value []byte) (uint64, error) {
	if found := s.objects[key].Version; found != expected {
		return 0, &failure.VersionConflict{Expected: expected, Found: found}
	}
	s.revision++
	s.objects[key] = platform.Object{Key: key, Version: s.revision, Value: value}
	if key == RootKey {
		accepted, err := ParseRoot(s.objects[key])
		if err != nil {
			return 0, err
		}
		s.roots = append(s.roots, accepted)
	}
	return s.revision, nil
}

// connection is one operator's way to the store. Every request waits for the
// scheduler, which lets one operator go at a time and decides the fault.
type connection struct {
	store  *objectStore
	events chan step
	grant  chan fault
}

type step int

const (
	wantsToGo step = iota
	finished
)

func newConnection(store *objectStore) *connection {
	return &connection{store: store, events: make(chan step), grant: make(chan fault)}
}

func (c *connection) wait() fault {
	c.events <- wantsToGo
	return <-c.grant
}

// Get implements Platform.
func (c *connection) Get(_ context.Context, key string) (platform.Object, error) {
	if c.wait() != noFault {
		return platform.Object{}, &failure.PlatformUnavailable{Operation: "get"}
	}
	return c.store.get(key)
}

// Put implements Platform.
func (c *connection) Put(_ context.Context, key string, expected uint64, value []byte) (uint64, error) {
	unanswered := &failure.PlatformUnavailable{Operation: "put"}
	switch c.wait() {
	case lostRequest:
		return 0, unanswered
	case lostAnswer:
		// Nobody learns of the answer.
		_, _ = c.store.put(key, expected, value)
		return 0, unanswered
	case lateEffect:
		c.store.late = append(c.store.late, lateWrite{key, expected, value})
		return 0, unanswered
	default:
		return c.store.put(key, expected, value)
	}
}

// chooser draws the order of the operators and the faults.
type chooser interface{ choose(count int) int }

// runAll runs the tasks one request at a time, in an order that choose decides,
// until all are done. faultPercent of the requests meet a fault; late effects
// arrive at any later step.
func runAll(choose chooser, faultPercent int, connections []*connection, tasks []func()) {
	for i, task := range tasks {
		go func() {
			task()
			connections[i].events <- finished
		}()
	}
	var ready []*connection
	admit := func(one *connection) {
		if <-one.events == wantsToGo {
			ready = append(ready, one)
		}
	}
	for _, one := range connections {
		admit(one)
	}
	for len(ready) > 0 {
		deliverLate(choose, connections[0].store)
		picked := choose.choose(len(ready))
		one := ready[picked]
		ready = append(ready[:picked], ready[picked+1:]...)
		befalls := noFault
		if choose.choose(100) < faultPercent {
			befalls = fault(1 + choose.choose(int(faultKinds)-1))
		}
		one.grant <- befalls
		admit(one)
	}
}

func deliverLate(choose chooser, store *objectStore) {
	if len(store.late) == 0 || choose.choose(3) > 0 {
		return
	}
	picked := choose.choose(len(store.late))
	write := store.late[picked]
	store.late = append(store.late[:picked], store.late[picked+1:]...)
	_, _ = store.put(write.key, write.expected, write.value)
}

// mayHold reports whether the plan was accepted or may be by a late write.
func (s *objectStore) mayHold(planID string) bool {
	for _, root := range s.roots {
		if root.PlanID == planID {
			return true
		}
	}
	for _, write := range s.late {
		if write.key == RootKey && bytes.Contains(write.value, []byte(planID)) {
			return true
		}
	}
	return false
}

// quietBackend is a daemon with nothing under way.
type quietBackend struct{ use plan.Usage }

func (b *quietBackend) InForceVersions(context.Context) map[structs.NodeID]uint64 {
	return map[structs.NodeID]uint64{"a": 1}
}
func (b *quietBackend) Use(context.Context) plan.Usage                  { return b.use }
func (b *quietBackend) Nodes() []structs.Node                           { return []structs.Node{{ID: "a"}, {ID: "b"}} }
func (b *quietBackend) Engines() ([]structs.EngineStatus, bool)         { return nil, false }
func (b *quietBackend) Shards(context.Context) []ShardStatus            { return nil }
func (b *quietBackend) DrainNode(context.Context, structs.NodeID) error { return nil }

func newTestService(platform Platform, use plan.Usage) *Service {
	return NewService(Options{
		Platform: platform,
		Backend:  &quietBackend{use: use},
		Now:      func() time.Time { return time.Unix(1_700_000_000, 0) },
		Sleep:    func(context.Context, time.Duration) error { return nil },
	})
}

// direct is a connection without faults and without a scheduler.
type direct struct{ store *objectStore }

func (d direct) Get(_ context.Context, key string) (platform.Object, error) { return d.store.get(key) }
func (d direct) Put(_ context.Context, key string, expected uint64, value []byte) (uint64, error) {
	return d.store.put(key, expected, value)
}

func clone(declarations structs.Declarations) structs.Declarations {
	var copied structs.Declarations
	text, err := json.Marshal(declarations)
	if err == nil {
		err = json.Unmarshal(text, &copied)
	}
	if err != nil {
		panic(err)
	}
	return copied
}
