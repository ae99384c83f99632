package emulator

import (
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/platformapi"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// PlatformFaults are the faults of the platform service. They may be changed
// at any time.
type PlatformFaults struct {
	// Down answers every request with 503 and ends watches.
	Down atomic.Bool
	// Hang answers no request.
	Hang atomic.Bool
	// Slow is added to the time of each request.
	Slow Duration
	// LoseAnswer is the share of writes that take effect and whose connection
	// is then cut without an answer.
	LoseAnswer Ratio
	// MachineLag is how late the machine list shows a change.
	MachineLag Duration
}

// PlatformConfig configures the stand-in platform service.
type PlatformConfig struct {
	// MaxReaders bounds reads and watches under way; 0 means no bound. Readers
	// over it are refused with 429.
	MaxReaders int
	// MachineLag is the machine list's lag at the start.
	MachineLag time.Duration
	// Seed of the chances of faults.
	Seed uint64
}

// PlatformCounters counts requests by kind since the start.
type PlatformCounters struct {
	Reads, Writes, Watches, MachineLists, RefusedReaders int64
	// MostReaders is the largest number of readers at one moment.
	MostReaders int64
}

// Machine is a row of the machine list.
type Machine struct {
	Node    structs.NodeID
	Engine  structs.EngineID
	Address string
	Zone    structs.ZoneName
	Leaving bool
}

// object is a stored object; deleted ones stay as tombstones, so that a watch
// can tell of the deletion.
type object struct {
	key     string
	version uint64
	value   []byte
	deleted bool
}

type machineList struct {
	at       time.Time
	machines []Machine
}

// Platform is the stand-in object API with the machine list.
type Platform struct {
	standIn
	Faults PlatformFaults

	config PlatformConfig
	dice   *dice

	readers     atomic.Int64
	mostReaders atomic.Int64
	reads       atomic.Int64
	writes      atomic.Int64
	watches     atomic.Int64
	lists       atomic.Int64
	refused     atomic.Int64

	mutex    sync.Mutex
	revision uint64
	objects  map[string]object
	changed  chan struct{}
	machines []machineList
}

// NewPlatform returns a platform service that is not yet started.
func NewPlatform(config PlatformConfig) *Platform {
	p := &Platform{
		config:  config,
		dice:    newDice(config.Seed),
		objects: map[string]object{},
		changed: make(chan struct{}),
	}
	p.Faults.MachineLag.Set(config.MachineLag)
	return p
}

// Start opens the port. The error is a *ListenFailed.
func (p *Platform) Start() error {
	server, err := platformapi.NewServer(&platformHandler{platform: p})
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/watch", p.serveWatch)
	mux.Handle("/", server)
	return p.listen(p.faulty(mux))
}

// Close closes the port.
func (p *Platform) Close() { p.shut() }

// Crash closes the port and cuts every connection. Objects last.
func (p *Platform) Crash() { p.shut() }

// Restart opens the port again.
func (p *Platform) Restart() error {
	p.Crash()
	return p.Start()
}

// Counters returns the counts of requests so far.
func (p *Platform) Counters() PlatformCounters {
	return PlatformCounters{
		Reads:          p.reads.Load(),
		Writes:         p.writes.Load(),
		Watches:        p.watches.Load(),
		MachineLists:   p.lists.Load(),
		RefusedReaders: p.refused.Load(),
		MostReaders:    p.mostReaders.Load(),
	}
}

// SetMachines replaces the machine list. Readers see it after the lag.
func (p *Platform) SetMachines(machines []Machine) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.machines = append(p.machines, machineList{at: time.Now(), machines: append([]Machine(nil), machines...)})
}

// SetEngineLeaving changes the state of an engine in the machine list.
func (p *Platform) SetEngineLeaving(engine structs.EngineID, leaving bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.machines) == 0 {
		return
	}
	machines := append([]Machine(nil), p.machines[len(p.machines)-1].machines...)
	for i := range machines {
		if machines[i].Engine == engine {
			machines[i].Leaving = leaving
		}
	}
	p.machines = append(p.machines, machineList{at: time.Now(), machines: machines})
}

// Object returns an object as it is stored now, past all faults.
func (p *Platform) Object(key string) (value []byte, version uint64, found bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	stored, found := p.objects[key]
	if !found || stored.deleted {
		return nil, 0, false
	}
	return stored.value, stored.version, true
}

// visibleMachines returns the machine list as it was a lag ago.
func (p *Platform) visibleMachines(now time.Time) []Machine {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	horizon := now.Add(-p.Faults.MachineLag.Get())
	// The first list counts as known from the beginning.
	visible := 0
	for i, list := range p.machines {
		if !list.at.After(horizon) {
			visible = i
		}
	}
	p.machines = p.machines[min(visible, len(p.machines)):]
	if len(p.machines) == 0 {
		return nil
	}
	return p.machines[0].machines
}

// swap replaces an object when its version is the expected one; 0 stands for
// an object that does not exist. It returns the version now stored and whether
// the change took place.
func (p *Platform) swap(key string, expected uint64, value []byte, deleted bool) (uint64, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var found uint64
	if stored, exists := p.objects[key]; exists && !stored.deleted {
		found = stored.version
	}
	if found != expected || (deleted && found == 0) {
		return found, false
	}
	p.revision++
	p.objects[key] = object{key: key, version: p.revision, value: value, deleted: deleted}
	close(p.changed)
	p.changed = make(chan struct{})
	return p.revision, true
}

// since returns the objects under prefix changed after a version, in the order
// of their changes, and a channel that closes at the next change.
func (p *Platform) since(prefix string, after uint64) ([]object, <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var found []object
	for key, stored := range p.objects {
		if strings.HasPrefix(key, prefix) && stored.version > after {
			found = append(found, stored)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].version < found[j].version })
	return found, p.changed
}

// reading counts a reader until the returned function is called; it reports
// false when there are too many.
func (p *Platform) reading() (end func(), admitted bool) {
	now := p.readers.Add(1)
	if p.config.MaxReaders > 0 && now > int64(p.config.MaxReaders) {
		p.readers.Add(-1)
		p.refused.Add(1)
		return nil, false
	}
	for {
		most := p.mostReaders.Load()
		if now <= most || p.mostReaders.CompareAndSwap(most, now) {
			break
		}
	}
	return func() { p.readers.Add(-1) }, true
}

// faulty applies the faults that all requests share.
func (p *Platform) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.Faults.Hang.Load() {
			<-r.Context().Done()
			cutConnection()
		}
		if sleep(r.Context(), p.Faults.Slow.Get()) != nil {
			cutConnection()
		}
		if p.Faults.Down.Load() {
			writeProblem(w, http.StatusServiceUnavailable, "unavailable", "the store is down")
			return
		}
		next.ServeHTTP(w, r)
	})
}

// problem is the JSON body of a failure, alike in all the stand-ins' APIs.
type problem struct {
	Type   string `json:"type"`
	Detail string `json:"detail"`
	// RetryAfterMilliseconds is when to come back; 0 is unsaid.
	RetryAfterMilliseconds int64 `json:"retryAfterMilliseconds,omitempty"`
}

func writeProblem(w http.ResponseWriter, status int, kind, detail string) {
	writeProblemBody(w, status, problem{Type: kind, Detail: detail})
}

func writeProblemBody(w http.ResponseWriter, status int, body problem) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client that left reads no problem.
	_ = json.NewEncoder(w).Encode(body)
}
