package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/engine"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/platform"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// fakeEngines are engines in memory, for tests under synctest.
type fakeEngines struct {
	mutex   sync.Mutex
	engines map[string]*fakeEngine
}

type fakeEngine struct {
	status   structs.EngineStatus
	down     bool
	silent   bool
	holders  []structs.ProgramID
	released []structs.ProgramID
	events   []engine.CacheEvent
	watches  int
}

func newFakeEngines(endpoints ...Endpoint) *fakeEngines {
	f := &fakeEngines{engines: map[string]*fakeEngine{}}
	for _, endpoint := range endpoints {
		f.engines[endpoint.Address] = &fakeEngine{status: structs.EngineStatus{ID: endpoint.ID, Incarnation: 1}}
	}
	return f
}

// change changes an engine under the lock.
func (f *fakeEngines) change(address string, change func(*fakeEngine)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change(f.engines[address])
}

// read returns an engine, or the failure of one that is down.
func (f *fakeEngines) read(address string) (fakeEngine, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	found := f.engines[address]
	if found.down {
		return fakeEngine{}, &failure.EngineUnavailable{Engine: address}
	}
	return *found, nil
}

func (f *fakeEngines) WatchStatus(ctx context.Context, address string, interval time.Duration) (Reports, error) {
	found, err := f.read(address)
	if err != nil {
		return nil, err
	}
	f.change(address, func(e *fakeEngine) { e.watches++ })
	return &fakeReports{ctx: ctx, engines: f, address: address, interval: interval, first: true, seen: found.status}, nil
}

func (f *fakeEngines) Status(_ context.Context, address string) (structs.EngineStatus, error) {
	found, err := f.read(address)
	status := found.status
	status.ReportedAt = time.Now()
	return status, err
}

func (f *fakeEngines) CacheEvents(_ context.Context, address string, after uint64) ([]engine.CacheEvent, error) {
	found, err := f.read(address)
	var events []engine.CacheEvent
	for _, event := range found.events {
		if event.Sequence > after {
			events = append(events, event)
		}
	}
	return events, err
}

func (f *fakeEngines) Holds(_ context.Context, address string) (engine.HoldList, error) {
	found, err := f.read(address)
	return engine.HoldList{Incarnation: found.status.Incarnation, Holders: found.holders}, err
}

func (f *fakeEngines) Release(_ context.Context, address string, incarnation structs.Incarnation, holder structs.ProgramID) error {
	found, err := f.read(address)
	if err != nil {
		return err
	}
	if found.status.Incarnation != incarnation {
		return &failure.EngineGone{Engine: address}
	}
	f.change(address, func(e *fakeEngine) {
		var kept []structs.ProgramID
		for _, held := range e.holders {
			if held != holder {
				kept = append(kept, held)
			}
		}
		e.holders = kept
		e.released = append(e.released, holder)
	})
	return nil
}

func (f *fakeEngines) Order(_ context.Context, address string, _ engine.Order) error {
	_, err := f.read(address)
	return err
}

// fakeReports gives a report at once, at each interval, and when leaving changes.
type fakeReports struct {
	ctx      context.Context
	engines  *fakeEngines
	address  string
	interval time.Duration
	first    bool
	seen     structs.EngineStatus
}

const fakeStep = 10 * time.Millisecond

func (r *fakeReports) Next() (structs.EngineStatus, error) {
	waited := time.Duration(0)
	for {
		if r.ctx.Err() != nil {
			return structs.EngineStatus{}, &failure.EngineUnavailable{Engine: r.address}
		}
		found, err := r.engines.read(r.address)
		if err != nil {
			return structs.EngineStatus{}, err
		}
		changed := found.status.Leaving != r.seen.Leaving || found.status.Incarnation != r.seen.Incarnation
		if !found.silent && (r.first || changed || waited >= r.interval) {
			r.first = false
			r.seen = found.status
			found.status.ReportedAt = time.Now()
			return found.status, nil
		}
		pause.For(r.ctx, fakeStep)
		waited += fakeStep
	}
}

func (r *fakeReports) Close() error { return nil }

// fakePlatform has a machine list and objects in memory.
type fakePlatform struct {
	mutex    sync.Mutex
	down     bool
	reads    int
	leaving  []platform.Machine
	revision uint64
	objects  map[string]platform.Object
}

func (p *fakePlatform) change(change func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	change()
}

func (p *fakePlatform) LeavingMachines(context.Context) ([]platform.Machine, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.reads++
	if p.down {
		return nil, &failure.PlatformUnavailable{Operation: "machines"}
	}
	return p.leaving, nil
}

func (p *fakePlatform) Get(_ context.Context, key string) (platform.Object, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.down {
		return platform.Object{}, &failure.PlatformUnavailable{Operation: "get"}
	}
	found, ok := p.objects[key]
	if !ok {
		return platform.Object{}, &failure.ObjectNotFound{Key: key}
	}
	return found, nil
}

func (p *fakePlatform) Put(_ context.Context, key string, expected uint64, value []byte) (uint64, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.down {
		return 0, &failure.PlatformUnavailable{Operation: "put"}
	}
	if found := p.objects[key]; found.Version != expected {
		return 0, &failure.VersionConflict{Expected: expected, Found: found.Version}
	}
	if p.objects == nil {
		p.objects = map[string]platform.Object{}
	}
	p.revision++
	p.objects[key] = platform.Object{Key: key, Version: p.revision, Value: value}
	return p.revision, nil
}
