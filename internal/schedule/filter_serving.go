package schedule

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// serving allows engines that take new work from this request.
type serving struct{}

// Name returns "serving".
func (serving) Name() string { return "serving" }

// Allow reports whether the engine is neither leaving nor excluded by an
// earlier failure of the same call.
func (serving) Allow(_ time.Time, engine *Engine, request *Request) bool {
	return !engine.Leaving && !request.Excluded[engine.ID] && engine.Role != structs.RolePrefill
}
