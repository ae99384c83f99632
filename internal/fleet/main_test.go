package fleet

import (
	"testing"

	"github.com/barleyshelf/barleyshelf/internal/fuzzseed"
)

// TestMain gives property tests a fixed seed and enough steps, unless flags
// say otherwise.
func TestMain(m *testing.M) {
	fuzzseed.Main(m, fuzzseed.Defaults{"rapid.seed": "20261202", "rapid.steps": "150", "rapid.checks": "150"})
}
