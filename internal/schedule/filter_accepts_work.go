package schedule

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// acceptsWork allows engines that accept new work from this request.
type acceptsWork struct{}

// Name returns "serving".
func (acceptsWork) Name() string { return "serving" }

// Allow reports whether the engine is not leaving, not excluded after an earlier
// failure of the same call, and not limited to prefill.
func (acceptsWork) Allow(_ time.Time, engine *Engine, request *Request) bool {
	return !engine.Leaving && !request.Excluded[engine.ID] && engine.Role != structs.RolePrefill
}
