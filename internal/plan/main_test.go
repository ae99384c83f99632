package plan

import (
	"testing"

	"github.com/barleyshelf/barleyshelf/internal/fuzzseed"
)

// TestMain sets a fixed seed for the random edits; -rapid.seed and -rapid.checks
// override it for longer runs.
func TestMain(m *testing.M) { fuzzseed.Main(m, fuzzseed.Seed("20260101")) }
