package emulator

import (
	"context"
	"net/http"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/engineapi"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// engineHandler serves the operations with whole bodies.
type engineHandler struct{ engine *Engine }

// engineProblem is an answer other than success.
type engineProblem struct {
	status int
	kind   string
	detail string
	seen   uint64
}

func (e *engineProblem) Error() string { return e.detail }

var (
	problemIncarnation = &engineProblem{status: http.StatusGone, kind: "engine_gone", detail: "another incarnation lives"}
	problemNotLoaded   = &engineProblem{status: http.StatusConflict, kind: "not_loaded", detail: "the adapter's model is not loaded"}
	problemNoRoom      = &engineProblem{status: http.StatusConflict, kind: "no_room", detail: "no room for another model"}
	problemBusy        = &engineProblem{status: http.StatusConflict, kind: "busy", detail: "streams are under way"}
	problemSource      = &engineProblem{status: http.StatusBadGateway, kind: "source_unavailable", detail: "the other engine gave no cache"}
	problemCacheFull   = &engineProblem{status: http.StatusInsufficientStorage, kind: "cache_full", detail: "no room for the cache"}
)

func (h *engineHandler) GetStatus(context.Context) (*engineapi.Status, error) {
	return statusToAPI(h.engine.reported()), nil
}

func statusToAPI(status structs.EngineStatus) *engineapi.Status {
	return &engineapi.Status{
		ID:                  string(status.ID),
		Incarnation:         uint64(status.Incarnation),
		Zone:                string(status.Zone),
		Role:                string(status.Role),
		Loaded:              modelsToAPI(status.Loaded),
		Loading:             modelsToAPI(status.Loading),
		CacheCapacityTokens: status.CacheCapacityTokens,
		CacheUsedTokens:     status.CacheUsedTokens,
		Running:             status.Running,
		Waiting:             status.Waiting,
		QueuedTokens:        status.QueuedTokens,
		MaxBatch:            status.MaxBatch,
		Leaving:             status.Leaving,
		Fence:               status.Fence,
	}
}

func modelsToAPI(list []structs.LoadedModel) []engineapi.LoadedModel {
	models := make([]engineapi.LoadedModel, 0, len(list))
	for _, entry := range list {
		models = append(models, engineapi.LoadedModel{
			Model:    string(entry.Model),
			Version:  entry.Version,
			Adapters: append([]string{}, entry.Adapters...),
		})
	}
	return models
}

func (h *engineHandler) CancelStream(_ context.Context, params engineapi.CancelStreamParams) error {
	h.engine.cancel(params.StreamID)
	return nil
}

func (h *engineHandler) ListHolds(context.Context) (*engineapi.HoldList, error) {
	e := h.engine
	e.mutex.Lock()
	defer e.mutex.Unlock()
	list := &engineapi.HoldList{Incarnation: uint64(e.incarnation), Holders: []string{}}
	for _, holder := range e.holders() {
		list.Holders = append(list.Holders, string(holder))
	}
	return list, nil
}

func (h *engineHandler) ReleaseHold(_ context.Context, request *engineapi.Release) error {
	if !h.engine.release(structs.Incarnation(request.Incarnation), structs.ProgramID(request.Holder)) {
		return problemIncarnation
	}
	h.engine.kick()
	return nil
}

func (h *engineHandler) ListCacheEvents(_ context.Context, params engineapi.ListCacheEventsParams) (*engineapi.CacheEvents, error) {
	e := h.engine
	e.mutex.Lock()
	defer e.mutex.Unlock()
	horizon := time.Now().Add(-e.Faults.EventLag.Get())
	list := &engineapi.CacheEvents{Incarnation: uint64(e.incarnation), Events: []engineapi.CacheEvent{}}
	for _, event := range e.events.after(params.After, horizon) {
		list.Events = append(list.Events, engineapi.CacheEvent{
			Sequence: event.sequence,
			Stored:   event.stored,
			Holder:   string(event.holder),
			Tokens:   event.tokens,
		})
	}
	return list, nil
}

func (h *engineHandler) PostOrder(_ context.Context, request *engineapi.Order) error {
	if refused := h.engine.order(request); refused != nil {
		return refused
	}
	return nil
}

func (h *engineHandler) NewError(_ context.Context, err error) *engineapi.ProblemStatusCode {
	found, ok := err.(*engineProblem)
	if !ok {
		found = &engineProblem{status: http.StatusBadRequest, kind: "bad_request", detail: err.Error()}
	}
	answer := &engineapi.ProblemStatusCode{
		StatusCode: found.status,
		Response:   engineapi.Problem{Type: found.kind, Detail: found.detail},
	}
	if found.seen > 0 {
		answer.Response.Seen.SetTo(found.seen)
	}
	return answer
}
