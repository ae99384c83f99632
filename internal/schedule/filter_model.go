package schedule

import (
	"slices"
	"time"
)

// modelLoaded allows engines that have loaded the request's model and adapter.
type modelLoaded struct{}

// Name returns "model-loaded".
func (modelLoaded) Name() string { return "model-loaded" }

// Allow reports whether the engine has loaded the model and, if the request names an
// adapter, the adapter.
func (modelLoaded) Allow(_ time.Time, engine *Engine, request *Request) bool {
	for _, loaded := range engine.Loaded {
		if loaded.Model == request.Model {
			return request.Adapter == "" || slices.Contains(loaded.Adapters, request.Adapter)
		}
	}
	return false
}
