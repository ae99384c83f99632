package schedule

import (
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// modelLoaded allows engines that hold the request's model and adapter.
type modelLoaded struct{}

// Name returns "model-loaded".
func (modelLoaded) Name() string { return "model-loaded" }

// Allow reports whether the engine serves whole calls of the model, with the
// adapter where the request names one.
func (modelLoaded) Allow(_ time.Time, engine *Engine, request *Request) bool {
	for _, loaded := range engine.Loaded {
		if loaded.Model == request.Model {
			return request.Adapter == "" || slices.Contains(loaded.Adapters, request.Adapter)
		}
	}
	return false
}

// serving allows engines that take new work from this request.
type serving struct{}

// Name returns "serving".
func (serving) Name() string { return "serving" }

// Allow reports whether the engine is neither leaving nor excluded by an
// earlier failure of the same call.
func (serving) Allow(_ time.Time, engine *Engine, request *Request) bool {
	return !engine.Leaving && !request.Exclude[engine.ID] && engine.Role != structs.RolePrefill
}
