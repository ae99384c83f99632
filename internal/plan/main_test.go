package plan

import (
	"testing"

	"github.com/barleyshelf/barleyshelf/internal/fuzzseed"
)

// TestMain fixes the seed of the random edits; -rapid.seed and -rapid.checks
// take over for longer runs.
func TestMain(m *testing.M) { fuzzseed.Main(m, fuzzseed.Seed("20260101")) }
