package emulator

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/engineapi"
	"github.com/barleyshelf/barleyshelf/internal/structs"
	"github.com/barleyshelf/barleyshelf/internal/weights"
)

// adapterShare is the part of a model's size that an adapter without a size of
// its own has.
const adapterShare = 100

// order takes or refuses an order.
func (e *Engine) order(r *engineapi.Order) *engineProblem {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	record := OrderRecord{
		Incarnation: e.incarnation,
		Fence:       r.Fence,
		Kind:        string(r.Kind),
		Model:       structs.ModelName(r.Model.Or("")),
		Version:     r.Version.Or(""),
		Adapter:     r.Adapter.Or(""),
		Role:        structs.EngineRole(r.Role.Or("")),
		At:          now,
	}
	refused := e.fenced(r)
	if refused == nil {
		refused = e.execute(r, &record, now)
	}
	record.Accepted = refused == nil
	e.orders = append(e.orders, record)
	return refused
}

// fenced raises the fence, or refuses an order that is behind it.
func (e *Engine) fenced(r *engineapi.Order) *engineProblem {
	if incarnation := r.Incarnation.Or(0); incarnation != 0 && structs.Incarnation(incarnation) != e.incarnation {
		return problemIncarnation
	}
	if r.Fence < e.batch.fence {
		return &engineProblem{status: http.StatusConflict, kind: "fence_rejected", detail: "a higher token was seen", seen: e.batch.fence}
	}
	e.batch.fence = r.Fence
	return nil
}

func (e *Engine) execute(r *engineapi.Order, record *OrderRecord, now time.Time) *engineProblem {
	switch r.Kind {
	case engineapi.OrderKindLoad:
		return e.load(r, record)
	case engineapi.OrderKindUnload:
		users := e.using(func(s *stream) bool { return usesModel(s, record) })
		if r.IfIdle.Or(false) && len(users) > 0 {
			return problemBusy
		}
		record.StreamsCut = e.cut(users, now)
		e.unload(record)
	case engineapi.OrderKindRole:
		if record.Role == e.batch.role {
			return nil
		}
		users := e.using(func(*stream) bool { return true })
		if r.IfIdle.Or(false) && len(users) > 0 {
			return problemBusy
		}
		record.StreamsCut = e.cut(users, now)
		e.batch.role = record.Role
	}
	return nil
}

// usesModel reports whether a stream needs what an unload order takes away.
func usesModel(s *stream, order *OrderRecord) bool {
	return s.record.Model == order.Model && s.record.Version == order.Version &&
		(order.Adapter == "" || s.record.Adapter == order.Adapter)
}

// load starts to fetch a model or an adapter. One that is loaded or loading
// already is left as it is.
func (e *Engine) load(r *engineapi.Order, record *OrderRecord) *engineProblem {
	wanted := structs.LoadedModel{Model: record.Model, Version: record.Version}
	if record.Adapter != "" {
		wanted.Adapters = []string{record.Adapter}
		if !hasModel(e.batch.loaded, record.Model, record.Version) {
			return problemNotLoaded
		}
	}
	if has(e.batch.loaded, wanted) || isLoading(e.batch.loading, wanted) {
		return nil
	}
	if record.Adapter == "" && len(e.batch.loaded)+countModels(e.batch.loading) >= e.config.MaxModels {
		return problemNoRoom
	}
	e.batch.loading = append(append([]structs.LoadedModel(nil), e.batch.loading...), wanted)
	bytes := r.WeightsBytes.Or(0)
	if record.Adapter != "" {
		bytes /= adapterShare
	}
	go e.fetch(e.life, wanted, bytes, r.Priority.Or(0))
	return nil
}

// fetch reads weights and then adds them to what is loaded, unless an unload
// came in between or the incarnation ended.
func (e *Engine) fetch(life context.Context, wanted structs.LoadedModel, bytes int64, priority int) {
	err := e.fetchWeights(life, wanted, bytes, priority)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if life.Err() != nil || !isLoading(e.batch.loading, wanted) {
		return
	}
	e.batch.loading = slices.DeleteFunc(slices.Clone(e.batch.loading), func(entry structs.LoadedModel) bool {
		return sameEntry(entry, wanted)
	})
	if err == nil {
		e.batch.loaded = add(e.batch.loaded, wanted)
	}
}

func (e *Engine) fetchWeights(ctx context.Context, wanted structs.LoadedModel, bytes int64, priority int) error {
	if e.config.WeightsAddress == "" {
		return nil
	}
	client := weights.NewClient(e.config.WeightsAddress, e.config.HTTP)
	request := weights.Fetch{Model: wanted.Model, Version: wanted.Version, Bytes: bytes, Priority: priority}
	if len(wanted.Adapters) > 0 {
		request.Adapter = wanted.Adapters[0]
	}
	return client.Fetch(ctx, request)
}

// unload drops a model, or an adapter of it.
func (e *Engine) unload(record *OrderRecord) {
	gone := structs.LoadedModel{Model: record.Model, Version: record.Version}
	if record.Adapter != "" {
		gone.Adapters = []string{record.Adapter}
	}
	e.batch.loaded = unloaded(e.batch.loaded, gone)
	e.batch.loading = notLoading(e.batch.loading, gone)
	if record.Adapter == "" && !anyVersion(e.batch.loaded, record.Model) {
		e.batch.cache.dropModel(record.Model)
	}
}

// using returns the streams under way that match.
func (e *Engine) using(match func(*stream) bool) []*stream {
	var found []*stream
	for _, s := range e.batch.streams {
		if !s.ended() && match(s) {
			found = append(found, s)
		}
	}
	return found
}

// cut ends streams and returns their number.
func (e *Engine) cut(streams []*stream, now time.Time) int {
	for _, s := range streams {
		e.batch.end(s, StreamCut, now)
	}
	return len(streams)
}
