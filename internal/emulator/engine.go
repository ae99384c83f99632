package emulator

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/engineapi"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	// stallPoll is how often a stalled batch looks whether it may go on.
	stallPoll = 10 * time.Millisecond
	// idleSweep is how often an engine without work looks for streams to forget.
	idleSweep = time.Second
	// maxCatchUp bounds how far a late step makes the next ones shorter.
	maxCatchUp = 20 * time.Millisecond
)

// Engine is a stand-in model engine.
type Engine struct {
	standIn
	Faults EngineFaults

	config EngineConfig
	dice   *dice
	wake   chan struct{}

	mutex       sync.Mutex
	incarnation structs.Incarnation
	batch       *batch
	stop        context.CancelFunc
	// life is ended by a crash; loads of that incarnation end with it.
	life     context.Context
	reports  []report
	events   eventLog
	records  []*StreamRecord
	orders   []OrderRecord
	imported int64
}

// report is the load at a time.
type report struct {
	at     time.Time
	status structs.EngineStatus
}

// NewEngine returns an engine that is not yet started.
func NewEngine(config EngineConfig) *Engine {
	config = config.withDefaults()
	e := &Engine{config: config, dice: newDice(config.Seed), wake: make(chan struct{}, 1)}
	e.Faults.ReportLag.Set(config.ReportLag)
	e.Faults.EventLag.Set(config.EventLag)
	return e
}

// ID returns the engine's name.
func (e *Engine) ID() structs.EngineID { return e.config.ID }

// Zone returns the engine's zone.
func (e *Engine) Zone() structs.ZoneName { return e.config.Zone }

// Start opens the port as a new incarnation. The error is a *ListenFailed.
func (e *Engine) Start() error {
	server, err := engineapi.NewServer(&engineHandler{engine: e})
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", e.serveGenerate)
	mux.HandleFunc("GET /v1/streams/{streamID}", e.serveResume)
	mux.HandleFunc("GET /v1/status/watch", e.serveWatch)
	mux.Handle("/", server)
	life := e.begin()
	if err := e.listen(e.faulty(mux)); err != nil {
		e.end(StreamLost)
		return err
	}
	go e.run(life)
	return nil
}

// begin starts a new incarnation with empty memory.
func (e *Engine) begin() context.Context {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.incarnation++
	e.batch = newBatch(e.config, e.incarnation)
	e.events.restart(e.incarnation)
	e.batch.cache.changed = e.cacheChanged
	e.reports = nil
	e.life, e.stop = context.WithCancel(context.Background())
	return e.life
}

// end stops the incarnation; its streams end with the given outcome.
func (e *Engine) end(outcome StreamOutcome) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.stop == nil {
		return
	}
	e.stop()
	e.stop = nil
	now := time.Now()
	for _, s := range e.batch.streams {
		e.batch.end(s, outcome, now)
	}
	e.batch.cache = newPrefixCache(e.config.CacheTokens, e.config.HoldTokens)
	e.batch.streams = map[string]*stream{}
}

// Close stops the engine.
func (e *Engine) Close() { e.Crash() }

// Crash cuts every connection and forgets all memory. The ledger lasts.
func (e *Engine) Crash() {
	e.shut()
	e.end(StreamLost)
}

// Restart starts the next incarnation on the same address.
func (e *Engine) Restart() error {
	e.Crash()
	return e.Start()
}

// Ledger returns what really happened so far.
func (e *Engine) Ledger() EngineLedger {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	ledger := EngineLedger{
		Engine:         e.config.ID,
		Zone:           e.config.Zone,
		Incarnation:    e.incarnation,
		Streams:        make([]StreamRecord, 0, len(e.records)),
		Orders:         append([]OrderRecord(nil), e.orders...),
		Holds:          e.holders(),
		ImportedTokens: e.imported,
	}
	for _, record := range e.records {
		ledger.Streams = append(ledger.Streams, *record)
	}
	return ledger
}

// holders returns the programs with a hold, in order. The caller has the lock.
func (e *Engine) holders() []structs.ProgramID {
	holders := []structs.ProgramID{}
	if e.batch == nil {
		return holders
	}
	for holder := range e.batch.cache.holds {
		holders = append(holders, holder)
	}
	sort.Slice(holders, func(i, j int) bool { return holders[i] < holders[j] })
	return holders
}

// run does step after step until the incarnation ends. A late wake-up shortens
// the next step, so that the rate holds on average.
func (e *Engine) run(ctx context.Context) {
	due := time.Now()
	for ctx.Err() == nil {
		next, busy := e.plan(ctx)
		if !busy {
			e.idle(ctx)
			due = time.Now()
			continue
		}
		now := time.Now()
		if now.Sub(due) > maxCatchUp {
			due = now
		}
		due = due.Add(next.span)
		if sleep(ctx, due.Sub(now)) != nil {
			return
		}
		e.apply(ctx, next)
	}
}

func (e *Engine) plan(ctx context.Context) (step, bool) {
	if e.Faults.Stall.Load() {
		return step{}, false
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if ctx.Err() != nil {
		return step{}, false
	}
	next, busy := e.batch.plan(time.Now())
	if slow := e.Faults.Slow.Get(); slow > 0 {
		next.span = time.Duration(float64(next.span) * slow)
	}
	return next, busy
}

func (e *Engine) apply(ctx context.Context, done step) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	e.batch.apply(done, now)
	e.batch.sweep(now)
	e.observe(now)
}

// idle waits for work, or for the time to look again.
func (e *Engine) idle(ctx context.Context) {
	wait := idleSweep
	if e.Faults.Stall.Load() {
		wait = stallPoll
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-e.wake:
	case <-timer.C:
		e.apply(ctx, step{})
	}
}

// kick wakes the loop.
func (e *Engine) kick() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// observe notes the load for later reports and drops what is older than the
// lag, but for the newest of those. The caller has the lock.
func (e *Engine) observe(now time.Time) {
	e.reports = append(e.reports, report{at: now, status: e.batch.status()})
	horizon := now.Add(-e.Faults.ReportLag.Get())
	first := 0
	for first+1 < len(e.reports) && !e.reports[first+1].at.After(horizon) {
		first++
	}
	e.reports = e.reports[first:]
}

// reported returns the load as it was a lag ago. What an engine says of itself,
// rather than of its load, is of this moment.
func (e *Engine) reported() structs.EngineStatus {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	e.observe(now)
	horizon := now.Add(-e.Faults.ReportLag.Get())
	current := e.batch.status()
	status := current
	for _, r := range e.reports {
		if r.at.After(horizon) {
			break
		}
		status = r.status
	}
	status.Role, status.Loaded, status.Loading, status.Fence = current.Role, current.Loaded, current.Loading, current.Fence
	status.Leaving = e.Faults.Leaving.Load()
	return status
}

// faulty applies the faults that all requests share.
func (e *Engine) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.Faults.Unresponsive.Load() {
			<-r.Context().Done()
			cutConnection()
		}
		next.ServeHTTP(w, r)
	})
}
