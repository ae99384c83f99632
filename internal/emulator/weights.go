package emulator

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/weightsapi"
)

// weightsTick is the span for which the store grants its rate at a time. The
// fetch of the best priority takes it all; among equals the oldest does.
const weightsTick = 5 * time.Millisecond

// WeightsFaults are the faults of the weight store.
type WeightsFaults struct {
	// Down answers every fetch with 503; those under way fail.
	Down atomic.Bool
	// Stall stops the sending of bytes.
	Stall atomic.Bool
}

// WeightsConfig configures the stand-in weight store.
type WeightsConfig struct {
	// BytesPerSecond is the rate over all readers together.
	BytesPerSecond int64
}

// WeightFetch is one fetch as the store served it.
type WeightFetch struct {
	Model, Version, Adapter string
	Bytes                   int64
	Priority                int
	Started, Finished       time.Time
}

// Weights is the stand-in weight store.
type Weights struct {
	standIn
	Faults WeightsFaults

	config WeightsConfig

	mutex    sync.Mutex
	fetches  []*weightFetch
	finished []WeightFetch
	stop     context.CancelFunc
}

type weightFetch struct {
	WeightFetch
	left int64
	done chan struct{}
}

// NewWeights returns a weight store that is not yet started.
func NewWeights(config WeightsConfig) *Weights { return &Weights{config: config} }

// Start opens the port. The error is a *ListenFailed.
func (s *Weights) Start() error {
	server, err := weightsapi.NewServer(&weightsHandler{store: s})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	s.mutex.Lock()
	s.stop = stop
	s.mutex.Unlock()
	go s.run(ctx)
	return s.listen(server)
}

// Close closes the port.
func (s *Weights) Close() {
	s.shut()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stop != nil {
		s.stop()
	}
}

// Crash closes the port and cuts every connection.
func (s *Weights) Crash() { s.Close() }

// Restart opens the port again.
func (s *Weights) Restart() error {
	s.Crash()
	return s.Start()
}

// Ledger returns the finished fetches, in the order of their ends.
func (s *Weights) Ledger() []WeightFetch {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]WeightFetch(nil), s.finished...)
}

// run grants the rate until the store stops.
func (s *Weights) run(ctx context.Context) {
	ticker := time.NewTicker(weightsTick)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if !s.Faults.Stall.Load() {
				s.grant(now, now.Sub(last))
			}
			last = now
		}
	}
}

// grant gives the bytes of the span to the fetches, best priority first.
func (s *Weights) grant(now time.Time, span time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	bytes := int64(span.Seconds() * float64(s.config.BytesPerSecond))
	for bytes > 0 && len(s.fetches) > 0 {
		best := 0
		for i, fetch := range s.fetches {
			if fetch.Priority < s.fetches[best].Priority {
				best = i
			}
		}
		fetch := s.fetches[best]
		granted := min(bytes, fetch.left)
		fetch.left -= granted
		bytes -= granted
		if fetch.left == 0 {
			fetch.Finished = now
			s.finished = append(s.finished, fetch.WeightFetch)
			s.fetches = append(s.fetches[:best:best], s.fetches[best+1:]...)
			close(fetch.done)
		}
	}
}

func (s *Weights) add(fetch *weightFetch) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fetches = append(s.fetches, fetch)
}

func (s *Weights) remove(gone *weightFetch) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i, fetch := range s.fetches {
		if fetch == gone {
			s.fetches = append(s.fetches[:i:i], s.fetches[i+1:]...)
			return
		}
	}
}

// weightsHandler serves the weight store's API.
type weightsHandler struct{ store *Weights }

type weightsProblem struct {
	status int
	kind   string
	detail string
}

func (e *weightsProblem) Error() string { return e.detail }

var errWeightsDown = &weightsProblem{status: http.StatusServiceUnavailable, kind: "unavailable", detail: "the weight store is down"}

func (h *weightsHandler) FetchWeights(ctx context.Context, request *weightsapi.Fetch) (*weightsapi.Fetched, error) {
	if h.store.Faults.Down.Load() {
		return nil, errWeightsDown
	}
	fetch := &weightFetch{
		WeightFetch: WeightFetch{
			Model:    request.Model,
			Version:  request.Version,
			Adapter:  request.Adapter.Or(""),
			Bytes:    request.Bytes,
			Priority: request.Priority,
			Started:  time.Now(),
		},
		left: max(request.Bytes, 1),
		done: make(chan struct{}),
	}
	h.store.add(fetch)
	select {
	case <-fetch.done:
		return &weightsapi.Fetched{Bytes: request.Bytes}, nil
	case <-ctx.Done():
		h.store.remove(fetch)
		return nil, errWeightsDown
	}
}

func (h *weightsHandler) GetLoad(context.Context) (*weightsapi.Load, error) {
	s := h.store
	s.mutex.Lock()
	defer s.mutex.Unlock()
	load := &weightsapi.Load{BytesPerSecond: s.config.BytesPerSecond, Fetches: len(s.fetches)}
	for _, fetch := range s.fetches {
		load.QueuedBytes += fetch.left
	}
	return load, nil
}

func (h *weightsHandler) NewError(_ context.Context, err error) *weightsapi.ProblemStatusCode {
	found, ok := err.(*weightsProblem)
	if !ok {
		found = &weightsProblem{status: http.StatusBadRequest, kind: "bad_request", detail: err.Error()}
	}
	return &weightsapi.ProblemStatusCode{
		StatusCode: found.status,
		Response:   weightsapi.Problem{Type: found.kind, Detail: found.detail},
	}
}
